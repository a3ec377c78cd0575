// SPDX-License-Identifier: BSL-1.0
#include "replay/limit_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/gateway_limits.hpp"
#include "decide/limit_holder.hpp"
#include "support/limit_watch.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>

namespace coursehead::replay {

namespace {

constexpr Millis checkInterval{ 100 };
constexpr Millis updateInterval{ 400 };
constexpr Millis keepaliveInterval{ 450 };
constexpr Millis keepaliveTimeout{ 700 };
constexpr Millis requestTimeout{ 150 };
constexpr Millis announcementGrace{ 3000 };
//! Before the first request, so that gateways and holders have exchanged keepalives.
constexpr Millis warmUp{ 3000 };
//! The upstream's count leaves out requests that a gateway sends within this time of learning its
//! limit: they may have been on their way already.
constexpr Millis crossingAllowance{ 500 };
constexpr double quietFraction = 0.001;

struct Gateway {
    std::string name;
    int incarnation = 0;
    decide::GatewayLimits gatewayLimits;
    std::vector<decide::LimitState> limits; //!< by upstream
    std::vector<MonoTime> lastSent;         //!< by upstream; for `independent` and `equalParts`
    //! By upstream; the first answer that named a limit.
    std::vector<std::optional<MonoTime>> limitKnownSince;
    std::vector<MonoTime> lastKeepalive; //!< by holder; when it arrived
    MonoTime updatedAt;
    bool cutFromHolders = false;
    bool split = false;
    bool frozen = false;
};

struct Holder {
    std::string name;
    std::unique_ptr<decide::LimitHolder> limitHolder = std::make_unique<decide::LimitHolder>();
    bool frozen = false;
};

struct Upstream {
    std::string start;
    support::LimitWatch watch{ announcementGrace };
};

//! A request at a gateway.
struct Request {
    std::size_t gateway = 0;
    std::vector<std::size_t> remainingUpstreams; //!< not tried yet
    bool duringLimit = false;                    //!< arrived while the limits were in force
    bool afterLimit = false; //!< arrived after the limits' end and the recovery time
};

class World {
public:
    World( const LimitLoad& load, const std::vector<LimitEvent>& events, LimitPolicy policy,
           std::uint64_t seed )
        : m_load( load ), m_policy( policy ), m_random( seed ) {
        for( int n = 0; n < load.holders; ++n ) {
            m_holders.push_back( { "10.0.0." + std::to_string( n ) } );
        }
        for( int n = 0; n < load.upstreams; ++n ) {
            m_upstreams.push_back( { "u" + std::to_string( n ) + "#1" } );
        }
        m_gateways.resize( static_cast<std::size_t>( load.gateways ) );
        for( std::size_t n = 0; n < m_gateways.size(); ++n ) {
            m_gateways[n].name = "g" + std::to_string( n );
            startGateway( n );
        }
        for( std::size_t n = 0; n < m_holders.size(); ++n ) {
            at( m_now + randomDuration( keepaliveInterval ), [this, n] { sendKeepalives( n ); } );
        }
        for( const auto& it : events ) {
            at( m_trafficStart + it.from, [this, it] { applyFault( it, true ); } );
            at( m_trafficStart + it.to, [this, it] { applyFault( it, false ); } );
        }
        at( m_trafficStart + load.limitStartsAt, [this] { setLimits( m_load.limitPerS ); } );
        at( m_trafficStart + load.limitEndsAt, [this] { setLimits( std::nullopt ); } );
        at( m_trafficStart, [this] { scheduleArrivals(); } );
    }

    LimitOutcome simulate() {
        while( !m_queue.empty() && m_queue.top().at < m_trafficStart + m_load.length ) {
            auto next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            next.run();
        }
        for( const auto& it : m_upstreams ) {
            m_out.maxInWindow = std::max( m_out.maxInWindow, it.watch.mostInWindow() );
        }
        m_out.excess = m_out.maxInWindow - m_allowed;
        const double seconds =
            std::chrono::duration<double>( m_load.limitEndsAt - m_load.limitStartsAt ).count();
        const double capacity = m_load.limitPerS * m_load.upstreams * seconds;
        m_out.utilisation =
            m_out.served / std::min<double>( capacity, std::max( m_out.requests, 1 ) );
        return m_out;
    }

private:
    struct Event {
        MonoTime at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<( const Event& other ) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at( MonoTime time, std::function<void()> run ) {
        m_queue.push( { time, ++m_order, std::move( run ) } );
    }
    MonoTime::duration randomDuration( Millis most ) {
        return std::chrono::duration_cast<MonoTime::duration>(
            std::chrono::duration<double, std::milli>( m_random.unit() *
                                                       static_cast<double>( most.count() ) ) );
    }
    MonoTime::duration networkDelay() { return Millis( 1 ) + randomDuration( Millis( 6 ) ); }

    void startGateway( std::size_t n ) {
        auto& it = m_gateways[n];
        const int incarnation = it.incarnation + 1;
        const auto name = it.name;
        it = Gateway{};
        it.name = name;
        it.incarnation = incarnation;
        it.lastKeepalive.assign( m_holders.size(), MonoTime{} );
        it.lastSent.assign( m_upstreams.size(), m_now );
        it.limitKnownSince.assign( m_upstreams.size(), std::nullopt );
        for( std::size_t u = 0; u < m_upstreams.size(); ++u ) {
            const double phase = m_random.unit();
            it.limits.push_back( { {}, decide::SendSchedule( phase ), {}, {} } );
        }
        at( m_now + randomDuration( checkInterval ),
            [this, n, incarnation] { tick( n, incarnation ); } );
    }

    void setLimits( std::optional<double> perS ) {
        m_perS = perS;
        for( auto& it : m_upstreams ) {
            it.watch.setLimit( perS, m_now );
            m_allowed = perS ? it.watch.allowed() : m_allowed;
        }
    }

    void applyFault( const LimitEvent& event, bool starts ) {
        const auto countOf = []( std::size_t all, double fraction ) {
            return static_cast<std::size_t>( std::ceil( fraction * static_cast<double>( all ) ) );
        };
        const auto gateways = countOf( m_gateways.size(), event.fraction );
        const auto holders = countOf( m_holders.size(), event.fraction );
        switch( event.kind ) {
        case LimitFault::cutOff:
            for( std::size_t n = 0; n < gateways; ++n ) {
                m_gateways[n].cutFromHolders = starts;
            }
            break;
        case LimitFault::split:
            m_split = starts;
            for( std::size_t n = 0; n < gateways; ++n ) {
                m_gateways[n].split = starts;
            }
            break;
        case LimitFault::freeze:
            for( std::size_t n = 0; n < gateways; ++n ) {
                m_gateways[n].frozen = starts;
            }
            break;
        case LimitFault::killAll:
            for( std::size_t n = 0; starts && n < m_gateways.size(); ++n ) {
                startGateway( n );
            }
            [[fallthrough]];
        case LimitFault::holderKill:
            for( std::size_t n = 0; starts && n < holders; ++n ) {
                m_holders[n].limitHolder = std::make_unique<decide::LimitHolder>();
            }
            break;
        case LimitFault::holderFreeze:
            for( std::size_t n = 0; n < holders; ++n ) {
                m_holders[n].frozen = starts;
            }
            break;
        }
    }

    //! Whether a gateway and a holder can exchange messages. In a split fleet the gateways of each
    //! side reach one half of the holders.
    bool reaches( const Gateway& gateway, std::size_t holder ) const {
        if( gateway.cutFromHolders || gateway.frozen || m_holders[holder].frozen ) {
            return false;
        }
        const bool upperHalf = holder >= m_holders.size() / 2;
        return !m_split || gateway.split == upperHalf;
    }

    void sendKeepalives( std::size_t holder ) {
        for( std::size_t n = 0; n < m_gateways.size(); ++n ) {
            if( reaches( m_gateways[n], holder ) ) {
                at( m_now + networkDelay(),
                    [this, n, holder] { m_gateways[n].lastKeepalive[holder] = m_now; } );
            }
        }
        at( m_now + keepaliveInterval, [this, holder] { sendKeepalives( holder ); } );
    }

    void tick( std::size_t n, int incarnation ) {
        auto& it = m_gateways[n];
        if( it.incarnation != incarnation ) {
            return;
        }
        if( !it.frozen && m_policy == LimitPolicy::holder ) {
            refresh( n );
            if( !it.gatewayLimits.idle() && m_now - it.updatedAt >= updateInterval ) {
                sendUpdates( n );
            }
        }
        at( m_now + checkInterval, [this, n, incarnation] { tick( n, incarnation ); } );
    }

    void refresh( std::size_t n ) {
        auto& it = m_gateways[n];
        decide::GatewayLimits::Statements statements;
        for( std::size_t u = 0; u < m_upstreams.size(); ++u ) {
            const auto& known = it.limits[u].known;
            if( decide::isReportable( known, m_now ) ) {
                const auto& start = m_upstreams[u].start;
                statements.emplace( start, decide::statementOf( start, known, m_now ) );
            }
        }
        it.gatewayLimits.setStatements( std::move( statements ) );
        std::vector<decide::HolderCandidate> candidates;
        for( std::size_t h = 0; h < m_holders.size(); ++h ) {
            const bool answers = it.lastKeepalive[h] != MonoTime{} &&
                                 m_now - it.lastKeepalive[h] <= keepaliveTimeout;
            candidates.push_back( { m_holders[h].name, answers } );
        }
        if( it.gatewayLimits.setCandidates( candidates, m_load.gateways, m_now ) ) {
            sendUpdates( n );
        }
    }

    void sendUpdates( std::size_t n ) {
        auto& it = m_gateways[n];
        it.updatedAt = m_now;
        for( std::size_t h = 0; h < m_holders.size(); ++h ) {
            const bool answers = it.lastKeepalive[h] != MonoTime{} &&
                                 m_now - it.lastKeepalive[h] <= keepaliveTimeout;
            auto update =
                answers ? it.gatewayLimits.takeUpdate( m_holders[h].name, m_now ) : std::nullopt;
            if( !update || !reaches( it, h ) ) {
                continue;
            }
            update->gateway = it.name;
            at( m_now + networkDelay(), [this, h, message = *update] {
                m_holders[h].limitHolder->takeUpdate( message, m_now );
                broadcastChanges( h );
            } );
        }
    }

    //! Sends the changed limits that a holder has received to all gateways.
    void broadcastChanges( std::size_t h ) {
        for( const auto& statement : m_holders[h].limitHolder->takeChanges( m_now ) ) {
            const auto it =
                std::find_if( m_upstreams.begin(), m_upstreams.end(),
                              [&]( const auto& u ) { return u.start == statement.start; } );
            const auto u = static_cast<std::size_t>( it - m_upstreams.begin() );
            for( std::size_t n = 0; n < m_gateways.size(); ++n ) {
                if( reaches( m_gateways[n], h ) ) {
                    at( m_now + networkDelay(), [this, n, u, statement] {
                        decide::applyStatement( m_gateways[n].limits[u].known, statement, m_now );
                    } );
                }
            }
        }
    }

    void scheduleArrivals() {
        const bool quiet = m_now < m_trafficStart + m_load.quietUntil;
        const double perS = m_load.requestsPerS * ( quiet ? quietFraction : 1 );
        const double seconds = -std::log( 1 - m_random.unit() ) / perS;
        const auto gap = std::chrono::duration_cast<MonoTime::duration>(
            std::chrono::duration<double>( std::min( seconds, 1.0 ) ) );
        if( seconds < 1 ) {
            at( m_now + gap, [this] { startRequest(); } );
        }
        at( m_now + gap, [this] { scheduleArrivals(); } );
    }

    void startRequest() {
        auto request = std::make_shared<Request>();
        request->gateway = m_random.below( m_gateways.size() );
        for( std::size_t u = 0; u < m_upstreams.size(); ++u ) {
            request->remainingUpstreams.push_back( u );
        }
        const auto since = m_now - m_trafficStart;
        request->duringLimit = since >= m_load.limitStartsAt && since < m_load.limitEndsAt;
        request->afterLimit = since >= m_load.limitEndsAt + m_load.recoveryTime &&
                              since < m_load.length - m_load.slowestAnswer;
        m_out.requests += request->duringLimit ? 1 : 0;
        m_out.requestsAfterEnd += request->afterLimit ? 1 : 0;
        tryNextUpstream( request );
    }

    void tryNextUpstream( const std::shared_ptr<Request>& request ) {
        auto& gateway = m_gateways[request->gateway];
        if( gateway.frozen ) {
            return;
        }
        std::erase_if( request->remainingUpstreams, [&]( std::size_t u ) {
            return gateway.limits[u].fullLeft( m_now ).count() > 0;
        } );
        if( request->remainingUpstreams.empty() ) {
            return; // refused at once
        }
        const auto pick = m_random.below( request->remainingUpstreams.size() );
        const auto u = request->remainingUpstreams[pick];
        request->remainingUpstreams.erase( request->remainingUpstreams.begin() +
                                           static_cast<std::ptrdiff_t>( pick ) );
        if( !gateway.limits[u].known.perS() || m_policy == LimitPolicy::ignored ) {
            send( request, u );
        } else if( m_policy == LimitPolicy::holder ) {
            askHolder( request, u );
        } else {
            decideLocally( request, u );
        }
    }

    //! Decides under the policies that ask no holder.
    void decideLocally( const std::shared_ptr<Request>& request, std::size_t u ) {
        auto& gateway = m_gateways[request->gateway];
        const double perS = *gateway.limits[u].known.perS();
        bool admitted = false;
        if( m_policy == LimitPolicy::independent ) {
            const auto pause = std::chrono::duration<double>( 1 / perS );
            admitted = m_now - gateway.lastSent[u] >= pause;
            gateway.lastSent[u] = admitted ? m_now : gateway.lastSent[u];
        } else if( m_policy == LimitPolicy::equalParts ) {
            const auto period = std::chrono::duration_cast<MonoTime::duration>(
                std::chrono::duration<double>( m_load.gateways / perS ) );
            const auto shift = std::chrono::duration_cast<MonoTime::duration>(
                period * gateway.limits[u].sendSchedule.phase() );
            const auto periodNumber = [&]( MonoTime time ) {
                return ( time.time_since_epoch() + shift ) / period;
            };
            admitted = periodNumber( m_now ) > periodNumber( gateway.lastSent[u] );
            gateway.lastSent[u] = admitted ? m_now : gateway.lastSent[u];
        } else {
            admitted = decide::applyLimitAnswer( gateway.limits[u], std::nullopt, m_load.gateways,
                                                 m_now, m_now )
                           .maySend();
        }
        if( admitted ) {
            send( request, u );
        } else {
            tryNextUpstream( request );
        }
    }

    void askHolder( const std::shared_ptr<Request>& request, std::size_t u ) {
        auto& gateway = m_gateways[request->gateway];
        const auto& start = m_upstreams[u].start;
        if( !gateway.gatewayLimits.knows( start ) ) {
            refresh( request->gateway );
            sendUpdates( request->gateway );
        }
        const auto name = gateway.gatewayLimits.holderOf( start, m_now );
        const auto it = std::find_if( m_holders.begin(), m_holders.end(),
                                      [&]( const auto& holder ) { return holder.name == name; } );
        if( it == m_holders.end() ) {
            applyAnswer( request, u, std::nullopt, m_now );
            return;
        }
        const auto h = static_cast<std::size_t>( it - m_holders.begin() );
        const auto askedAt = m_now;
        const auto settled = std::make_shared<bool>( false );
        const auto settle = [this, request, u, askedAt,
                             settled]( const std::optional<decide::LimitAnswer>& answer ) {
            if( !*settled ) {
                *settled = true;
                applyAnswer( request, u, answer, askedAt );
            }
        };
        at( m_now + requestTimeout, [settle] { settle( std::nullopt ); } );
        decide::LimitRequest limitRequest;
        limitRequest.statement = decide::statementOf( start, gateway.limits[u].known, m_now );
        if( !reaches( gateway, h ) ) {
            return;
        }
        at( m_now + networkDelay(), [this, request, h, limitRequest, settle] {
            const auto& from = m_gateways[request->gateway];
            const auto answer = m_holders[h].limitHolder->ask( from.name, limitRequest, m_now );
            broadcastChanges( h );
            if( reaches( from, h ) ) {
                at( m_now + networkDelay(), [settle, answer] { settle( answer ); } );
            }
        } );
    }

    void applyAnswer( const std::shared_ptr<Request>& request, std::size_t u,
                      const std::optional<decide::LimitAnswer>& answer, MonoTime askedAt ) {
        auto& gateway = m_gateways[request->gateway];
        const auto decision =
            decide::applyLimitAnswer( gateway.limits[u], answer, m_load.gateways, askedAt, m_now );
        if( decision.maySend() ) {
            send( request, u );
        } else {
            tryNextUpstream( request );
        }
    }

    void send( const std::shared_ptr<Request>& request, std::size_t u ) {
        const auto sent = m_now;
        const int incarnation = m_gateways[request->gateway].incarnation;
        const auto limitKnownSince = m_gateways[request->gateway].limitKnownSince[u];
        const bool informed = limitKnownSince && m_now - *limitKnownSince >= crossingAllowance;
        const bool aware = m_gateways[request->gateway].limits[u].known.perS().has_value();
        at( m_now + networkDelay(), [this, request, u, sent, incarnation, informed, aware] {
            if( informed ) {
                m_upstreams[u].watch.countRequest( m_now );
            }
            m_out.unawareRequests += m_perS && !aware ? 1 : 0;
            const auto work = m_load.fastestAnswer +
                              randomDuration( m_load.slowestAnswer - m_load.fastestAnswer );
            at( m_now + work, [this, request, u, sent, incarnation] {
                const auto announced = m_perS;
                at( m_now + networkDelay(), [this, request, u, sent, incarnation, announced] {
                    onAnswer( *request, u, sent, incarnation, announced );
                } );
            } );
        } );
    }

    void onAnswer( const Request& request, std::size_t u, MonoTime sent, int incarnation,
                   std::optional<double> announced ) {
        auto& gateway = m_gateways[request.gateway];
        if( gateway.incarnation != incarnation ) {
            return;
        }
        m_out.served += request.duringLimit ? 1 : 0;
        m_out.servedAfterEnd += request.afterLimit ? 1 : 0;
        auto& known = gateway.limits[u].known;
        if( announced ) {
            gateway.limitKnownSince[u] = gateway.limitKnownSince[u].value_or( m_now );
            known.noteNamed( *announced, m_now );
        } else {
            known.noteNone( sent, m_now );
        }
    }

    LimitLoad m_load;
    LimitPolicy m_policy;
    RandomSource m_random;
    MonoTime m_now{ std::chrono::seconds( 1000 ) };
    MonoTime m_trafficStart = m_now + warmUp;
    std::priority_queue<Event> m_queue;
    std::uint64_t m_order = 0;
    std::vector<Gateway> m_gateways;
    std::vector<Holder> m_holders;
    std::vector<Upstream> m_upstreams;
    std::optional<double> m_perS;
    bool m_split = false;
    int m_allowed = 0;
    LimitOutcome m_out;
};

} // namespace

LimitOutcome simulateLimits( const LimitLoad& load, const std::vector<LimitEvent>& events,
                             LimitPolicy policy, std::uint64_t seed ) {
    World world( load, events, policy, seed );
    return world.simulate();
}

} // namespace coursehead::replay
