// SPDX-License-Identifier: BSL-1.0
#include "replay/quota_world.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

namespace coursehead::replay {

namespace {

using decide::QuotaAnswer;
using decide::QuotaRequest;
using decide::QuotaReturn;
using decide::QuotaUpdate;

constexpr Millis step{ 5 };
constexpr Millis lookEvery{ 100 };
constexpr Millis tellEvery{ 400 };
constexpr Millis speakEvery{ 450 };
constexpr Millis silence{ 700 };
constexpr Millis askLimit{ 150 };
constexpr Millis patience{ 160 };
constexpr double reviewTokens = 9190;
constexpr double chatTokens = 900;
const char* const organisation = "o";

struct Spent {
    MonoTime at;
    double units = 0;
};

struct Request {
    double units = 0;
    MonoTime arrived;
    MonoTime asked;
    std::uint64_t number = 0; //!< of its open question; 0: none
};

struct Gateway {
    std::string name;
    std::unique_ptr<decide::GatewayQuotas> book;
    std::vector<MonoTime> heard; //!< by holder
    std::vector<MonoTime> up;    //!< when it reaches each holder
    std::set<int> told;
    std::deque<Request> waiting;
    std::uint64_t lastNumber = 0;
    double weight = 1;
    bool cut = false;
    bool split = false;
    bool frozen = false;
    decide::QuotaBucket own; //!< of the way without holders
};

struct Holder {
    std::string name;
    std::unique_ptr<decide::QuotaHolder> kept;
    bool frozen = false;
};

using Body = std::variant<QuotaUpdate, QuotaRequest, QuotaAnswer, QuotaReturn, std::monostate>;
struct Message {
    MonoTime due;
    int gateway = 0;
    int holder = 0;
    bool toHolder = true;
    Body body;
};

class World {
public:
    World( const QuotaLoad& load, const std::vector<QuotaEvent>& events, QuotaWay way,
           const decide::QuotaRule& rule, std::uint64_t seed )
        : m_load( load ), m_events( events ), m_way( way ), m_rule( rule ),
          m_random( seed ), m_rate{ organisation, load.perS, load.perS } {
        for( int n = 0; n < load.holders; ++n ) {
            m_holders.push_back( { "10.0.0." + std::to_string( n ), nullptr, false } );
            startHolder( m_holders.back() );
        }
        double sum = 0;
        for( int n = 0; n < load.gateways; ++n ) {
            Gateway it;
            it.name = "g" + std::to_string( n );
            it.weight = std::exp( -std::log( std::max( load.skew, 1.0 ) ) * n / load.gateways * 2 );
            sum += it.weight;
            startGateway( it );
            m_gateways.push_back( std::move( it ) );
        }
        for( auto& it : m_gateways ) {
            it.weight /= sum;
        }
    }

    QuotaOutcome play() {
        // Fleets stand for a while before traffic comes.
        constexpr Millis lead{ 3000 };
        const auto begin = m_now + lead;
        m_begin = begin;
        for( ; m_now < begin + m_load.length; m_now += step ) {
            const auto since = std::chrono::duration_cast<Millis>( m_now - begin );
            trouble( since );
            deliver();
            for( std::size_t n = 0; n < m_gateways.size(); ++n ) {
                if( !m_gateways[n].frozen ) {
                    work( static_cast<int>( n ), since );
                }
            }
            speak();
        }
        m_out.worstWindow = worstWindow();
        m_out.back = timeBack();
        m_out.waitedMs = m_served > 0 ? m_out.waitedMs / m_served : 0;
        return m_out;
    }

private:
    void startHolder( Holder& holder ) const {
        holder.kept = std::make_unique<decide::QuotaHolder>();
        holder.kept->setRule( m_rule );
    }

    void startGateway( Gateway& gateway ) {
        gateway.up.clear();
        for( std::size_t n = 0; n < m_holders.size(); ++n ) {
            const double after =
                m_random.unit() * static_cast<double>( m_load.connectOver.count() );
            gateway.up.push_back( m_now + Millis( static_cast<std::int64_t>( after ) ) );
        }
        gateway.book = std::make_unique<decide::GatewayQuotas>( m_rule );
        gateway.book->setRates( 1, std::vector{ m_rate } );
        gateway.heard.assign( m_holders.size(), MonoTime{} );
        gateway.told.clear();
        gateway.waiting.clear();
        gateway.own = {};
    }

    bool reaches( const Gateway& gateway, int holder ) const {
        const bool half = holder < m_load.holders / 2;
        const bool connected = m_now >= gateway.up[static_cast<std::size_t>( holder )];
        return connected && !gateway.cut && !( gateway.split && half );
    }

    void send( int gateway, int holder, bool toHolder, Body body ) {
        if( !reaches( m_gateways[static_cast<std::size_t>( gateway )], holder ) ) {
            return;
        }
        const Millis delay{ 1 + static_cast<std::int64_t>( m_random.unit() * 6 ) };
        m_messages.push_back( { m_now + delay, gateway, holder, toHolder, std::move( body ) } );
    }

    //! What is due reaches those that run; what is meant for one that stands still waits.
    void deliver() {
        std::vector<Message> due;
        std::erase_if( m_messages, [&]( Message& it ) {
            const auto& gateway = m_gateways[static_cast<std::size_t>( it.gateway )];
            const auto& holder = m_holders[static_cast<std::size_t>( it.holder )];
            const bool stands = it.toHolder ? holder.frozen : gateway.frozen;
            if( it.due > m_now || stands ) {
                return false;
            }
            due.push_back( std::move( it ) );
            return true;
        } );
        for( auto& it : due ) {
            take( it );
        }
    }

    void take( Message& message ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( message.gateway )];
        auto& holder = m_holders[static_cast<std::size_t>( message.holder )];
        if( const auto* news = std::get_if<QuotaUpdate>( &message.body ) ) {
            holder.kept->takeUpdate( *news, m_now );
        } else if( const auto* ask = std::get_if<QuotaRequest>( &message.body ) ) {
            const auto answer = holder.kept->ask( gateway.name, *ask, m_now );
            send( message.gateway, message.holder, false, answer );
        } else if( const auto* back = std::get_if<QuotaReturn>( &message.body ) ) {
            holder.kept->acceptReturn( *back, m_now );
        } else {
            gateway.heard[static_cast<std::size_t>( message.holder )] = m_now;
            if( const auto* answer = std::get_if<QuotaAnswer>( &message.body ) ) {
                takeAnswer( gateway, *answer );
            }
        }
    }

    void takeAnswer( Gateway& gateway, const QuotaAnswer& answer ) {
        const auto it =
            std::find_if( gateway.waiting.begin(), gateway.waiting.end(),
                          [&]( const Request& r ) { return r.number == answer.number; } );
        if( it == gateway.waiting.end() || !answer.known ) {
            return;
        }
        Request request = *it;
        gateway.waiting.erase( it );
        if( answer.granted < request.units ) {
            return;
        }
        gateway.book->addGrant( organisation, answer.granted - request.units, request.asked );
        serve( request, m_now + Millis( answer.waitMs ) );
    }

    void serve( const Request& request, MonoTime at ) {
        m_out.served += request.units;
        m_out.waitedMs += std::chrono::duration<double, std::milli>( at - request.arrived ).count();
        ++m_served;
        m_spent.push_back( { at, request.units } );
    }

    void speak() {
        for( std::size_t h = 0; h < m_holders.size(); ++h ) {
            // Each at a moment of its own.
            const auto phase =
                Millis( static_cast<std::int64_t>( h * 11 ) ) + m_now.time_since_epoch();
            if( m_holders[h].frozen || phase % speakEvery >= step ) {
                continue;
            }
            for( std::size_t g = 0; g < m_gateways.size(); ++g ) {
                send( static_cast<int>( g ), static_cast<int>( h ), false, std::monostate{} );
            }
        }
    }

    bool every( int gateway, Millis interval ) const {
        const auto phase = Millis( gateway * 37 ) + m_now.time_since_epoch();
        return phase % interval < step;
    }

    void work( int n, Millis since ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( n )];
        if( every( n, lookEvery ) ) {
            look( n );
        }
        if( every( n, tellEvery ) ) {
            tell( n );
        }
        const bool hot = m_load.hotTimes > 0 && since >= m_load.hotFrom && since < m_load.hotTo;
        const double tokensPerS = m_load.perS * ( hot ? m_load.hotTimes : m_load.times );
        // Two thirds of the tokens come in reviews.
        const double inReviews = m_load.large ? 0.67 : 0;
        if( since >= Millis( 0 ) ) {
            arrive( n, tokensPerS * inReviews / reviewTokens, reviewTokens );
            arrive( n, tokensPerS * ( 1 - inReviews ) / chatTokens, chatTokens );
        }
        for( auto it = gateway.waiting.begin(); it != gateway.waiting.end(); ) {
            it = pursue( n, *it ) ? gateway.waiting.erase( it ) : std::next( it );
        }
    }

    void arrive( int n, double perS, double units ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( n )];
        const double seconds = std::chrono::duration<double>( step ).count();
        if( m_random.unit() >= 1 - std::exp( -perS * gateway.weight * seconds ) ) {
            return;
        }
        m_out.asked += units;
        m_asked.push_back( { m_now, units } );
        QuotaRequest whole;
        whole.needed = units;
        whole.preferred = units;
        m_out.allowed += decide::take( m_ideal, m_rate, whole, m_now ).units;
        gateway.waiting.push_back( { units, m_now, {}, 0 } );
    }

    //! True when the request is served or refused.
    bool pursue( int n, Request& request ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( n )];
        if( m_way == QuotaWay::equalParts ) {
            auto rate = m_rate;
            rate.perS /= m_load.gateways;
            rate.burst /= m_load.gateways;
            QuotaRequest ask;
            ask.needed = request.units;
            ask.preferred = request.units;
            ask.maxWaitMs = patience.count();
            const auto grant = decide::take( gateway.own, rate, ask, m_now );
            if( grant.units > 0 ) {
                serve( request, m_now + grant.wait );
            }
            return true;
        }
        if( request.number != 0 && m_now - request.asked < askLimit ) {
            return false;
        }
        if( gateway.book->spend( organisation, request.units, m_now ) ) {
            serve( request, m_now );
            return true;
        }
        const bool first = request.number == 0;
        const auto holder = gateway.book->holderOf( organisation, m_now );
        if( first && !holder.empty() ) {
            request.number = ++gateway.lastNumber;
            request.asked = m_now;
            QuotaRequest ask;
            ask.number = request.number;
            ask.organisation = organisation;
            ask.needed = request.units;
            ask.preferred = gateway.book->amountToRequest( organisation, request.units, m_now );
            ask.maxWaitMs = patience.count();
            ++m_out.messages;
            send( n, indexOf( holder ), true, ask );
            return false;
        }
        if( gateway.book->spendReserve( organisation, request.units, m_now ) ) {
            serve( request, m_now );
            return true;
        }
        request.number = 0;
        if( m_now - request.arrived < patience ) {
            return false;
        }
        ++m_out.unknown;
        return true;
    }

    int indexOf( const std::string& holder ) const {
        const auto it = std::find_if( m_holders.begin(), m_holders.end(),
                                      [&]( const Holder& h ) { return h.name == holder; } );
        return static_cast<int>( it - m_holders.begin() );
    }

    void look( int n ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( n )];
        std::vector<decide::HolderCandidate> candidates;
        for( std::size_t h = 0; h < m_holders.size(); ++h ) {
            const bool answers =
                gateway.heard[h] != MonoTime{} && m_now - gateway.heard[h] <= silence;
            candidates.push_back( { m_holders[h].name, answers } );
        }
        for( const auto& it : gateway.book->takeUnused( m_now ) ) {
            send( n, indexOf( it.holder ), true, it.back );
        }
        if( gateway.book->setCandidates( candidates, m_load.gateways, m_now ) ) {
            tell( n );
        }
    }

    void tell( int n ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( n )];
        for( int h = 0; h < m_load.holders; ++h ) {
            const auto& heard = gateway.heard[static_cast<std::size_t>( h )];
            auto news = gateway.book->updateFor( m_holders[static_cast<std::size_t>( h )].name );
            const bool concerns = !news.rates.empty() || gateway.told.contains( h );
            if( !concerns || heard == MonoTime{} || m_now - heard > silence ) {
                continue;
            }
            news.rates.empty() ? void( gateway.told.erase( h ) ) : void( gateway.told.insert( h ) );
            news.gateway = gateway.name;
            send( n, h, true, news );
            gateway.book->noteUpdateSent( m_holders[static_cast<std::size_t>( h )].name, m_now );
        }
    }

    void trouble( Millis since ) {
        for( auto& it : m_gateways ) {
            it.cut = it.split = it.frozen = false;
        }
        for( auto& it : m_holders ) {
            it.frozen = false;
        }
        for( const auto& event : m_events ) {
            if( since < event.from || since >= event.to ) {
                continue;
            }
            const bool begins = since - event.from < step;
            const auto some = static_cast<std::size_t>(
                std::ceil( event.part * static_cast<double>( m_gateways.size() ) ) );
            const auto someHolders = static_cast<std::size_t>(
                std::ceil( event.part * static_cast<double>( m_holders.size() ) ) );
            for( std::size_t n = 0; n < some; ++n ) {
                m_gateways[n].cut |= event.kind == QuotaTrouble::cutOff;
                m_gateways[n].split |= event.kind == QuotaTrouble::split;
                m_gateways[n].frozen |= event.kind == QuotaTrouble::freeze;
            }
            for( std::size_t n = 0; n < someHolders; ++n ) {
                m_holders[n].frozen |= event.kind == QuotaTrouble::holderFreeze;
                if( begins && event.kind == QuotaTrouble::holderKill ) {
                    startHolder( m_holders[n] );
                }
            }
            if( begins && event.kind == QuotaTrouble::killAll ) {
                m_messages.clear();
                for( auto& it : m_holders ) {
                    startHolder( it );
                }
                for( auto& it : m_gateways ) {
                    startGateway( it );
                }
            }
        }
    }

    Millis timeBack() const {
        for( const auto& event : m_events ) {
            if( event.kind != QuotaTrouble::killAll ) {
                continue;
            }
            constexpr Millis look{ 100 };
            for( Millis after{ 0 }; after + look < m_load.length - event.from; after += look ) {
                const auto from = m_begin + event.from + after;
                double asked = 0;
                double served = 0;
                for( const auto& it : m_asked ) {
                    asked += it.at >= from && it.at < from + look * 5 ? it.units : 0;
                }
                for( const auto& it : m_spent ) {
                    served += it.at >= from && it.at < from + look * 5 ? it.units : 0;
                }
                if( asked > 0 && served >= 0.9 * asked ) {
                    return after;
                }
            }
            return m_load.length;
        }
        return Millis{ 0 };
    }

    double worstWindow() {
        std::sort( m_spent.begin(), m_spent.end(),
                   []( const Spent& a, const Spent& b ) { return a.at < b.at; } );
        double sum = 0;
        double worst = 0;
        std::size_t first = 0;
        for( const auto& it : m_spent ) {
            sum += it.units;
            while( it.at - m_spent[first].at > m_rule.window ) {
                sum -= m_spent[first].units;
                ++first;
            }
            worst = std::max( worst, sum );
        }
        return worst;
    }

    QuotaLoad m_load;
    std::vector<QuotaEvent> m_events;
    QuotaWay m_way;
    decide::QuotaRule m_rule;
    RandomSource m_random;
    decide::QuotaRate m_rate;
    MonoTime m_now{ std::chrono::seconds( 1000 ) };
    std::vector<Gateway> m_gateways;
    std::vector<Holder> m_holders;
    std::deque<Message> m_messages;
    std::vector<Spent> m_spent;
    std::vector<Spent> m_asked;
    MonoTime m_begin;
    decide::QuotaBucket m_ideal;
    QuotaOutcome m_out;
    int m_served = 0;
};

} // namespace

double quotaBound( const QuotaLoad& load, const decide::QuotaRule& rule ) {
    const double seconds = std::chrono::duration<double>( rule.window ).count();
    return ( load.perS * seconds + load.perS ) * ( 1 + rule.over ) + rule.slack;
}

QuotaOutcome playQuota( const QuotaLoad& load, const std::vector<QuotaEvent>& events, QuotaWay way,
                        const decide::QuotaRule& rule, std::uint64_t seed ) {
    return World( load, events, way, rule, seed ).play();
}

} // namespace coursehead::replay
