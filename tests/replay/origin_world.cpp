// SPDX-License-Identifier: BSL-1.0
#include "replay/origin_world.hpp"

#include "gateway/messages.hpp"

#include <algorithm>

namespace coursehead::replay {

using namespace decide;

namespace {

constexpr Millis beforeKill{ 10000 };
constexpr Millis holderDowntime{ 600 };
constexpr Millis longestReconnect{ 1000 };
constexpr Millis findWait{ 1000 };
constexpr Millis longestLife{ 3000 };
constexpr Millis clientDeadline{ 15000 };

struct Process {
    std::string name;
    OriginTable origins{};
    std::size_t received = 0; //!< bytes
    std::size_t sent = 0;     //!< bytes
    bool killed = false;
};

struct Stream {
    StreamKey key = 0;
    StreamVersion began;
    std::size_t gateway = 0;
    MonoTime begun;
    MonoTime ends;
};

std::size_t sizeOf( const StreamOrigin& origin ) {
    return gateway::encode( gateway::Message( OriginUpdate{ { origin }, true } ) ).size();
}

class OriginWorld {
public:
    explicit OriginWorld( const OriginScenario& scenario )
        : m_scenario( scenario ), m_random( scenario.seed ) {
        for( int n = 0; n < scenario.gateways; ++n ) {
            m_gateways.push_back( { "gateway-" + std::to_string( n ) } );
        }
        for( int n = 0; n < scenario.holders; ++n ) {
            m_holders.push_back( { "10.0.0." + std::to_string( n ) } );
        }
    }

    OriginOutcome run() {
        beginStreams();
        measure();
        kill();
        for( const auto& it : m_streams ) {
            const bool broken = m_gateways[it.gateway].killed && it.ends > m_killedAt;
            if( broken ) {
                resume( it );
            }
        }
        return m_outcome;
    }

private:
    static std::vector<std::string_view> namesOf( const std::vector<Process>& processes ) {
        std::vector<std::string_view> out;
        for( const auto& it : processes ) {
            out.emplace_back( it.name );
        }
        return out;
    }

    static void deliver( Process& to, const StreamOrigin& origin, MonoTime now ) {
        to.origins.put( origin, now );
        to.received += sizeOf( origin );
    }

    void beginStreams() {
        const auto count = static_cast<int>( m_scenario.streamsPerS * beforeKill.count() / 1000 );
        for( int n = 0; n < count; ++n ) {
            Stream it;
            it.key = streamKeyOf( "r" + std::to_string( n ) );
            it.began = { "s", "v" + std::to_string( m_random.below( versionCount() ) ) };
            it.gateway = m_random.below( m_gateways.size() );
            it.begun = m_start + beforeKill * n / count;
            it.ends = it.begun +
                      Millis( static_cast<std::int64_t>( m_random.below( longestLife.count() ) ) );
            record( it );
            m_streams.push_back( std::move( it ) );
        }
    }

    void record( const Stream& stream ) {
        const StreamOrigin origin{ stream.key, stream.began, clientDeadline.count() };
        if( m_scenario.way != OriginWay::nowhere ) {
            m_gateways[stream.gateway].origins.put( origin, stream.begun );
        }
        if( m_scenario.way != OriginWay::holders && m_scenario.way != OriginWay::copies ) {
            return;
        }
        for( const auto n : rankedForStream( stream.key, namesOf( m_holders ), originHolders ) ) {
            deliver( m_holders[n], origin, stream.begun );
        }
        if( m_scenario.way == OriginWay::copies ) {
            sendCopies( stream, origin );
        }
    }

    void sendCopies( const Stream& stream, const StreamOrigin& origin ) {
        auto names = namesOf( m_gateways );
        const auto most = originCopies( names.size() - 1 );
        const auto ranked = rankedForStream( stream.key, names, most + 1 );
        std::size_t copies = 0;
        auto& firstHolder = m_holders[rankedForStream( stream.key, namesOf( m_holders ), 1 )[0]];
        for( const auto n : ranked ) {
            if( n != stream.gateway && copies < most ) {
                ++copies;
                deliver( m_gateways[n], origin, stream.begun );
                firstHolder.sent += sizeOf( origin );
            }
        }
    }

    void measure() {
        const auto seconds = static_cast<std::size_t>( beforeKill.count() / 1000 );
        for( const auto& it : m_holders ) {
            m_outcome.busiestHolderBps =
                std::max( m_outcome.busiestHolderBps, ( it.received + it.sent ) / seconds );
            m_outcome.mostOrigins = std::max( m_outcome.mostOrigins, it.origins.size() );
        }
        for( const auto& it : m_gateways ) {
            m_outcome.busiestGatewayBps =
                std::max( m_outcome.busiestGatewayBps, it.received / seconds );
            m_outcome.mostOrigins = std::max( m_outcome.mostOrigins, it.origins.size() );
        }
    }

    void kill() {
        for( int n = 0; n < m_scenario.killedGateways; ++n ) {
            m_gateways[static_cast<std::size_t>( n )].killed = true;
            m_gateways[static_cast<std::size_t>( n )].origins = OriginTable{};
        }
        for( auto& it : m_holders ) {
            it.killed = m_scenario.holdersKilled;
            it.origins = it.killed ? OriginTable{} : std::move( it.origins );
        }
    }

    //! True if a killed holder has been told again, by the time `at`, what a gateway knows.
    bool toldAgain( const Process& holder, const Process& gateway, StreamKey key, MonoTime at ) {
        const auto reconnect =
            static_cast<std::int64_t>( m_random.below( longestReconnect.count() ) );
        const auto connectedAt = m_killedAt + holderDowntime + Millis( reconnect );
        return holder.killed && !gateway.killed && connectedAt <= at &&
               gateway.origins.find( key, at ).has_value();
    }

    std::optional<StreamVersion> find( const Stream& stream, const Process& at, MonoTime now ) {
        if( auto own = at.origins.find( stream.key, now ) ) {
            return own;
        }
        for( const auto n :
             rankedForStream( stream.key, namesOf( m_holders ), askedOriginHolders ) ) {
            const auto& holder = m_holders[n];
            if( auto held = holder.origins.find( stream.key, now ) ) {
                return held;
            }
            const bool told =
                std::any_of( m_gateways.begin(), m_gateways.end(), [&]( const auto& gateway ) {
                    return toldAgain( holder, gateway, stream.key, now + findWait );
                } );
            if( told ) {
                return stream.began;
            }
        }
        return std::nullopt;
    }

    void resume( const Stream& stream ) {
        const auto survivors =
            m_gateways.size() - static_cast<std::size_t>( m_scenario.killedGateways );
        const auto n =
            static_cast<std::size_t>( m_scenario.killedGateways ) + m_random.below( survivors );
        const auto now = m_killedAt + Millis( static_cast<std::int64_t>( m_random.below( 400 ) ) );
        ++m_outcome.resumed;
        if( m_scenario.way == OriginWay::nowhere ) {
            const auto version = "v" + std::to_string( m_random.below( versionCount() ) );
            ++m_outcome.wentOn;
            m_outcome.mixed += version != stream.began.version ? 1 : 0;
            return;
        }
        ResumeFacts facts;
        facts.namesOrigin = true;
        facts.service = stream.began.service;
        facts.recorded = find( stream, m_gateways[n], now );
        if( const auto at = versionToResumeAt( facts ) ) {
            ++m_outcome.wentOn;
            m_outcome.mixed += *at != stream.began ? 1 : 0;
        }
    }

    std::uint64_t versionCount() const { return static_cast<std::uint64_t>( m_scenario.versions ); }

    OriginScenario m_scenario;
    RandomSource m_random;
    std::vector<Process> m_gateways;
    std::vector<Process> m_holders;
    std::vector<Stream> m_streams;
    MonoTime m_start{ std::chrono::hours( 1 ) };
    MonoTime m_killedAt = m_start + beforeKill;
    OriginOutcome m_outcome;
};

} // namespace

OriginOutcome runOrigins( const OriginScenario& scenario ) {
    return OriginWorld( scenario ).run();
}

} // namespace coursehead::replay
