// SPDX-License-Identifier: BSL-1.0
#include "replay/poison_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/completed_runs.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coursehead::replay {

namespace {

using namespace std::chrono_literals;
using decide::Fingerprint;

constexpr MonoTime start{ 1000s };
//! Seen, settled and told: a connection, and the way to a holder.
constexpr Millis toHolder{ 6 };
constexpr Millis toGateway{ 3 };
//! The product's pause before a request whose engine ended is sent again, and a question.
constexpr Millis beforeRetry{ 40 };
constexpr Millis clientPause{ 60 };
constexpr int attempts = 2;
constexpr int clientTries = 2;
constexpr int places = 64;
constexpr Millis bound{ 3000 };

struct Run {
    Fingerprint content = 0;
    bool poison = false;
    int gateway = 0;
    int sends = 0; //!< of this try
    int tries = 1;
    MonoTime began;
};

struct Engine {
    std::string id;
    bool up = true;
    std::map<int, Run> runs;
};

struct Gateway {
    explicit Gateway( double enough ) : book( enough ) {}
    decide::PoisonCounter book;
    decide::QuarantineList quarantines;
    decide::CompletedRuns whole;
};

struct Holder {
    explicit Holder( double enough ) : book( enough ) {}
    decide::PoisonCounter book;
    decide::QuarantineList quarantines;
    bool reached = true;
};

class World {
public:
    explicit World( const PoisonLoad& load ) : m_load( load ), m_random( load.seed ) {
        for( int n = 0; n < load.gateways; ++n ) {
            m_gateways.emplace_back( load.enough );
        }
        for( int n = 0; n < load.engines; ++n ) {
            m_engines.push_back( { "e" + std::to_string( n ) + ".0", true, {} } );
            m_holders.emplace_back( load.enough );
            m_holders.back().reached = m_random.unit() >= load.cutHolders;
            m_names.push_back( "h" + std::to_string( n ) );
        }
    }

    PoisonOutcome play() {
        at( m_now, [this] { nextInnocent(); } );
        for( int n = 0; n < m_load.poisons && m_load.poisonEvery.count() > 0; ++n ) {
            const auto content = static_cast<Fingerprint>( 1 + n );
            at( m_now + 3s + n * 500ms, [this, content] { nextPoison( content ); } );
        }
        if( m_load.powerLossAt.count() > 0 ) {
            at( m_now + m_load.powerLossAt, [this] { losePower(); } );
        }
        if( m_load.restartAllAt.count() > 0 ) {
            at( m_now + m_load.restartAllAt, [this] { restartAll(); } );
        }
        const auto end = start + m_load.length;
        while( !m_events.empty() && m_events.top().at <= end ) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.act();
        }
        for( const auto& [content, ends] : m_ends ) {
            m_out.afterBound = std::max( m_out.afterBound, m_after[content] );
        }
        return m_out;
    }

private:
    struct Event {
        MonoTime at;
        int order = 0;
        std::function<void()> act;
        bool operator<( const Event& other ) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at( MonoTime time, std::function<void()> act ) {
        m_events.push( { time, ++m_order, std::move( act ) } );
    }
    Millis between( int low, int high ) {
        return Millis(
            low + static_cast<int>( m_random.below( static_cast<std::uint64_t>( high - low ) ) ) );
    }
    int anyGateway() { return static_cast<int>( m_random.below( m_gateways.size() ) ); }

    void nextInnocent() {
        constexpr Fingerprint firstInnocent = 1000;
        ++m_out.innocents;
        Run run;
        run.content = firstInnocent + static_cast<Fingerprint>( m_out.innocents );
        run.gateway = anyGateway();
        send( run );
        const std::chrono::duration<double> gap( 2 * m_random.unit() / m_load.perS );
        at( m_now + std::chrono::duration_cast<MonoTime::duration>( gap ),
            [this] { nextInnocent(); } );
    }

    void nextPoison( Fingerprint content ) {
        Run run;
        run.content = content;
        run.poison = true;
        run.gateway = anyGateway();
        send( run );
        const auto half = static_cast<int>( m_load.poisonEvery.count() / 2 );
        at( m_now + between( half, 3 * half ), [this, content] { nextPoison( content ); } );
    }

    //! Of two drawn engines that with fewer runs: about what gateways do.
    Engine* choose() {
        Engine* best = nullptr;
        for( int n = 0; n < 2; ++n ) {
            auto& it = m_engines[m_random.below( m_engines.size() )];
            const bool fits = it.up && it.runs.size() < places;
            if( fits && ( best == nullptr || it.runs.size() < best->runs.size() ) ) {
                best = &it;
            }
        }
        return best;
    }

    void send( Run run ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( run.gateway )];
        const bool held = gateway.quarantines.left( run.content, m_now ).count() > 0;
        auto* engine = held ? nullptr : choose();
        if( held || run.sends >= attempts ) {
            giveUp( run );
            return;
        }
        if( engine == nullptr ) {
            at( m_now + 20ms, [this, run] { send( run ); } );
            return;
        }
        ++run.sends;
        run.began = m_now;
        const int key = ++m_order;
        engine->runs[key] = run;
        const auto id = engine->id;
        if( run.poison ) {
            noteSend( run.content );
            at( m_now + between( 30, 140 ), [this, engine, id] {
                if( engine->up && engine->id == id ) {
                    ++m_out.ended;
                    end( *engine, true );
                }
            } );
            return;
        }
        at( m_now + between( 300, 2500 ), [this, engine, key] { finish( *engine, key ); } );
    }

    void noteSend( Fingerprint content ) {
        const auto it = m_ends.find( content );
        if( it != m_ends.end() && it->second.count >= 3 && m_now - it->second.third > bound ) {
            ++m_after[content];
        }
    }

    void finish( Engine& engine, int key ) {
        const auto it = engine.runs.find( key );
        if( it == engine.runs.end() ) {
            return;
        }
        auto& gateway = m_gateways[static_cast<std::size_t>( it->second.gateway )];
        gateway.whole.note( it->second.content );
        gateway.book.clear( it->second.content );
        engine.runs.erase( it );
    }

    //! A try has come to nothing; its client comes once more.
    void giveUp( Run run ) {
        if( run.poison ) {
            return;
        }
        if( run.tries >= clientTries ) {
            ++m_out.lost;
            return;
        }
        ++run.tries;
        run.sends = 0;
        run.gateway = anyGateway();
        at( m_now + clientPause, [this, run] { send( run ); } );
    }

    void end( Engine& engine, bool byPoison ) {
        engine.up = false;
        std::map<int, std::vector<decide::InterruptedRun>> seen; // by gateway
        for( const auto& [key, run] : std::exchange( engine.runs, {} ) ) {
            m_out.broken += run.poison ? 0 : 1;
            if( run.poison && byPoison ) {
                auto& ends = m_ends[run.content];
                if( ++ends.count == 3 ) {
                    ends.third = m_now;
                }
            }
            const bool proven = m_now - run.began > decide::longRunTime + 100ms;
            seen[run.gateway].push_back( { run.content, proven ? m_load.proven : 1.0, 0 } );
            const Run again = run;
            at( m_now + beforeRetry, [this, again] { send( again ); } );
        }
        for( const auto& [gateway, runs] : seen ) {
            tell( gateway, engine.id, runs );
        }
        at( m_now + between( 3000, 5000 ), [&engine] {
            engine.up = true;
            engine.id += "'";
        } );
    }

    void tell( int number, const std::string& upstream,
               const std::vector<decide::InterruptedRun>& runs ) {
        if( m_load.way == PoisonWay::none ) {
            return;
        }
        auto& gateway = m_gateways[static_cast<std::size_t>( number )];
        std::vector<std::string_view> names;
        std::vector<std::size_t> reached;
        for( std::size_t n = 0; n < m_holders.size(); ++n ) {
            if( m_holders[n].reached && m_engines[n].up ) {
                names.emplace_back( m_names[n] );
                reached.push_back( n );
            }
        }
        std::set<std::size_t> told;
        for( const auto& it : runs ) {
            if( gateway.whole.consume( it.fingerprint ) ) {
                continue;
            }
            if( const auto own = gateway.book.note( it, upstream, m_now ) ) {
                gateway.quarantines.put( *own, m_now );
                noteQuarantine( *own );
            }
            if( m_load.way != PoisonWay::shared ) {
                continue;
            }
            for( const auto n : decide::poisonHolders( it.fingerprint, names ) ) {
                told.insert( reached[n] );
                const auto run = it;
                const auto holder = reached[n];
                at( m_now + toHolder,
                    [this, holder, run, upstream] { count( m_holders[holder], run, upstream ); } );
            }
        }
        m_out.messages += static_cast<int>( told.size() );
    }

    void count( Holder& holder, const decide::InterruptedRun& run, const std::string& upstream ) {
        if( holder.quarantines.left( run.fingerprint, m_now ).count() > 0 ) {
            return;
        }
        const auto found = holder.book.note( run, upstream, m_now );
        m_out.largestBook = std::max( m_out.largestBook, static_cast<int>( holder.book.size() ) );
        if( !found ) {
            return;
        }
        holder.quarantines.put( *found, m_now );
        noteQuarantine( *found );
        m_stored[found->fingerprint] = *found;
        const auto quarantine = *found;
        at( m_now + toGateway, [this, quarantine] {
            for( auto& it : m_gateways ) {
                it.quarantines.put( quarantine, m_now );
            }
        } );
    }

    void noteQuarantine( const decide::Quarantine& it ) {
        constexpr Fingerprint lastPoison = 100;
        if( it.fingerprint > lastPoison && m_taken.insert( it.fingerprint ).second ) {
            ++m_out.quarantined;
        }
    }

    void losePower() {
        for( std::size_t n = 0; n < m_engines.size(); n += 3 ) {
            if( m_engines[n].up ) {
                end( m_engines[n], false );
            }
        }
    }

    void restartAll() {
        for( auto& it : m_gateways ) {
            it = Gateway( m_load.enough );
            for( const auto& [content, quarantine] : m_stored ) {
                if( m_load.storeKeeps ) {
                    it.quarantines.put( quarantine, m_now );
                }
            }
        }
        for( auto& it : m_holders ) {
            const bool reached = it.reached;
            it = Holder( m_load.enough );
            it.reached = reached;
        }
    }

    struct Ends {
        int count = 0;
        MonoTime third;
    };

    PoisonLoad m_load;
    RandomSource m_random;
    MonoTime m_now = start;
    int m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    std::vector<Holder> m_holders;
    std::vector<std::string> m_names;
    std::map<Fingerprint, Ends> m_ends;
    std::map<Fingerprint, int> m_after;
    std::map<Fingerprint, decide::Quarantine> m_stored;
    std::set<Fingerprint> m_taken;
    PoisonOutcome m_out;
};

} // namespace

PoisonOutcome playPoison( const PoisonLoad& load ) {
    return World( load ).play();
}

} // namespace coursehead::replay
