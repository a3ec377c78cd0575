// SPDX-License-Identifier: BSL-1.0
#include "replay/backoff_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/announcement.hpp"
#include "decide/backoff.hpp"
#include "gateway/choice/health.hpp"
#include "gateway/choice/selection.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace coursehead::replay {

using namespace std::chrono_literals;

namespace {

constexpr int slots = 6;
constexpr int queueLength = 6;
constexpr double workMs = 30;
constexpr Millis networkDelay{ 1 }; //!< from a gateway to an upstream
constexpr MonoTime start{ 1000s };
constexpr Millis overloadStart{ 3000 };
constexpr Millis overloadEnd{ 9000 };
constexpr Millis arrivalsEnd{ 15000 };
//! A send that arrives so soon after the request for a back-off may have crossed it on the way.
constexpr Millis crossingAllowance{ 500 };
constexpr int maxSendsPerAttempt = 5;
//! A waiting request chooses an upstream again after this pause.
constexpr int pollIntervalMs = 25;
constexpr Millis defaultRetryAfter{ 300 };

//! One gateway's state for an upstream.
struct UpstreamView {
    decide::AnnouncedState announced;
    gateway::Health health;
    int inFlight = 0;
    decide::SlowStart slowStart;
};

//! A back-off that an upstream requested from a gateway.
struct RequestedBackoff {
    std::size_t gateway = 0;
    MonoTime since;
    int sendCount = 0; //!< sends from that gateway during the back-off
};

struct Upstream {
    int running = 0;
    std::vector<std::function<void()>> waiting;
    std::vector<RequestedBackoff> requestedBackoffs;
};

struct Request {
    MonoTime firstAttempt; //!< when the client first sent it
    std::size_t gateway = 0;
    int attempts = 1;
    int sends = 0;
    std::set<std::size_t> excluded;
};

class World {
public:
    explicit World( const BackoffLoad& load )
        : m_load( load ), m_random( load.seed ),
          m_gateways( static_cast<std::size_t>( load.gateways ),
                      std::vector<UpstreamView>( static_cast<std::size_t>( load.upstreams ) ) ),
          m_upstreams( static_cast<std::size_t>( load.upstreams ) ) {}

    BackoffOutcome simulate() {
        scheduleNextRequest();
        while( !m_events.empty() ) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto event = std::move( first->second );
            m_events.erase( first );
            event();
        }
        return m_out;
    }

private:
    void schedule( Millis delay, std::function<void()> event ) {
        m_events.emplace( m_now + delay, std::move( event ) );
    }

    bool overloaded() const {
        return m_now >= start + overloadStart && m_now < start + overloadEnd;
    }

    void scheduleNextRequest() {
        if( m_now >= start + arrivalsEnd ) {
            return;
        }
        const double requestsPerS = m_load.requestsPerS * ( overloaded() ? m_load.burstFactor : 1 );
        const double pause = -std::log( 1 - m_random.unit() ) / requestsPerS;
        m_events.emplace(
            m_now + std::chrono::nanoseconds( static_cast<std::int64_t>( pause * 1e9 ) ), [this] {
                ++m_out.requests;
                Request request;
                request.firstAttempt = m_now;
                request.gateway = m_random.below( m_gateways.size() );
                choose( request );
                scheduleNextRequest();
            } );
    }

    UpstreamView& viewOf( const Request& request, std::size_t upstream ) {
        return m_gateways[request.gateway][upstream];
    }

    Millis timeLeft( const Request& request ) const {
        return remaining( m_now, request.firstAttempt + m_load.deadline );
    }

    void choose( Request request ) {
        std::vector<gateway::Candidate> candidates;
        std::vector<std::size_t> upstreams;
        for( std::size_t n = 0; n < m_upstreams.size(); ++n ) {
            const auto& it = viewOf( request, n );
            const auto backoff =
                m_load.policy.honoursBackoff ? it.announced.backoffLeft( m_now ) : Millis{ 0 };
            const bool inBackoff = backoff.count() > 0 && !m_load.policy.waitsForBackoffEnd;
            if( request.excluded.contains( n ) || inBackoff ) {
                continue;
            }
            gateway::Candidate candidate;
            candidate.workMs = workMs;
            candidate.backlogMs = workMs * it.inFlight / slots;
            candidate.failures = gateway::recentFailures( it.health, m_now );
            candidate.sendDelayMs = static_cast<double>( backoff.count() );
            if( m_load.policy.slowStart && !it.slowStart.admits( it.inFlight ) ) {
                candidate.sendDelayMs += pollIntervalMs;
            }
            candidate.affinity = m_random.below( 1U << 30U );
            candidates.push_back( candidate );
            upstreams.push_back( n );
        }
        const auto best = gateway::choose( candidates );
        if( !best || request.sends >= maxSendsPerAttempt || timeLeft( request ).count() == 0 ) {
            refuse( request, timeToFirstBackoffEnd( request ) );
            return;
        }
        const double wait = candidates[*best].sendDelayMs;
        if( wait > 0 ) {
            waitOrRefuse( request, Millis( static_cast<std::int64_t>( wait ) ) );
            return;
        }
        send( request, upstreams[*best] );
    }

    void waitOrRefuse( const Request& request, Millis wait ) {
        const Millis work{ static_cast<std::int64_t>( workMs ) };
        if( wait > timeLeft( request ) - work ) {
            refuse( request, wait );
        } else {
            schedule( std::min( wait, Millis( pollIntervalMs ) ),
                      [this, request] { choose( request ); } );
        }
    }

    //! Time until the first back-off that the request's gateway knows of ends.
    Millis timeToFirstBackoffEnd( const Request& request ) {
        Millis out{ 0 };
        for( std::size_t n = 0; n < m_upstreams.size(); ++n ) {
            const auto left = viewOf( request, n ).announced.backoffLeft( m_now );
            out = out.count() == 0 ? left : std::min( out, left );
        }
        const bool hasBackoff = m_load.policy.honoursBackoff && out.count() > 0;
        return hasBackoff ? out : defaultRetryAfter;
    }

    void refuse( Request request, Millis retryAfter ) {
        constexpr int clientAttempts = 2;
        constexpr int maxWaitDivisor = 3;
        if( request.attempts >= clientAttempts || timeLeft( request ).count() == 0 ) {
            ++m_out.failed;
            return;
        }
        ++request.attempts;
        request.sends = 0;
        request.excluded.clear();
        request.gateway = m_random.below( m_gateways.size() );
        const auto wait = std::min( retryAfter, timeLeft( request ) / maxWaitDivisor );
        schedule( wait, [this, request] { choose( request ); } );
    }

    void send( Request request, std::size_t upstream ) {
        ++request.sends;
        ++m_out.sends;
        ++viewOf( request, upstream ).inFlight;
        schedule( networkDelay, [this, request, upstream] { onArrival( request, upstream ); } );
    }

    void onArrival( const Request& request, std::size_t upstream ) {
        Upstream& it = m_upstreams[upstream];
        noteSendDuringBackoff( it, request );
        const bool full = it.running >= slots && it.waiting.size() >= queueLength;
        const bool sheds = overloaded() && m_random.unit() < m_load.shedFraction;
        if( full || sheds ) {
            it.requestedBackoffs.push_back( { request.gateway, m_now } );
            schedule( networkDelay,
                      [this, request, upstream] { onRejected( request, upstream ); } );
        } else if( it.running < slots ) {
            run( request, upstream );
        } else {
            it.waiting.emplace_back( [this, request, upstream] { run( request, upstream ); } );
        }
    }

    void noteSendDuringBackoff( Upstream& upstream, const Request& request ) {
        for( auto& it : upstream.requestedBackoffs ) {
            const bool inside =
                m_now > it.since + crossingAllowance && m_now < it.since + m_load.backoff;
            if( it.gateway == request.gateway && inside ) {
                ++m_out.sendsDuringBackoff;
                m_out.maxDuringOneBackoff = std::max( m_out.maxDuringOneBackoff, ++it.sendCount );
            }
        }
    }

    void run( const Request& request, std::size_t upstream ) {
        ++m_upstreams[upstream].running;
        const Millis work{ static_cast<std::int64_t>( workMs ) };
        schedule( work, [this, request, upstream] {
            Upstream& it = m_upstreams[upstream];
            --it.running;
            if( !it.waiting.empty() ) {
                const auto next = std::move( it.waiting.front() );
                it.waiting.erase( it.waiting.begin() );
                next();
            }
            schedule( networkDelay, [this, request, upstream] { onServed( request, upstream ); } );
        } );
    }

    void onServed( const Request& request, std::size_t upstream ) {
        --viewOf( request, upstream ).inFlight;
        viewOf( request, upstream ).slowStart.noteServed();
        const auto took = m_now - request.firstAttempt;
        ++( took <= m_load.goal       ? m_out.withinGoal
            : took <= m_load.deadline ? m_out.late
                                      : m_out.failed );
    }

    void onRejected( Request request, std::size_t upstream ) {
        auto& it = viewOf( request, upstream );
        --it.inFlight;
        decide::Announcement announcement;
        announcement.backoff = m_load.backoff;
        it.announced.take( announcement, m_now );
        it.slowStart.begin( slots, m_load.gateways );
        gateway::noteFailure( it.health, 0.5, m_now );
        if( !m_load.policy.waitsForBackoffEnd ) {
            request.excluded.insert( upstream );
        }
        choose( request );
    }

    BackoffLoad m_load;
    RandomSource m_random;
    std::vector<std::vector<UpstreamView>> m_gateways;
    std::vector<Upstream> m_upstreams;
    std::multimap<MonoTime, std::function<void()>> m_events;
    MonoTime m_now = start;
    BackoffOutcome m_out;
};

} // namespace

BackoffOutcome simulateBackoffs( const BackoffLoad& load ) {
    return World( load ).simulate();
}

} // namespace coursehead::replay
