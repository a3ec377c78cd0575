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
//! From a crash to its report at a holder: the gateway sees the closed connection, settles the
//! request and sends the report.
constexpr Millis toHolderDelay{ 6 };
constexpr Millis toGatewayDelay{ 3 };
//! The product's delay before it resends a request whose engine crashed, plus one query.
constexpr Millis retryDelay{ 40 };
constexpr Millis clientRetryDelay{ 60 };
constexpr int maxSends = 2;
constexpr int clientAttempts = 2;
constexpr int slotsPerEngine = 64;
constexpr Millis quarantineDelayBound{ 3000 };

struct Run {
    Fingerprint content = 0;
    bool poison = false;
    int gateway = 0;
    int sends = 0; //!< in this attempt of the client
    int attempts = 1;
    MonoTime startedAt;
};

struct Engine {
    std::string id;
    bool up = true;
    std::map<int, Run> runs;
};

struct Gateway {
    explicit Gateway( double crashThreshold ) : counter( crashThreshold ) {}
    decide::PoisonCounter counter;
    decide::QuarantineList quarantines;
    decide::CompletedRuns completedRuns;
};

struct Holder {
    explicit Holder( double crashThreshold ) : counter( crashThreshold ) {}
    decide::PoisonCounter counter;
    decide::QuarantineList quarantines;
    bool reachable = true;
};

class World {
public:
    explicit World( const PoisonLoad& load ) : m_load( load ), m_random( load.seed ) {
        for( int n = 0; n < load.gateways; ++n ) {
            m_gateways.emplace_back( load.crashThreshold );
        }
        for( int n = 0; n < load.engines; ++n ) {
            m_engines.push_back( { "e" + std::to_string( n ) + ".0", true, {} } );
            m_holders.emplace_back( load.crashThreshold );
            m_holders.back().reachable = m_random.unit() >= load.unreachableHolderFraction;
            m_names.push_back( "h" + std::to_string( n ) );
        }
    }

    PoisonOutcome simulate() {
        at( m_now, [this] { sendInnocent(); } );
        for( int n = 0; n < m_load.poisonContents && m_load.poisonInterval.count() > 0; ++n ) {
            const auto content = static_cast<Fingerprint>( 1 + n );
            at( m_now + 3s + n * 500ms, [this, content] { sendPoison( content ); } );
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
            event.action();
        }
        for( const auto& [content, crashes] : m_crashes ) {
            m_out.sendsAfterBound = std::max( m_out.sendsAfterBound, m_sendsAfterBound[content] );
        }
        return m_out;
    }

private:
    struct Event {
        MonoTime at;
        int order = 0;
        std::function<void()> action;
        bool operator<( const Event& other ) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at( MonoTime time, std::function<void()> action ) {
        m_events.push( { time, ++m_order, std::move( action ) } );
    }
    Millis randomMillis( int low, int high ) {
        return Millis(
            low + static_cast<int>( m_random.below( static_cast<std::uint64_t>( high - low ) ) ) );
    }
    int anyGateway() { return static_cast<int>( m_random.below( m_gateways.size() ) ); }

    void sendInnocent() {
        constexpr Fingerprint firstInnocent = 1000;
        ++m_out.innocentRequests;
        Run run;
        run.content = firstInnocent + static_cast<Fingerprint>( m_out.innocentRequests );
        run.gateway = anyGateway();
        send( run );
        const std::chrono::duration<double> gap( 2 * m_random.unit() / m_load.innocentPerS );
        at( m_now + std::chrono::duration_cast<MonoTime::duration>( gap ),
            [this] { sendInnocent(); } );
    }

    void sendPoison( Fingerprint content ) {
        Run run;
        run.content = content;
        run.poison = true;
        run.gateway = anyGateway();
        send( run );
        const auto half = static_cast<int>( m_load.poisonInterval.count() / 2 );
        at( m_now + randomMillis( half, 3 * half ), [this, content] { sendPoison( content ); } );
    }

    //! Picks the less loaded of two random engines, which approximates the choice of gateways.
    Engine* chooseEngine() {
        Engine* best = nullptr;
        for( int n = 0; n < 2; ++n ) {
            auto& it = m_engines[m_random.below( m_engines.size() )];
            const bool available = it.up && it.runs.size() < slotsPerEngine;
            if( available && ( best == nullptr || it.runs.size() < best->runs.size() ) ) {
                best = &it;
            }
        }
        return best;
    }

    void send( Run run ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( run.gateway )];
        const bool quarantined = gateway.quarantines.left( run.content, m_now ).count() > 0;
        auto* engine = quarantined ? nullptr : chooseEngine();
        if( quarantined || run.sends >= maxSends ) {
            endAttempt( run );
            return;
        }
        if( engine == nullptr ) {
            at( m_now + 20ms, [this, run] { send( run ); } );
            return;
        }
        ++run.sends;
        run.startedAt = m_now;
        const int key = ++m_order;
        engine->runs[key] = run;
        const auto id = engine->id;
        if( run.poison ) {
            noteSend( run.content );
            at( m_now + randomMillis( 30, 140 ), [this, engine, id] {
                if( engine->up && engine->id == id ) {
                    ++m_out.crashes;
                    crash( *engine, true );
                }
            } );
            return;
        }
        at( m_now + randomMillis( 300, 2500 ), [this, engine, key] { finish( *engine, key ); } );
    }

    void noteSend( Fingerprint content ) {
        const auto it = m_crashes.find( content );
        if( it != m_crashes.end() && it->second.count >= 3 &&
            m_now - it->second.thirdAt > quarantineDelayBound ) {
            ++m_sendsAfterBound[content];
        }
    }

    void finish( Engine& engine, int key ) {
        const auto it = engine.runs.find( key );
        if( it == engine.runs.end() ) {
            return;
        }
        auto& gateway = m_gateways[static_cast<std::size_t>( it->second.gateway )];
        gateway.completedRuns.note( it->second.content );
        gateway.counter.clear( it->second.content );
        engine.runs.erase( it );
    }

    //! Ends a failed attempt; the client of an innocent request tries once more.
    void endAttempt( Run run ) {
        if( run.poison ) {
            return;
        }
        if( run.attempts >= clientAttempts ) {
            ++m_out.failedRequests;
            return;
        }
        ++run.attempts;
        run.sends = 0;
        run.gateway = anyGateway();
        at( m_now + clientRetryDelay, [this, run] { send( run ); } );
    }

    void crash( Engine& engine, bool byPoison ) {
        engine.up = false;
        std::map<int, std::vector<decide::InterruptedRun>> interrupted; // by gateway
        for( const auto& [key, run] : std::exchange( engine.runs, {} ) ) {
            m_out.interruptedRuns += run.poison ? 0 : 1;
            if( run.poison && byPoison ) {
                auto& crashes = m_crashes[run.content];
                if( ++crashes.count == 3 ) {
                    crashes.thirdAt = m_now;
                }
            }
            const bool longRun = m_now - run.startedAt > decide::longRunTime + 100ms;
            interrupted[run.gateway].push_back(
                { run.content, longRun ? m_load.longRunWeight : 1.0, 0 } );
            const Run retry = run;
            at( m_now + retryDelay, [this, retry] { send( retry ); } );
        }
        for( const auto& [gateway, runs] : interrupted ) {
            reportCrash( gateway, engine.id, runs );
        }
        at( m_now + randomMillis( 3000, 5000 ), [&engine] {
            engine.up = true;
            engine.id += "'";
        } );
    }

    void reportCrash( int number, const std::string& upstream,
                      const std::vector<decide::InterruptedRun>& runs ) {
        if( m_load.policy == CountingPolicy::none ) {
            return;
        }
        auto& gateway = m_gateways[static_cast<std::size_t>( number )];
        std::vector<std::string_view> names;
        std::vector<std::size_t> reachableHolders;
        for( std::size_t n = 0; n < m_holders.size(); ++n ) {
            if( m_holders[n].reachable && m_engines[n].up ) {
                names.emplace_back( m_names[n] );
                reachableHolders.push_back( n );
            }
        }
        std::set<std::size_t> notified;
        for( const auto& it : runs ) {
            if( gateway.completedRuns.consume( it.fingerprint ) ) {
                continue;
            }
            if( const auto ownQuarantine = gateway.counter.note( it, upstream, m_now ) ) {
                gateway.quarantines.put( *ownQuarantine, m_now );
                noteQuarantine( *ownQuarantine );
            }
            if( m_load.policy != CountingPolicy::shared ) {
                continue;
            }
            for( const auto n : decide::poisonHolders( it.fingerprint, names ) ) {
                notified.insert( reachableHolders[n] );
                const auto run = it;
                const auto holder = reachableHolders[n];
                at( m_now + toHolderDelay, [this, holder, run, upstream] {
                    countCrash( m_holders[holder], run, upstream );
                } );
            }
        }
        m_out.messages += static_cast<int>( notified.size() );
    }

    void countCrash( Holder& holder, const decide::InterruptedRun& run,
                     const std::string& upstream ) {
        if( holder.quarantines.left( run.fingerprint, m_now ).count() > 0 ) {
            return;
        }
        const auto found = holder.counter.note( run, upstream, m_now );
        m_out.largestCounterSize =
            std::max( m_out.largestCounterSize, static_cast<int>( holder.counter.size() ) );
        if( !found ) {
            return;
        }
        holder.quarantines.put( *found, m_now );
        noteQuarantine( *found );
        m_storedQuarantines[found->fingerprint] = *found;
        const auto quarantine = *found;
        at( m_now + toGatewayDelay, [this, quarantine] {
            for( auto& it : m_gateways ) {
                it.quarantines.put( quarantine, m_now );
            }
        } );
    }

    void noteQuarantine( const decide::Quarantine& it ) {
        constexpr Fingerprint lastPoison = 100;
        if( it.fingerprint > lastPoison &&
            m_quarantinedInnocents.insert( it.fingerprint ).second ) {
            ++m_out.innocentsQuarantined;
        }
    }

    void losePower() {
        for( std::size_t n = 0; n < m_engines.size(); n += 3 ) {
            if( m_engines[n].up ) {
                crash( m_engines[n], false );
            }
        }
    }

    void restartAll() {
        for( auto& it : m_gateways ) {
            it = Gateway( m_load.crashThreshold );
            for( const auto& [content, quarantine] : m_storedQuarantines ) {
                if( m_load.storePersists ) {
                    it.quarantines.put( quarantine, m_now );
                }
            }
        }
        for( auto& it : m_holders ) {
            const bool reachable = it.reachable;
            it = Holder( m_load.crashThreshold );
            it.reachable = reachable;
        }
    }

    struct Crashes {
        int count = 0;
        MonoTime thirdAt;
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
    std::map<Fingerprint, Crashes> m_crashes;
    std::map<Fingerprint, int> m_sendsAfterBound;
    std::map<Fingerprint, decide::Quarantine> m_storedQuarantines;
    std::set<Fingerprint> m_quarantinedInnocents;
    PoisonOutcome m_out;
};

} // namespace

PoisonOutcome simulatePoison( const PoisonLoad& load ) {
    return World( load ).simulate();
}

} // namespace coursehead::replay
