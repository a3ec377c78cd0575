// SPDX-License-Identifier: BSL-1.0
#include "replay/uneven_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/engine_speed.hpp"
#include "decide/speed_meter.hpp"
#include "gateway/choice/health.hpp"
#include "gateway/choice/pace.hpp"
#include "gateway/choice/selection.hpp"
#include "kernel/hash.hpp"
#include "replay/emulated_engine.hpp"
#include "sidecar/pause_meter.hpp"
#include "sidecar/prompt_gate.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace coursehead::replay {

namespace {

using decide::EngineSpeed;

constexpr std::size_t engineCount = 41;
constexpr std::size_t gatewayCount = 22;
constexpr int models = 12;
constexpr int heldModels = 3;
constexpr double lengthMs = 12000;
constexpr double tickMs = 2;
constexpr double pollMs = 40;
constexpr double reportMs = 450;
constexpr double reportLagMs = 200; //!< an engine's report is that old
constexpr double goalMargin = 120;
constexpr int maxTries = 3;
constexpr Millis gapTarget{ 300 };
constexpr double slowdown = 4;
constexpr std::size_t slowEvery = 8;
constexpr double nearMs = 40;
constexpr double slowFactor = 1.5;
constexpr double usualFactor = 1.25;

//! Parameters of a large model on a fast engine.
EngineParameters engineParameters( double speed ) {
    EngineParameters out;
    out.chunkTokens = 1024;
    out.readMsPerToken = 1 / ( 40.8 * speed );
    out.stepMs = 5.05 / speed;
    out.stepMsPerStream = 0.05 / speed;
    out.tokensPerEvent = 5;
    return out;
}

struct RequestKind {
    double perS = 0;
    std::int64_t tokens = 0;
    int events = 0;
    double goalMs = 0;
};
const std::vector<RequestKind> kinds = {
    { 90, 3000, 25, 600 }, { 90, 4500, 40, 1200 }, { 16, 16000, 60, 6000 } };

struct Arrival {
    EmulatedRequest request;
    double goalMs = 0;
    int model = 0;
    std::size_t gateway = 0;
};

MonoTime at( double ms ) {
    return MonoTime{ std::chrono::seconds( 1000 ) +
                     std::chrono::microseconds( static_cast<std::int64_t>( ms * 1000 ) ) };
}

std::vector<Arrival> arrivals( const UnevenSettings& settings, RandomSource& random ) {
    std::vector<Arrival> out;
    for( const auto& kind : kinds ) {
        double time = 0;
        for( ;; ) {
            time += -std::log( 1 - random.unit() ) * 1000 / ( kind.perS * settings.load );
            if( time >= lengthMs ) {
                break;
            }
            const auto model = static_cast<int>( random.unit() * models );
            const auto gateway = static_cast<std::size_t>( random.unit() * gatewayCount );
            out.push_back( { { 0, time, kind.tokens, kind.events }, kind.goalMs, model, gateway } );
        }
    }
    std::sort( out.begin(), out.end(), []( const auto& a, const auto& b ) {
        return a.request.arrivedMs < b.request.arrivedMs;
    } );
    for( std::size_t n = 0; n < out.size(); ++n ) {
        out[n].request.key = n + 1;
    }
    return out;
}

//! What a gateway has heard of an engine.
struct Heard {
    EngineSpeed speed;
    double readingWaitMs = 0;
    double latePauses = 0;
    std::uint32_t decoding = 0;
    double atMs = 0;
};

struct Engine {
    explicit Engine( double speedOfIt )
        : speed( speedOfIt ), engine( engineParameters( speedOfIt ) ) {
        gate.setEngine( 200000, gapTarget );
    }
    double speed;
    EmulatedEngine engine;
    sidecar::PromptGate gate;
    sidecar::PauseMeter pauses;
    decide::SpeedMeter meter;
    std::deque<std::pair<double, gateway::EngineReport>> reports;
    gateway::EngineReport lastReport;
    double pollAt = 0;
    double publishAt = 0;
    std::vector<StreamRecord> records;
    std::size_t recordsSeen = 0;
};

struct Gateway {
    gateway::ModelPace pace;
    std::vector<gateway::Health> health{ engineCount };
    std::vector<Heard> heard{ engineCount };
    std::vector<double> prefillMs = std::vector<double>( engineCount, 0 );
};

struct Sent {
    Arrival arrival;
    std::size_t engine = 0;
    double expectedMs = 0;
    double timeFactor = 1;
    double workMs = 0;
    double sentMs = 0;
    bool unqueued = false;
    std::set<std::size_t> tried;
};

class World {
public:
    explicit World( const UnevenSettings& settings )
        : m_settings( settings ), m_random( settings.seed ), m_gateways( gatewayCount ) {
        for( std::size_t n = 0; n < engineCount; ++n ) {
            m_engines.emplace_back( settings.speeds[n % settings.speeds.size()] );
            m_engines.back().publishAt = m_random.unit() * reportMs;
            m_engines.back().pollAt = m_random.unit() * pollMs;
        }
    }

    UnevenOutcome run() {
        const auto all = arrivals( m_settings, m_random );
        std::size_t next = 0;
        for( double time = 0; time < lengthMs * 1.5; time += tickMs ) {
            setSpeed( time );
            for( std::size_t n = 0; n < engineCount; ++n ) {
                advance( n, time );
            }
            for( ; next < all.size() && all[next].request.arrivedMs <= time; ++next ) {
                Sent request;
                request.arrival = all[next];
                ask( std::move( request ), time );
            }
            noteFactors( time );
        }
        return m_out;
    }

private:
    bool turnsSlow( std::size_t engine ) const {
        return m_settings.turnSlow && engine % slowEvery == slowEvery / 2;
    }
    static bool inSlowTime( double time ) {
        return time >= lengthMs / 3 && time < lengthMs * 2 / 3;
    }

    void setSpeed( double time ) {
        for( std::size_t n = 0; n < engineCount; ++n ) {
            if( turnsSlow( n ) ) {
                m_engines[n].engine.setSlowdown( inSlowTime( time ) ? slowdown : 1 );
            }
        }
    }

    void noteFactors( double time ) {
        if( !m_settings.turnSlow || m_settings.way == Way::ownGuess ) {
            return;
        }
        std::size_t all = 0;
        std::size_t slow = 0;
        std::size_t usual = 0;
        for( std::size_t n = 0; n < engineCount; ++n ) {
            if( !turnsSlow( n ) ) {
                continue;
            }
            for( const auto& it : m_gateways ) {
                const double factor = timeFactor( it, n, time );
                ++all;
                slow += factor > slowFactor ? 1 : 0;
                usual += factor < usualFactor ? 1 : 0;
            }
        }
        if( inSlowTime( time ) && m_out.noticedAfterMs < 0 && slow > all / 2 ) {
            m_out.noticedAfterMs = time - lengthMs / 3;
        }
        const bool over = time >= lengthMs * 2 / 3;
        if( over && m_out.forgivenAfterMs < 0 && usual > all / 2 ) {
            m_out.forgivenAfterMs = time - lengthMs * 2 / 3;
        }
    }

    void advance( std::size_t n, double time ) {
        auto& it = m_engines[n];
        it.engine.runUntil( time, it.records );
        if( time >= it.pollAt ) {
            poll( it, time );
        }
        if( time >= it.publishAt ) {
            publish( n, time );
        }
        admit( n, time );
        for( ; it.recordsSeen < it.records.size(); ++it.recordsSeen ) {
            finish( n, it.records[it.recordsSeen] );
        }
        noteFirstEvents( n, time );
    }

    void poll( Engine& it, double time ) {
        it.pollAt = time + pollMs;
        it.reports.emplace_back( time, it.engine.report() );
        while( it.reports.size() > 1 && it.reports[1].first <= time - reportLagMs ) {
            it.reports.pop_front();
        }
        it.lastReport = it.reports.front().second;
        it.meter.takeReport( it.lastReport, at( time ) );
        it.pauses.update( it.lastReport.runs, gapTarget, at( time ) );
        it.gate.noteUnread( it.lastReport.queued + it.lastReport.prefilling, at( time ) );
    }

    void publish( std::size_t n, double time ) {
        auto& it = m_engines[n];
        it.publishAt = time + reportMs;
        Heard heard;
        heard.speed = it.meter.speed( at( time ) );
        heard.readingWaitMs = static_cast<double>( it.gate.typicalWait( at( time ) ).count() );
        heard.latePauses = it.pauses.lateShare( at( time ) );
        heard.decoding = it.lastReport.running - it.lastReport.prefilling;
        heard.atMs = time;
        for( auto& gateway : m_gateways ) {
            gateway.heard[n] = heard;
        }
    }

    void admit( std::size_t n, double time ) {
        auto& it = m_engines[n];
        for( const auto& due : it.gate.takeAdmitted( at( time ) ) ) {
            auto& sent = m_waiting.at( due.key );
            sent.sentMs = time;
            it.meter.notePrompt( due.key, due.workMs, at( time ) );
            it.engine.send( sent.arrival.request );
            m_gateways[sent.arrival.gateway].prefillMs[n] += sent.workMs;
            m_sent.emplace( due.key, std::move( sent ) );
            m_waiting.erase( due.key );
            m_unread[n].insert( due.key );
        }
        for( const auto& refused : it.gate.takeRefused( at( time ) ) ) {
            const auto key = refused.key;
            auto sent = std::move( m_waiting.at( key ) );
            m_waiting.erase( key );
            ask( std::move( sent ), time );
        }
    }

    //! A gateway hears of a first event when it is there; the report's lag is no part of it.
    void noteFirstEvents( std::size_t n, double time ) {
        auto& unread = m_unread[n];
        if( unread.empty() ) {
            return;
        }
        const auto report = m_engines[n].engine.report();
        std::set<std::uint64_t> started;
        for( const auto& it : report.runs ) {
            if( it.events > 0 ) {
                started.insert( std::stoull( it.id ) );
            }
        }
        std::erase_if( unread, [&]( std::uint64_t key ) {
            if( !started.contains( key ) ) {
                return false;
            }
            const auto& sent = m_sent.at( key );
            auto& gateway = m_gateways[sent.arrival.gateway];
            gateway.prefillMs[n] = std::max( gateway.prefillMs[n] - sent.workMs, 0.0 );
            const double measured = time - sent.sentMs;
            constexpr double overheadMs = 20;
            noteSuccess( gateway.health[n], measured, sent.expectedMs + overheadMs, at( time ) );
            if( sent.unqueued ) {
                const auto tokens = static_cast<double>( sent.arrival.request.uncachedTokens );
                gateway.pace.note( "m", tokens, measured, sent.timeFactor );
            }
            return true;
        } );
    }

    void finish( std::size_t n, const StreamRecord& record ) {
        const auto& sent = m_sent.at( record.key );
        const bool late = record.firstEventMs > sent.arrival.goalMs ||
                          record.longestPauseMs > static_cast<double>( gapTarget.count() );
        const bool turnedSlow = turnsSlow( n ) && inSlowTime( sent.arrival.request.arrivedMs );
        auto& group = m_engines[n].speed < 1 || turnedSlow ? m_out.slow : m_out.usual;
        ++group.requests;
        group.late += late ? 1 : 0;
    }

    double usualRatio( const Gateway& gateway, double time ) const {
        std::vector<EngineSpeed> speeds;
        for( const auto& it : gateway.heard ) {
            speeds.push_back( it.speed );
            speeds.back().certainty = certaintyOf( it, time );
        }
        return decide::usualTimeRatio( speeds );
    }
    static double certaintyOf( const Heard& heard, double time ) {
        return decide::certaintyNow( heard.speed,
                                     Millis( static_cast<std::int64_t>( time - heard.atMs ) ) );
    }
    double timeFactor( const Gateway& gateway, std::size_t engine, double time ) const {
        const auto& heard = gateway.heard[engine];
        return decide::timeFactor( heard.speed, usualRatio( gateway, time ),
                                   certaintyOf( heard, time ) );
    }

    void ask( Sent request, double time ) {
        auto& gateway = m_gateways[request.arrival.gateway];
        const auto tokens = static_cast<double>( request.arrival.request.uncachedTokens );
        request.workMs = gateway.pace.readingMs( "m", tokens );
        while( request.tried.size() < maxTries ) {
            const auto chosen = chooseEngine( request, gateway, time );
            if( !chosen ) {
                break;
            }
            request.tried.insert( *chosen );
            request.engine = *chosen;
            sidecar::PromptRequest prompt;
            prompt.key = request.arrival.request.key;
            prompt.prompt.tokens = request.arrival.request.uncachedTokens;
            prompt.prompt.msPerToken = gateway.pace.readingMs( "m", 1 );
            const double left = request.arrival.request.arrivedMs + request.arrival.goalMs - time;
            prompt.prompt.goalMs = static_cast<std::int64_t>(
                left - request.workMs * request.timeFactor - goalMargin );
            prompt.since = at( time );
            prompt.limit = Millis( prompt.prompt.goalMs );
            const auto verdict = m_engines[*chosen].gate.ask( prompt, at( time ) );
            if( verdict.accepted ) {
                m_waiting.emplace( prompt.key, std::move( request ) );
                return;
            }
            auto& heard = gateway.heard[*chosen];
            heard.readingWaitMs = static_cast<double>( verdict.wait.count() );
        }
        ++m_out.refused;
    }

    std::optional<std::size_t> chooseEngine( Sent& request, const Gateway& gateway, double time ) {
        std::vector<gateway::Candidate> candidates;
        std::vector<std::size_t> engines;
        const bool measured = m_settings.way != Way::ownGuess;
        const double usual = usualRatio( gateway, time );
        for( std::size_t n = 0; n < engineCount; ++n ) {
            if( !holds( n, request.arrival.model ) || request.tried.contains( n ) ) {
                continue;
            }
            candidates.push_back( candidate( request, gateway, n, measured ? usual : 0, time ) );
            engines.push_back( n );
        }
        const auto best = pick( candidates );
        if( !best ) {
            return std::nullopt;
        }
        const auto& it = candidates[*best];
        request.timeFactor = it.timeFactor;
        request.expectedMs = it.backlogMs + it.workMs * it.timeFactor;
        request.unqueued = it.backlogMs <= 0;
        return engines[*best];
    }

    //! As gateway::estimate() for an engine that holds the model; `usual` is 0 where speeds are not
    //! taken from the sidecars.
    gateway::Candidate candidate( const Sent& request, const Gateway& gateway, std::size_t n,
                                  double usual, double time ) const {
        gateway::Candidate out;
        const auto& heard = gateway.heard[n];
        const double certainty = usual > 0 ? certaintyOf( heard, time ) : 0;
        out.timeFactor = decide::timeFactor( heard.speed, usual, certainty );
        out.slowness = unexplainedSlowness( gateway.health[n], out.timeFactor, at( time ) );
        out.workMs = request.workMs;
        const double waitLeft = std::max( heard.readingWaitMs - ( time - heard.atMs ), 0.0 );
        out.backlogMs = std::max( gateway.prefillMs[n] * out.timeFactor, waitLeft );
        out.decoding = heard.decoding;
        out.latePauseShare = heard.latePauses;
        if( usual > 0 ) {
            out.latePauseShare =
                std::max( out.latePauseShare, decide::expectedLateShare( heard.speed, gapTarget ) );
        }
        out.affinity =
            hash64( std::to_string( n ), "model" + std::to_string( request.arrival.model ) );
        return out;
    }

    std::optional<std::size_t> pick( std::span<const gateway::Candidate> candidates ) {
        const auto best = gateway::choose( candidates );
        if( !best || m_settings.way == Way::ownGuess || m_settings.way == Way::expectedTime ) {
            return best;
        }
        if( m_settings.way == Way::weighted ) {
            return gateway::spread( candidates, *best, m_random.unit() );
        }
        std::vector<std::size_t> nearby;
        for( std::size_t n = 0; n < candidates.size(); ++n ) {
            if( costOf( candidates[n] ) <= costOf( candidates[*best] ) + nearMs ) {
                nearby.push_back( n );
            }
        }
        const auto draw = [&] {
            const auto count = static_cast<double>( nearby.size() );
            return nearby[static_cast<std::size_t>( m_random.unit() * count )];
        };
        const auto a = draw();
        const auto b = draw();
        return costOf( candidates[a] ) <= costOf( candidates[b] ) ? a : b;
    }

    static bool holds( std::size_t engine, int model ) {
        for( int n = 0; n < heldModels; ++n ) {
            const auto number = static_cast<int>( engine );
            const auto held = ( number * 5 + n * 4 + number / models ) % models;
            if( held == model ) {
                return true;
            }
        }
        return false;
    }

    UnevenSettings m_settings;
    RandomSource m_random;
    std::vector<Engine> m_engines;
    std::vector<Gateway> m_gateways;
    std::map<std::uint64_t, Sent> m_waiting;
    std::map<std::uint64_t, Sent> m_sent;
    std::map<std::size_t, std::set<std::uint64_t>> m_unread; //!< by engine
    UnevenOutcome m_out;
};

} // namespace

double UnevenOutcome::inTime() const {
    const int served = slow.requests + usual.requests - slow.late - usual.late;
    return static_cast<double>( served ) / std::max( arrived(), 1 );
}

UnevenOutcome replayUnevenEngines( const UnevenSettings& settings ) {
    return World( settings ).run();
}

} // namespace coursehead::replay
