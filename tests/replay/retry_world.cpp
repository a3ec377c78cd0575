// SPDX-License-Identifier: BSL-1.0
#include "replay/retry_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/gateway_count.hpp"
#include "decide/retry_budget.hpp"

#include <algorithm>
#include <deque>

namespace coursehead::replay {

namespace {

constexpr Millis stepLength{ 5 };
constexpr Millis reportInterval{ 200 };
//! Time from the start of a gateway to the first report that it receives.
constexpr Millis connectTime{ 100 };
//! As in the product.
constexpr int assumedGateways = 8;
constexpr int maxSends = 4;
constexpr MonoTime start{ std::chrono::seconds( 1000 ) };

//! As the platform's `contactMs`.
constexpr Millis contactBound{ 3000 };
constexpr double usedPart = 0.85;

//! First sends and retries of one process within a sliding window.
struct SlidingWindow {
    std::deque<MonoTime> firstSends;
    std::deque<MonoTime> retries;

    bool take( const decide::RetryBound& bound, int gateways, MonoTime now ) {
        for( auto* it : { &firstSends, &retries } ) {
            while( !it->empty() && now - it->front() > bound.window ) {
                it->pop_front();
            }
        }
        const double allowed = usedPart * ( bound.ratio * static_cast<double>( firstSends.size() ) +
                                            bound.slack / gateways );
        if( static_cast<double>( retries.size() ) + 1 > allowed ) {
            return false;
        }
        retries.push_back( now );
        return true;
    }
};

//! One process of a gateway.
struct GatewayProcess {
    MonoTime startedAt;
    decide::GatewayCount count{ assumedGateways, decide::retryGatewaysHold };
    MonoTime nextReportAt;
    SlidingWindow window;
    decide::RetryBudget budget;

    explicit GatewayProcess( MonoTime now )
        : startedAt( now ),
          nextReportAt( now + connectTime ), budget{ .earnedUntil = now + contactBound } {}

    bool running( MonoTime now ) const { return startedAt <= now; }
};

class RetryWorld {
public:
    RetryWorld( const RetryLoad& load, const std::vector<RetryEvent>& events, RetryPolicy policy,
                std::uint64_t seed )
        : m_load( load ), m_events( events ), m_policy( policy ), m_random( seed ),
          m_watch( load.bound ) {
        for( int n = 0; n < load.gateways; ++n ) {
            // The gateways start before the first requests arrive.
            m_gateways.emplace_back( start - std::chrono::seconds( 10 ) );
        }
    }

    RetryOutcome run() {
        for( auto now = start; now < start + m_load.length; now += stepLength ) {
            startEvents( now );
            report( now );
            const double expected =
                m_load.requestsPerS * std::chrono::duration<double>( stepLength ).count();
            auto requests = static_cast<int>( expected );
            requests += m_random.unit() < expected - requests ? 1 : 0;
            for( int n = 0; n < requests; ++n ) {
                request( now );
            }
        }
        m_out.maxExcess = m_watch.maxExcess();
        m_out.retries = m_watch.total();
        return m_out;
    }

private:
    void startEvents( MonoTime now ) {
        for( const auto& it : m_events ) {
            const bool begins = now <= start + it.from && start + it.from < now + stepLength;
            if( !begins || it.kind == RetryFault::split ) {
                continue;
            }
            const auto count =
                static_cast<std::size_t>( it.fraction * static_cast<double>( m_gateways.size() ) );
            for( std::size_t n = 0; n < count; ++n ) {
                if( it.kind == RetryFault::kill ) {
                    m_gateways[n] = GatewayProcess( start + it.to );
                } else {
                    m_gateways.emplace_back( now );
                }
            }
        }
    }

    bool splitAt( MonoTime now ) const {
        return std::any_of( m_events.begin(), m_events.end(), [now]( const RetryEvent& it ) {
            return it.kind == RetryFault::split && start + it.from <= now && now < start + it.to;
        } );
    }

    void report( MonoTime now ) {
        const auto connected =
            std::count_if( m_gateways.begin(), m_gateways.end(), [now]( const GatewayProcess& it ) {
                return it.startedAt + connectTime / 2 <= now;
            } );
        const auto seen = static_cast<int>( splitAt( now ) ? connected / 2 : connected );
        for( auto& it : m_gateways ) {
            if( it.running( now ) && it.nextReportAt <= now ) {
                // The first report counts only gateways that were connected before.
                const bool first = it.nextReportAt == it.startedAt + connectTime && now > start;
                it.count.note( first ? 1 : seen, now );
                it.nextReportAt = now + reportInterval;
            }
        }
    }

    decide::RetryShare shareOf( const GatewayProcess& gateway ) const {
        auto out = decide::retryShare( m_load.bound, gateway.count.count() );
        if( m_policy == RetryPolicy::requests ) {
            out.maxBalance +=
                out.perS * std::chrono::duration<double>( m_load.bound.window ).count();
            out.perS = 0;
        }
        return out;
    }

    bool mayRetry( GatewayProcess& gateway, MonoTime now ) {
        if( m_policy == RetryPolicy::quietWindow &&
            now - gateway.startedAt < m_load.bound.window ) {
            return false;
        }
        if( m_policy == RetryPolicy::window || m_policy == RetryPolicy::quietWindow ) {
            return gateway.window.take( m_load.bound, gateway.count.count(), now );
        }
        const auto share = shareOf( gateway );
        return decide::takeRetry( gateway.budget, share, m_random.unit(), now ).granted;
    }

    bool sendFails( MonoTime now ) {
        const bool failing = start + m_load.failingFrom <= now && now < start + m_load.failingTo;
        return failing && m_random.unit() < m_load.failingFraction;
    }

    void request( MonoTime now ) {
        ++m_out.requests;
        m_watch.countRequest( now );
        auto& gateway = m_gateways[m_random.below( m_gateways.size() )];
        if( !gateway.running( now ) ) {
            return;
        }
        gateway.window.firstSends.push_back( now );
        decide::earnRetry( gateway.budget, shareOf( gateway ), now );
        bool failed = sendFails( now );
        for( int sends = 1; failed && sends < maxSends; ++sends ) {
            if( !mayRetry( gateway, now ) ) {
                return;
            }
            m_watch.countRetry( now );
            failed = sendFails( now );
        }
        m_out.served += failed ? 0 : 1;
    }

    const RetryLoad& m_load;
    const std::vector<RetryEvent>& m_events;
    RetryPolicy m_policy;
    RandomSource m_random;
    support::RetryWatch m_watch;
    std::vector<GatewayProcess> m_gateways;
    RetryOutcome m_out;
};

} // namespace

RetryOutcome simulateRetries( const RetryLoad& load, const std::vector<RetryEvent>& events,
                              RetryPolicy policy, std::uint64_t seed ) {
    return RetryWorld( load, events, policy, seed ).run();
}

} // namespace coursehead::replay
