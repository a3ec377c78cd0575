// SPDX-License-Identifier: BSL-1.0
#include "replay/order_world.hpp"

#include <algorithm>
#include <random>

namespace coursehead::replay {

namespace {

using namespace std::chrono_literals;

const MonoTime begin{ 1000s };

//! Reads one prompt after the other, as fast as they state.
struct PlainEngine {
    std::deque<MonoTime> ends;

    void read( double workMs, MonoTime now ) {
        const auto from = ends.empty() ? now : std::max( now, ends.back() );
        const std::chrono::duration<double, std::milli> work( workMs );
        ends.push_back( from + std::chrono::duration_cast<MonoTime::duration>( work ) );
    }
    std::size_t unread( MonoTime now ) {
        while( !ends.empty() && ends.front() <= now ) {
            ends.pop_front();
        }
        return ends.size();
    }
};

sidecar::PromptRequest requestOf( const PromptStream& stream, std::uint64_t key, MonoTime now ) {
    gateway::PendingPrompt prompt;
    prompt.tokens = stream.workMs * 10;
    prompt.msPerToken = 0.1;
    prompt.goalMs = stream.goalMs;
    prompt.mayStartLate = stream.mayStartLate;
    prompt.parts = { { key, prompt.tokens } };
    prompt.route = stream.name;
    prompt.organisation = stream.organisation;
    prompt.urgency = stream.urgency;
    const auto limit = Millis( stream.mayStartLate ? stream.patienceMs : stream.goalMs );
    return { key, "m", "", prompt, now, limit };
}

class World {
public:
    explicit World( const OrderPlay& in ) : m_in( in ), m_random( in.seed ) {
        m_gate.setEngine( 100000000, 0ms );
    }

    OrderRun run() {
        for( auto at = begin; at < begin + m_in.length; at += 1ms ) {
            for( const auto& it : m_in.streams ) {
                arrive( it, at );
            }
            if( ( at - begin ) % 25ms == 0ms ) {
                m_gate.noteUnread( m_engine.unread( at ), at );
            }
            send( at );
        }
        return m_out;
    }

private:
    void arrive( const PromptStream& stream, MonoTime at ) {
        const bool burst = at >= begin + m_in.burstFrom && at < begin + m_in.burstTo;
        const double perS = burst && stream.burstPerS > 0 ? stream.burstPerS : stream.perS;
        constexpr double msPerS = 1000;
        if( std::uniform_real_distribution<>( 0, 1 )( m_random ) >= perS / msPerS ) {
            return;
        }
        const auto request = requestOf( stream, ++m_lastKey, at );
        auto& outcome = m_out.outcomes[stream.name];
        ++outcome.asked;
        if( m_gate.ask( request, at ).accepted ) {
            m_waiting.emplace( request.key, std::pair( &stream, at ) );
        } else {
            ++outcome.refused;
        }
    }

    void send( MonoTime at ) {
        for( const auto& it : m_gate.takeAdmitted( at ) ) {
            const auto [stream, since] = m_waiting.extract( it.key ).mapped();
            auto& outcome = m_out.outcomes[stream->name];
            // The gate sends some time before the engine is free.
            const auto start = m_engine.ends.empty() ? at : std::max( at, m_engine.ends.back() );
            const bool inTime = start <= since + Millis( stream->goalMs );
            ++( inTime ? outcome.inTime : outcome.late );
            m_out.readingMs += it.workMs;
            m_engine.read( it.workMs, at );
        }
        for( const auto& it : m_gate.takeRefused( at ) ) {
            const auto [stream, since] = m_waiting.extract( it.key ).mapped();
            auto& outcome = m_out.outcomes[stream->name];
            const bool displaced = it.refusal == decide::PromptRefusal::displaced;
            ++( displaced ? outcome.displaced : outcome.expired );
            if( !stream->mayStartLate ) {
                m_out.longestHeldMs = std::max( m_out.longestHeldMs, millisBetween( since, at ) );
            }
        }
    }

    const OrderPlay& m_in;
    std::mt19937_64 m_random;
    sidecar::PromptGate m_gate;
    PlainEngine m_engine;
    std::map<std::uint64_t, std::pair<const PromptStream*, MonoTime>> m_waiting;
    std::uint64_t m_lastKey = 0;
    OrderRun m_out;
};

} // namespace

OrderRun play( const OrderPlay& in ) {
    return World( in ).run();
}

} // namespace coursehead::replay
