// SPDX-License-Identifier: BSL-1.0
#include "replay/part_world.hpp"

#include "coursehead/kernel/random.hpp"
#include "decide/quarantine_list.hpp"
#include "decide/sound_parts.hpp"

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
//! From a crash until the engine's sidecar has told the gateways that it has ended.
constexpr int leastShownMs = 60;
constexpr int mostShownMs = 250;
constexpr Millis messageDelay{ 3 };
constexpr Millis retryDelay{ 60 };
constexpr int maxSends = 2;
constexpr int clientAttempts = 2;
constexpr std::size_t slotsPerEngine = 64;
constexpr Millis contact{ 3000 };
constexpr int confirmingCrashes = 5;

constexpr Fingerprint firstPoison = 1;
constexpr Fingerprint firstOfFirstParts = 100;
constexpr Fingerprint firstSubject = 1000;

struct Run {
    std::vector<Fingerprint> parts;
    bool poison = false;
    int gateway = 0;
    int sends = 0; //!< in this attempt of the client
    int attempts = 1;
    bool withheld = false;
    MonoTime askedAt;
    std::optional<MonoTime> begunAt; //!< of the answer, at the present engine
};

struct Engine {
    std::string id;
    bool up = true;
    std::map<int, Run> runs;
};

struct Gateway {
    explicit Gateway( decide::PartRule rule ) : counter( rule ) {}
    decide::PartCounter counter;
    decide::QuarantineList quarantines;
    std::unique_ptr<decide::SoundParts> sound = std::make_unique<decide::SoundParts>();
};

struct Holder {
    explicit Holder( decide::PartRule rule ) : counter( rule ) {}
    decide::PartCounter counter;
    decide::QuarantineList quarantines;
    bool reachable = true;
};

class World {
public:
    explicit World( const PartLoad& load ) : m_load( load ), m_random( load.seed ) {
        for( int n = 0; n < load.gateways; ++n ) {
            m_gateways.emplace_back( load.rule );
        }
        for( int n = 0; n < load.engines; ++n ) {
            m_engines.push_back( { "e" + std::to_string( n ) + ".0", true, {} } );
            m_holders.emplace_back( load.rule );
            m_holders.back().reachable = m_random.unit() >= load.unreachableHolderFraction;
            m_names.push_back( "h" + std::to_string( n ) );
        }
    }

    PartOutcome simulate() {
        at( m_now, [this] { sendNext(); } );
        if( m_load.powerLossAt.count() > 0 ) {
            at( m_now + m_load.powerLossAt, [this] { losePower(); } );
        }
        if( m_load.crashInterval.count() > 0 ) {
            at( m_now + m_load.crashInterval, [this] { crashOne(); } );
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
        for( const auto& [part, n] : m_sendsAfterBound ) {
            m_out.sendsAfterBound = std::max( m_out.sendsAfterBound, n );
        }
        countLate( end );
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
    struct Crashes {
        int count = 0;
        MonoTime confirmedAt;
    };

    void at( MonoTime time, std::function<void()> action ) {
        m_events.push( { time, ++m_order, std::move( action ) } );
    }
    Millis randomMillis( int low, int high ) {
        return Millis(
            low + static_cast<int>( m_random.below( static_cast<std::uint64_t>( high - low ) ) ) );
    }
    Fingerprint oneOf( Fingerprint first, int count ) {
        return first + m_random.below( static_cast<std::uint64_t>( count ) );
    }
    int anyGateway() { return static_cast<int>( m_random.below( m_gateways.size() ) ); }

    bool isPoison( Fingerprint part ) const {
        const bool turned = m_load.firstPartTurnsAt.count() > 0 && part == firstOfFirstParts &&
                            m_now >= start + m_load.firstPartTurnsAt;
        return turned || part < firstPoison + static_cast<Fingerprint>( m_load.poisonParts );
    }
    //! The part of a run that crashes its engine; 0: none.
    Fingerprint poisonOf( const Run& run ) const {
        const auto it = std::find_if( run.parts.begin(), run.parts.end(),
                                      [this]( Fingerprint part ) { return isPoison( part ); } );
        return it == run.parts.end() ? 0 : *it;
    }

    void sendNext() {
        Run run;
        run.askedAt = m_now;
        run.gateway = anyGateway();
        run.poison = m_now >= start + m_load.poisonFrom && m_random.unit() < m_load.poisonShare;
        const auto first = oneOf( firstOfFirstParts, m_load.firstParts );
        if( run.poison ) {
            const auto part = oneOf( firstPoison, m_load.poisonParts );
            run.parts =
                m_load.poisonFirst ? std::vector{ part, firstSubject } : std::vector{ first, part };
        } else {
            run.parts = { first, oneOf( firstSubject, m_load.subjects ) };
        }
        m_out.soundRequests += poisonOf( run ) == 0 ? 1 : 0;
        send( run );
        const std::chrono::duration<double> gap( 2 * m_random.unit() / m_load.perS );
        at( m_now + std::chrono::duration_cast<MonoTime::duration>( gap ), [this] { sendNext(); } );
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

    bool isWithheld( const Run& run ) const {
        const auto& list = m_gateways[static_cast<std::size_t>( run.gateway )].quarantines;
        return std::any_of( run.parts.begin(), run.parts.end(),
                            [&]( Fingerprint it ) { return list.times( it ) > 0; } );
    }

    void send( Run run ) {
        if( isWithheld( run ) || run.sends >= maxSends ) {
            m_out.withheldRequests += isWithheld( run ) && !run.withheld && !run.poison ? 1 : 0;
            run.withheld = true;
            endAttempt( run );
            return;
        }
        auto* engine = chooseEngine();
        if( engine == nullptr ) {
            at( m_now + 20ms, [this, run] { send( run ); } );
            return;
        }
        ++run.sends;
        run.begunAt.reset();
        noteSend( poisonOf( run ) );
        const int key = ++m_order;
        engine->runs[key] = run;
        at( m_now + randomMillis( 30, 300 ), [this, engine, key] { begin( *engine, key ); } );
    }

    //! The engine has read the prompt and begins to write an answer.
    void begin( Engine& engine, int key ) {
        const auto it = engine.runs.find( key );
        if( it == engine.runs.end() ) {
            return;
        }
        it->second.begunAt = m_now;
        const auto id = engine.id;
        if( const auto poison = poisonOf( it->second ) ) {
            at( m_now + randomMillis( 30, 120 ), [this, &engine, id, poison] {
                if( engine.up && engine.id == id ) {
                    noteCrash( poison );
                    crash( engine );
                }
            } );
            return;
        }
        at( m_now + decide::longRunTime, [this, &engine, key] { noteSound( engine, key ); } );
        at( m_now + randomMillis( 200, 1800 ), [this, &engine, key] {
            noteSound( engine, key );
            finish( engine, key );
        } );
    }

    void noteSend( Fingerprint poison ) {
        const auto it = m_crashes.find( poison );
        if( it != m_crashes.end() && it->second.count >= confirmingCrashes &&
            m_now - it->second.confirmedAt > contact ) {
            ++m_sendsAfterBound[poison];
        }
    }
    void noteCrash( Fingerprint poison ) {
        ++m_out.crashes;
        auto& it = m_crashes[poison];
        if( ++it.count <= confirmingCrashes ) {
            it.confirmedAt = m_now;
            m_lastConfirmed = m_now;
        }
    }

    void noteSound( Engine& engine, int key ) {
        const auto it = engine.runs.find( key );
        if( it == engine.runs.end() || !m_load.proofs ) {
            return;
        }
        auto& gateway = m_gateways[static_cast<std::size_t>( it->second.gateway )];
        const auto begunAt = *it->second.begunAt;
        for( const auto part : it->second.parts ) {
            gateway.sound->note( part, begunAt );
            if( gateway.quarantines.isRefuted( part, begunAt ) ) {
                gateway.quarantines.clear( part );
                sendCleared( part, begunAt );
            }
        }
    }

    void finish( Engine& engine, int key ) {
        const auto it = engine.runs.find( key );
        if( it != engine.runs.end() ) {
            m_served.push_back( it->second.askedAt );
            engine.runs.erase( it );
        }
    }

    //! Ends a failed attempt; the client of a sound request tries once more.
    void endAttempt( Run run ) {
        if( run.poison ) {
            return;
        }
        if( run.attempts >= clientAttempts ) {
            ++m_out.failedRequests;
            m_failed.push_back( run.askedAt );
            return;
        }
        ++run.attempts;
        run.sends = 0;
        run.gateway = anyGateway();
        at( m_now + retryDelay, [this, run] { send( run ); } );
    }

    void crash( Engine& engine ) {
        engine.up = false;
        std::map<int, std::set<Fingerprint>> interrupted; // by gateway
        for( auto& [key, run] : std::exchange( engine.runs, {} ) ) {
            m_out.interruptedRuns += run.poison ? 0 : 1;
            const bool sound = run.begunAt && m_now - *run.begunAt >= decide::longRunTime;
            if( !( sound && m_load.proofs ) ) {
                interrupted[run.gateway].insert( run.parts.begin(), run.parts.end() );
            }
            const Run retry = run;
            at( m_now + retryDelay, [this, retry] { send( retry ); } );
        }
        const auto shown = randomMillis( leastShownMs, mostShownMs );
        for( const auto& [gateway, parts] : interrupted ) {
            const int number = gateway;
            const auto endedAt = m_now;
            const auto upstream = engine.id;
            const auto all = parts;
            at( m_now + shown, [this, number, upstream, all, endedAt] {
                report( number, upstream, all, endedAt );
            } );
        }
        at( m_now + randomMillis( 3000, 5000 ), [&engine] {
            engine.up = true;
            engine.id += "'";
        } );
    }

    std::vector<std::size_t> holdersOf( Fingerprint part ) const {
        std::vector<std::string_view> names;
        std::vector<std::size_t> reachable;
        for( std::size_t n = 0; n < m_holders.size(); ++n ) {
            if( m_holders[n].reachable ) {
                names.emplace_back( m_names[n] );
                reachable.push_back( n );
            }
        }
        std::vector<std::size_t> out;
        for( const auto n : decide::poisonHolders( part, names ) ) {
            out.push_back( reachable[n] );
        }
        return out;
    }

    void report( int number, const std::string& upstream, const std::set<Fingerprint>& parts,
                 MonoTime endedAt ) {
        auto& gateway = m_gateways[static_cast<std::size_t>( number )];
        std::set<std::size_t> notified;
        for( const auto it : parts ) {
            const auto soundAt = gateway.sound->begunAt( it, m_now );
            const bool known = gateway.quarantines.times( it ) > 0;
            if( m_load.policy == PartPolicy::none || known || ( soundAt && *soundAt >= endedAt ) ) {
                continue;
            }
            const decide::InterruptedPart part{ it,
                                                soundAt ? millisBetween( *soundAt, m_now ) : -1 };
            if( m_load.policy == PartPolicy::perGateway ) {
                if( const auto found = gateway.counter.note( part, upstream, endedAt, m_now ) ) {
                    apply( gateway, *found );
                }
                continue;
            }
            ++m_out.partsReported;
            for( const auto n : holdersOf( it ) ) {
                notified.insert( n );
                at( m_now + messageDelay, [this, n, part, upstream, endedAt] {
                    count( m_holders[n], part, upstream, endedAt );
                } );
            }
        }
        m_out.messages += static_cast<int>( notified.size() );
    }

    void count( Holder& holder, const decide::InterruptedPart& part, const std::string& upstream,
                MonoTime endedAt ) {
        if( holder.quarantines.times( part.fingerprint ) > 0 ) {
            return;
        }
        const auto found = holder.counter.note( part, upstream, endedAt, m_now );
        m_out.largestCounterSize =
            std::max( m_out.largestCounterSize, static_cast<int>( holder.counter.size() ) );
        if( !found ) {
            return;
        }
        const auto quarantine = *found;
        holder.quarantines.put( quarantine, m_now );
        m_stored[quarantine.fingerprint] = quarantine;
        at( m_now + messageDelay, [this, quarantine] {
            for( auto& it : m_gateways ) {
                apply( it, quarantine );
            }
        } );
    }

    void apply( Gateway& gateway, const decide::Quarantine& quarantine ) {
        const auto part = quarantine.fingerprint;
        gateway.quarantines.put( quarantine, m_now );
        const auto soundAt = gateway.sound->begunAt( part, m_now );
        const bool refuted = soundAt && gateway.quarantines.isRefuted( part, *soundAt );
        if( refuted || ( soundAt && !quarantine.soundBefore ) ) {
            gateway.quarantines.clear( part );
            sendCleared( part, *soundAt );
            return;
        }
        if( !isPoison( part ) && m_soundQuarantined.insert( part ).second ) {
            ++m_out.soundPartsQuarantined;
        }
    }

    void sendCleared( Fingerprint part, MonoTime begunAt ) {
        for( const auto n : holdersOf( part ) ) {
            at( m_now + messageDelay, [this, n, part, begunAt] {
                auto& holder = m_holders[n];
                const bool refuted = holder.quarantines.isRefuted( part, begunAt );
                const bool lifted = holder.counter.noteSound( part, begunAt );
                if( holder.quarantines.times( part ) == 0 || !( refuted || lifted ) ) {
                    return;
                }
                holder.quarantines.clear( part );
                m_stored.erase( part );
                at( m_now + messageDelay, [this, part] {
                    for( auto& it : m_gateways ) {
                        it.quarantines.clear( part );
                    }
                } );
            } );
        }
    }

    void losePower() {
        for( std::size_t n = 0; n < m_engines.size(); n += 3 ) {
            if( m_engines[n].up ) {
                crash( m_engines[n] );
            }
        }
    }

    void crashOne() {
        auto& engine = m_engines[m_random.below( m_engines.size() )];
        if( engine.up ) {
            crash( engine );
        }
        at( m_now + m_load.crashInterval, [this] { crashOne(); } );
    }

    void restartAll() {
        for( auto& it : m_gateways ) {
            it = Gateway( m_load.rule );
            for( const auto& [part, quarantine] : m_stored ) {
                auto entry = quarantine;
                entry.firstEndMsAgo = -1;
                it.quarantines.put( entry, m_now );
            }
        }
        for( auto& it : m_holders ) {
            const bool reachable = it.reachable;
            it = Holder( m_load.rule );
            it.reachable = reachable;
        }
    }

    void countLate( MonoTime end ) {
        // Later ones may still run at the end.
        constexpr Millis longestRun{ 4000 };
        if( !m_lastConfirmed ) {
            return;
        }
        const auto from = *m_lastConfirmed + 2 * contact;
        const auto counts = [&]( const std::vector<MonoTime>& times ) {
            return static_cast<int>( std::count_if( times.begin(), times.end(), [&]( MonoTime it ) {
                return it >= from && it < end - longestRun;
            } ) );
        };
        m_out.lateServed = counts( m_served );
        m_out.lateRequests = m_out.lateServed + counts( m_failed );
    }

    PartLoad m_load;
    RandomSource m_random;
    MonoTime m_now = start;
    int m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    std::vector<Holder> m_holders;
    std::vector<std::string> m_names;
    std::map<Fingerprint, Crashes> m_crashes;
    std::optional<MonoTime> m_lastConfirmed;
    std::map<Fingerprint, int> m_sendsAfterBound;
    std::map<Fingerprint, decide::Quarantine> m_stored;
    std::set<Fingerprint> m_soundQuarantined;
    std::vector<MonoTime> m_served; //!< when they were asked
    std::vector<MonoTime> m_failed;
    PartOutcome m_out;
};

} // namespace

PartOutcome simulateParts( const PartLoad& load ) {
    return World( load ).simulate();
}

} // namespace coursehead::replay
