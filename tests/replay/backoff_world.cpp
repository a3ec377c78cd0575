// SPDX-License-Identifier: BSL-1.0
#include "replay/backoff_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/announcement.hpp"
#include "decide/backoff.hpp"
#include "gateway/health.hpp"
#include "gateway/selection.hpp"

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
constexpr int queue = 6;
constexpr double workMs = 30;
constexpr Millis way{ 1 }; //!< from a gateway to an upstream
constexpr MonoTime start{ 1000s };
constexpr Millis troubleAt{ 3000 };
constexpr Millis troubleEnd{ 9000 };
constexpr Millis end{ 15000 };
constexpr Millis crossing{ 500 };
constexpr int sendsATry = 5;
//! Pause until a request that waits chooses again.
constexpr int look = 25;
constexpr Millis defaultRetryAfter{ 300 };

//! An upstream as one gateway knows it.
struct Known {
    decide::AnnouncedState announced;
    gateway::Health health;
    int inFlight = 0;
    decide::SlowStart slowStart;
};

//! A back-off that an upstream asked a gateway for.
struct Asked {
    std::size_t gateway = 0;
    MonoTime since;
    int against = 0;
};

struct Upstream {
    int running = 0;
    std::vector<std::function<void()>> waiting;
    std::vector<Asked> asked;
};

struct Request {
    MonoTime first; //!< the client's first try
    std::size_t gateway = 0;
    int tries = 1;
    int sends = 0;
    std::set<std::size_t> excluded;
};

class World {
public:
    explicit World( const BackoffLoad& load )
        : m_load( load ), m_random( load.seed ),
          m_gateways( static_cast<std::size_t>( load.gateways ),
                      std::vector<Known>( static_cast<std::size_t>( load.upstreams ) ) ),
          m_upstreams( static_cast<std::size_t>( load.upstreams ) ) {}

    BackoffOutcome play() {
        arrive();
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
    void after( Millis delay, std::function<void()> event ) {
        m_events.emplace( m_now + delay, std::move( event ) );
    }

    bool troubled() const { return m_now >= start + troubleAt && m_now < start + troubleEnd; }

    void arrive() {
        if( m_now >= start + end ) {
            return;
        }
        const double perS = m_load.perS * ( troubled() ? m_load.burst : 1 );
        const double pause = -std::log( 1 - m_random.unit() ) / perS;
        m_events.emplace(
            m_now + std::chrono::nanoseconds( static_cast<std::int64_t>( pause * 1e9 ) ), [this] {
                ++m_out.asked;
                Request request;
                request.first = m_now;
                request.gateway = m_random.below( m_gateways.size() );
                choose( request );
                arrive();
            } );
    }

    Known& known( const Request& request, std::size_t upstream ) {
        return m_gateways[request.gateway][upstream];
    }

    Millis leftOf( const Request& request ) const {
        return remaining( m_now, request.first + m_load.deadline );
    }

    void choose( Request request ) {
        std::vector<gateway::Candidate> candidates;
        std::vector<std::size_t> upstreams;
        for( std::size_t n = 0; n < m_upstreams.size(); ++n ) {
            const auto& it = known( request, n );
            const auto backoff =
                m_load.policy.heeded ? it.announced.backoffLeft( m_now ) : Millis{ 0 };
            const bool gone = backoff.count() > 0 && !m_load.policy.waits;
            if( request.excluded.contains( n ) || gone ) {
                continue;
            }
            gateway::Candidate candidate;
            candidate.workMs = workMs;
            candidate.backlogMs = workMs * it.inFlight / slots;
            candidate.failures = gateway::recentFailures( it.health, m_now );
            candidate.sendDelayMs = static_cast<double>( backoff.count() );
            if( m_load.policy.slowStart && !it.slowStart.admits( it.inFlight ) ) {
                candidate.sendDelayMs += look;
            }
            candidate.affinity = m_random.below( 1U << 30U );
            candidates.push_back( candidate );
            upstreams.push_back( n );
        }
        const auto best = gateway::choose( candidates );
        if( !best || request.sends >= sendsATry || leftOf( request ).count() == 0 ) {
            refuse( request, soonest( request ) );
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
        if( wait > leftOf( request ) - work ) {
            refuse( request, wait );
        } else {
            after( std::min( wait, Millis( look ) ), [this, request] { choose( request ); } );
        }
    }

    //! When the first back-off ends, as far as its gateway knows.
    Millis soonest( const Request& request ) {
        Millis out{ 0 };
        for( std::size_t n = 0; n < m_upstreams.size(); ++n ) {
            const auto left = known( request, n ).announced.backoffLeft( m_now );
            out = out.count() == 0 ? left : std::min( out, left );
        }
        const bool heard = m_load.policy.heeded && out.count() > 0;
        return heard ? out : defaultRetryAfter;
    }

    void refuse( Request request, Millis retryAfter ) {
        constexpr int triesOfClients = 2;
        constexpr int honouredPart = 3;
        if( request.tries >= triesOfClients || leftOf( request ).count() == 0 ) {
            ++m_out.lost;
            return;
        }
        ++request.tries;
        request.sends = 0;
        request.excluded.clear();
        request.gateway = m_random.below( m_gateways.size() );
        const auto wait = std::min( retryAfter, leftOf( request ) / honouredPart );
        after( wait, [this, request] { choose( request ); } );
    }

    void send( Request request, std::size_t upstream ) {
        ++request.sends;
        ++m_out.sends;
        ++known( request, upstream ).inFlight;
        after( way, [this, request, upstream] { takeUp( request, upstream ); } );
    }

    void takeUp( const Request& request, std::size_t upstream ) {
        Upstream& it = m_upstreams[upstream];
        noteArrival( it, request );
        const bool full = it.running >= slots && it.waiting.size() >= queue;
        const bool sheds = troubled() && m_random.unit() < m_load.shed;
        if( full || sheds ) {
            it.asked.push_back( { request.gateway, m_now } );
            after( way, [this, request, upstream] { turnedAway( request, upstream ); } );
        } else if( it.running < slots ) {
            run( request, upstream );
        } else {
            it.waiting.emplace_back( [this, request, upstream] { run( request, upstream ); } );
        }
    }

    void noteArrival( Upstream& upstream, const Request& request ) {
        for( auto& it : upstream.asked ) {
            const bool inside = m_now > it.since + crossing && m_now < it.since + m_load.backoff;
            if( it.gateway == request.gateway && inside ) {
                ++m_out.against;
                m_out.most = std::max( m_out.most, ++it.against );
            }
        }
    }

    void run( const Request& request, std::size_t upstream ) {
        ++m_upstreams[upstream].running;
        const Millis work{ static_cast<std::int64_t>( workMs ) };
        after( work, [this, request, upstream] {
            Upstream& it = m_upstreams[upstream];
            --it.running;
            if( !it.waiting.empty() ) {
                const auto next = std::move( it.waiting.front() );
                it.waiting.erase( it.waiting.begin() );
                next();
            }
            after( way, [this, request, upstream] { answered( request, upstream ); } );
        } );
    }

    void answered( const Request& request, std::size_t upstream ) {
        --known( request, upstream ).inFlight;
        known( request, upstream ).slowStart.noteServed();
        const auto took = m_now - request.first;
        ++( took <= m_load.goal       ? m_out.inGoal
            : took <= m_load.deadline ? m_out.late
                                      : m_out.lost );
    }

    void turnedAway( Request request, std::size_t upstream ) {
        auto& it = known( request, upstream );
        --it.inFlight;
        decide::Announcement said;
        said.backoff = m_load.backoff;
        it.announced.take( said, m_now );
        it.slowStart.begin( slots, m_load.gateways );
        gateway::noteFailure( it.health, 0.5, m_now );
        if( !m_load.policy.waits ) {
            request.excluded.insert( upstream );
        }
        choose( request );
    }

    BackoffLoad m_load;
    RandomSource m_random;
    std::vector<std::vector<Known>> m_gateways;
    std::vector<Upstream> m_upstreams;
    std::multimap<MonoTime, std::function<void()>> m_events;
    MonoTime m_now = start;
    BackoffOutcome m_out;
};

} // namespace

BackoffOutcome playBackoffs( const BackoffLoad& load ) {
    return World( load ).play();
}

} // namespace coursehead::replay
