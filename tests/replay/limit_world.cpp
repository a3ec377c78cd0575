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

constexpr Millis lookEvery{ 100 };
constexpr Millis tellEvery{ 400 };
constexpr Millis speakEvery{ 450 };
constexpr Millis silence{ 700 };
constexpr Millis askTime{ 150 };
constexpr Millis contact{ 3000 };
//! Gateways and holders know each other before requests come.
constexpr Millis lead{ 3000 };
//! Requests sent so soon after a gateway was told may have crossed.
constexpr Millis crossing{ 500 };
constexpr double quietPart = 0.001;

struct Gateway {
    std::string name;
    int life = 0;
    decide::GatewayLimits book;
    std::vector<decide::LimitState> limits;    //!< by upstream
    std::vector<MonoTime> spent;               //!< likewise; of the way without others
    std::vector<std::optional<MonoTime>> told; //!< likewise: an answer named a limit, at first
    std::vector<MonoTime> heard;               //!< by holder
    MonoTime toldAt;
    bool cut = false;
    bool split = false;
    bool frozen = false;
};

struct Holder {
    std::string name;
    std::unique_ptr<decide::LimitHolder> kept = std::make_unique<decide::LimitHolder>();
    bool frozen = false;
};

struct Upstream {
    std::string start;
    support::LimitWatch watch{ contact };
};

//! A request on its way through one gateway.
struct Request {
    std::size_t gateway = 0;
    std::vector<std::size_t> left; //!< upstreams that it may still go to
    bool counted = false;          //!< it came while the limits were in force
    bool after = false;            //!< it came when they had ended for a while
};

class World {
public:
    World( const LimitLoad& load, const std::vector<LimitEvent>& events, LimitWay way,
           std::uint64_t seed )
        : m_load( load ), m_way( way ), m_random( seed ) {
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
            at( m_now + drawMillis( speakEvery ), [this, n] { speak( n ); } );
        }
        for( const auto& it : events ) {
            at( m_begin + it.from, [this, it] { trouble( it, true ); } );
            at( m_begin + it.to, [this, it] { trouble( it, false ); } );
        }
        at( m_begin + load.namedAt, [this] { nameLimits( m_load.limitPerS ); } );
        at( m_begin + load.endsAt, [this] { nameLimits( std::nullopt ); } );
        at( m_begin, [this] { arrive(); } );
    }

    LimitOutcome play() {
        while( !m_queue.empty() && m_queue.top().at < m_begin + m_load.length ) {
            auto next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            next.run();
        }
        for( const auto& it : m_upstreams ) {
            m_out.most = std::max( m_out.most, it.watch.most() );
        }
        m_out.mostBeyond = m_out.most - m_allowed;
        const double seconds =
            std::chrono::duration<double>( m_load.endsAt - m_load.namedAt ).count();
        const double room = m_load.limitPerS * m_load.upstreams * seconds;
        m_out.taken = m_out.served / std::min<double>( room, std::max( m_out.asked, 1 ) );
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
    MonoTime::duration drawMillis( Millis most ) {
        return std::chrono::duration_cast<MonoTime::duration>(
            std::chrono::duration<double, std::milli>( m_random.unit() *
                                                       static_cast<double>( most.count() ) ) );
    }
    MonoTime::duration delay() { return Millis( 1 ) + drawMillis( Millis( 6 ) ); }

    void startGateway( std::size_t n ) {
        auto& it = m_gateways[n];
        const int life = it.life + 1;
        const auto name = it.name;
        it = Gateway{};
        it.name = name;
        it.life = life;
        it.heard.assign( m_holders.size(), MonoTime{} );
        it.spent.assign( m_upstreams.size(), m_now );
        it.told.assign( m_upstreams.size(), std::nullopt );
        for( std::size_t u = 0; u < m_upstreams.size(); ++u ) {
            const double phase = m_random.unit();
            it.limits.push_back( { {}, decide::SendSchedule( phase ), {}, {} } );
        }
        at( m_now + drawMillis( lookEvery ), [this, n, life] { tick( n, life ); } );
    }

    void nameLimits( std::optional<double> perS ) {
        m_perS = perS;
        for( auto& it : m_upstreams ) {
            it.watch.name( perS, m_now );
            m_allowed = perS ? it.watch.allowed() : m_allowed;
        }
    }

    void trouble( const LimitEvent& event, bool begins ) {
        const auto some = []( std::size_t all, double part ) {
            return static_cast<std::size_t>( std::ceil( part * static_cast<double>( all ) ) );
        };
        const auto gateways = some( m_gateways.size(), event.part );
        const auto holders = some( m_holders.size(), event.part );
        switch( event.kind ) {
        case LimitTrouble::cutOff:
            for( std::size_t n = 0; n < gateways; ++n ) {
                m_gateways[n].cut = begins;
            }
            break;
        case LimitTrouble::split:
            m_split = begins;
            for( std::size_t n = 0; n < gateways; ++n ) {
                m_gateways[n].split = begins;
            }
            break;
        case LimitTrouble::freeze:
            for( std::size_t n = 0; n < gateways; ++n ) {
                m_gateways[n].frozen = begins;
            }
            break;
        case LimitTrouble::killAll:
            for( std::size_t n = 0; begins && n < m_gateways.size(); ++n ) {
                startGateway( n );
            }
            [[fallthrough]];
        case LimitTrouble::holderKill:
            for( std::size_t n = 0; begins && n < holders; ++n ) {
                m_holders[n].kept = std::make_unique<decide::LimitHolder>();
            }
            break;
        case LimitTrouble::holderFreeze:
            for( std::size_t n = 0; n < holders; ++n ) {
                m_holders[n].frozen = begins;
            }
            break;
        }
    }

    //! Whether bytes pass between the two; of a split fleet each half sees its own holders.
    bool sees( const Gateway& gateway, std::size_t holder ) const {
        if( gateway.cut || gateway.frozen || m_holders[holder].frozen ) {
            return false;
        }
        const bool upperHalf = holder >= m_holders.size() / 2;
        return !m_split || gateway.split == upperHalf;
    }

    void speak( std::size_t holder ) {
        for( std::size_t n = 0; n < m_gateways.size(); ++n ) {
            if( sees( m_gateways[n], holder ) ) {
                at( m_now + delay(), [this, n, holder] { m_gateways[n].heard[holder] = m_now; } );
            }
        }
        at( m_now + speakEvery, [this, holder] { speak( holder ); } );
    }

    void tick( std::size_t n, int life ) {
        auto& it = m_gateways[n];
        if( it.life != life ) {
            return;
        }
        if( !it.frozen && m_way == LimitWay::holder ) {
            look( n );
            if( !it.book.idle() && m_now - it.toldAt >= tellEvery ) {
                tell( n );
            }
        }
        at( m_now + lookEvery, [this, n, life] { tick( n, life ); } );
    }

    void look( std::size_t n ) {
        auto& it = m_gateways[n];
        decide::GatewayLimits::Statements statements;
        for( std::size_t u = 0; u < m_upstreams.size(); ++u ) {
            const auto& known = it.limits[u].known;
            if( decide::isReportable( known, m_now ) ) {
                const auto& start = m_upstreams[u].start;
                statements.emplace( start, decide::statementOf( start, known, m_now ) );
            }
        }
        it.book.setStatements( std::move( statements ) );
        std::vector<decide::HolderCandidate> candidates;
        for( std::size_t h = 0; h < m_holders.size(); ++h ) {
            const bool answers = it.heard[h] != MonoTime{} && m_now - it.heard[h] <= silence;
            candidates.push_back( { m_holders[h].name, answers } );
        }
        if( it.book.setCandidates( candidates, m_load.gateways, m_now ) ) {
            tell( n );
        }
    }

    void tell( std::size_t n ) {
        auto& it = m_gateways[n];
        it.toldAt = m_now;
        for( std::size_t h = 0; h < m_holders.size(); ++h ) {
            const bool answers = it.heard[h] != MonoTime{} && m_now - it.heard[h] <= silence;
            auto news = answers ? it.book.takeUpdate( m_holders[h].name, m_now ) : std::nullopt;
            if( !news || !sees( it, h ) ) {
                continue;
            }
            news->gateway = it.name;
            at( m_now + delay(), [this, h, said = *news] {
                m_holders[h].kept->takeUpdate( said, m_now );
                spread( h );
            } );
        }
    }

    //! All gateways hear what a holder has heard.
    void spread( std::size_t h ) {
        for( const auto& statement : m_holders[h].kept->takeChanges( m_now ) ) {
            const auto it =
                std::find_if( m_upstreams.begin(), m_upstreams.end(),
                              [&]( const auto& u ) { return u.start == statement.start; } );
            const auto u = static_cast<std::size_t>( it - m_upstreams.begin() );
            for( std::size_t n = 0; n < m_gateways.size(); ++n ) {
                if( sees( m_gateways[n], h ) ) {
                    at( m_now + delay(), [this, n, u, statement] {
                        decide::applyStatement( m_gateways[n].limits[u].known, statement, m_now );
                    } );
                }
            }
        }
    }

    // --- requests

    void arrive() {
        const bool quiet = m_now < m_begin + m_load.quietUntil;
        const double perS = m_load.askedPerS * ( quiet ? quietPart : 1 );
        const double seconds = -std::log( 1 - m_random.unit() ) / perS;
        const auto gap = std::chrono::duration_cast<MonoTime::duration>(
            std::chrono::duration<double>( std::min( seconds, 1.0 ) ) );
        if( seconds < 1 ) {
            at( m_now + gap, [this] { begin(); } );
        }
        at( m_now + gap, [this] { arrive(); } );
    }

    void begin() {
        auto request = std::make_shared<Request>();
        request->gateway = m_random.below( m_gateways.size() );
        for( std::size_t u = 0; u < m_upstreams.size(); ++u ) {
            request->left.push_back( u );
        }
        const auto since = m_now - m_begin;
        request->counted = since >= m_load.namedAt && since < m_load.endsAt;
        request->after =
            since >= m_load.endsAt + m_load.recovery && since < m_load.length - m_load.slowest;
        m_out.asked += request->counted ? 1 : 0;
        m_out.askedAfter += request->after ? 1 : 0;
        pursue( request );
    }

    void pursue( const std::shared_ptr<Request>& request ) {
        auto& gateway = m_gateways[request->gateway];
        if( gateway.frozen ) {
            return;
        }
        std::erase_if( request->left, [&]( std::size_t u ) {
            return gateway.limits[u].fullLeft( m_now ).count() > 0;
        } );
        if( request->left.empty() ) {
            return; // refused at once
        }
        const auto pick = m_random.below( request->left.size() );
        const auto u = request->left[pick];
        request->left.erase( request->left.begin() + static_cast<std::ptrdiff_t>( pick ) );
        if( !gateway.limits[u].known.perS() || m_way == LimitWay::ignored ) {
            send( request, u );
        } else if( m_way == LimitWay::holder ) {
            ask( request, u );
        } else {
            alone( request, u );
        }
    }

    //! Ways that ask nobody.
    void alone( const std::shared_ptr<Request>& request, std::size_t u ) {
        auto& gateway = m_gateways[request->gateway];
        const double perS = *gateway.limits[u].known.perS();
        bool goes = false;
        if( m_way == LimitWay::alone ) {
            const auto pause = std::chrono::duration<double>( 1 / perS );
            goes = m_now - gateway.spent[u] >= pause;
            gateway.spent[u] = goes ? m_now : gateway.spent[u];
        } else if( m_way == LimitWay::equalParts ) {
            const auto period = std::chrono::duration_cast<MonoTime::duration>(
                std::chrono::duration<double>( m_load.gateways / perS ) );
            const auto shift = std::chrono::duration_cast<MonoTime::duration>(
                period * gateway.limits[u].sendSchedule.phase() );
            const auto number = [&]( MonoTime time ) {
                return ( time.time_since_epoch() + shift ) / period;
            };
            goes = number( m_now ) > number( gateway.spent[u] );
            gateway.spent[u] = goes ? m_now : gateway.spent[u];
        } else {
            goes = decide::applyLimitAnswer( gateway.limits[u], std::nullopt, m_load.gateways,
                                             m_now, m_now )
                       .maySend();
        }
        if( goes ) {
            send( request, u );
        } else {
            pursue( request );
        }
    }

    void ask( const std::shared_ptr<Request>& request, std::size_t u ) {
        auto& gateway = m_gateways[request->gateway];
        const auto& start = m_upstreams[u].start;
        if( !gateway.book.knows( start ) ) {
            look( request->gateway );
            tell( request->gateway );
        }
        const auto name = gateway.book.holderOf( start, m_now );
        const auto it = std::find_if( m_holders.begin(), m_holders.end(),
                                      [&]( const auto& holder ) { return holder.name == name; } );
        if( it == m_holders.end() ) {
            follow( request, u, std::nullopt, m_now );
            return;
        }
        const auto h = static_cast<std::size_t>( it - m_holders.begin() );
        const auto asked = m_now;
        const auto done = std::make_shared<bool>( false );
        const auto end = [this, request, u, asked,
                          done]( const std::optional<decide::LimitAnswer>& answer ) {
            if( !*done ) {
                *done = true;
                follow( request, u, answer, asked );
            }
        };
        at( m_now + askTime, [end] { end( std::nullopt ); } );
        decide::LimitRequest question;
        question.statement = decide::statementOf( start, gateway.limits[u].known, m_now );
        if( !sees( gateway, h ) ) {
            return;
        }
        at( m_now + delay(), [this, request, h, question, end] {
            const auto& from = m_gateways[request->gateway];
            const auto answer = m_holders[h].kept->ask( from.name, question, m_now );
            spread( h );
            if( sees( from, h ) ) {
                at( m_now + delay(), [end, answer] { end( answer ); } );
            }
        } );
    }

    void follow( const std::shared_ptr<Request>& request, std::size_t u,
                 const std::optional<decide::LimitAnswer>& answer, MonoTime asked ) {
        auto& gateway = m_gateways[request->gateway];
        const auto decision =
            decide::applyLimitAnswer( gateway.limits[u], answer, m_load.gateways, asked, m_now );
        if( decision.maySend() ) {
            send( request, u );
        } else {
            pursue( request );
        }
    }

    void send( const std::shared_ptr<Request>& request, std::size_t u ) {
        const auto sent = m_now;
        const int life = m_gateways[request->gateway].life;
        const auto told = m_gateways[request->gateway].told[u];
        const bool knows = told && m_now - *told >= crossing;
        const bool aware = m_gateways[request->gateway].limits[u].known.perS().has_value();
        at( m_now + delay(), [this, request, u, sent, life, knows, aware] {
            if( knows ) {
                m_upstreams[u].watch.arrived( m_now );
            }
            m_out.unaware += m_perS && !aware ? 1 : 0;
            const auto work = m_load.fastest + drawMillis( m_load.slowest - m_load.fastest );
            at( m_now + work, [this, request, u, sent, life] {
                const auto said = m_perS;
                at( m_now + delay(), [this, request, u, sent, life, said] {
                    hear( *request, u, sent, life, said );
                } );
            } );
        } );
    }

    void hear( const Request& request, std::size_t u, MonoTime sent, int life,
               std::optional<double> said ) {
        auto& gateway = m_gateways[request.gateway];
        if( gateway.life != life ) {
            return;
        }
        m_out.served += request.counted ? 1 : 0;
        m_out.servedAfter += request.after ? 1 : 0;
        auto& known = gateway.limits[u].known;
        if( said ) {
            gateway.told[u] = gateway.told[u].value_or( m_now );
            known.noteNamed( *said, m_now );
        } else {
            known.noteNone( sent, m_now );
        }
    }

    LimitLoad m_load;
    LimitWay m_way;
    RandomSource m_random;
    MonoTime m_now{ std::chrono::seconds( 1000 ) };
    MonoTime m_begin = m_now + lead;
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

LimitOutcome playLimits( const LimitLoad& load, const std::vector<LimitEvent>& events, LimitWay way,
                         std::uint64_t seed ) {
    World world( load, events, way, seed );
    return world.play();
}

} // namespace coursehead::replay
