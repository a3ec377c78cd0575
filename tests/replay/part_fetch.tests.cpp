// SPDX-License-Identifier: BSL-1.0
// Demand for a model jumps. Every engine that takes a part of it lacks the shared part with which
// all prompts begin, and one has it. Without transfers each engine reads the part itself, while
// prompts queue. The gateways' and sidecars' decisions run against emulated engines.
#include "gateway/choice/node.hpp"
#include "gateway/choice/part_source.hpp"
#include "replay/emulated_engine.hpp"
#include "sidecar/prompt_gate.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

constexpr int engineCount = 8;
constexpr std::int64_t sharedTokens = 6300;
constexpr std::int64_t ownTokens = 300;
constexpr double tickMs = 5;
constexpr double lengthMs = 3000;
constexpr double promptEveryMs = 2.5;
constexpr double goalMs = 600;
//! Interval of the engine reports to a sidecar while prompts are read.
constexpr double reportEveryMs = 40;
//! Interval of a sidecar's load reports to gateways.
constexpr double publishEveryMs = 150;
constexpr decide::PartLink link{ 163840, 740000 };
const double msPerToken = EngineParameters{}.readMsPerToken;

MonoTime at( double ms ) {
    constexpr double startMs = 1000000;
    constexpr double usPerMs = 1000;
    return MonoTime{
        std::chrono::microseconds( static_cast<std::int64_t>( ( startMs + ms ) * usPerMs ) ) };
}

struct Engine {
    struct PendingSend {
        double atMs = 0;
        EmulatedRequest request;
    };
    gateway::Node node;
    sidecar::PromptGate gate;
    EmulatedEngine engine{ EngineParameters{} };
    gateway::PrefixCache cache{ 240000 }; //!< what the engine really has
    std::vector<PendingSend> sends;
    std::vector<gateway::SentPart> unpublished;
    bool lost = false;

    explicit Engine( int n ) : node( upstream( n ), at( 0 ) ) {
        node.prefixes.setCapacity( 240000 );
        gate.setEngine( 240000, 0ms );
        gateway::SidecarReport report;
        report.reachable = true;
        report.residents = { { "m", {} } };
        node.takeReport( report, at( 0 ) );
    }
    static gateway::Upstream upstream( int n ) {
        gateway::Upstream out;
        out.id = "engine-" + std::to_string( n );
        out.ip = "10.0.0." + std::to_string( n );
        out.port = 8080;
        out.hall = "hall";
        return out;
    }
};

struct Outcome {
    int promptsServed = 0;
    int refused = 0;
    int partsRead = 0;     //!< sends after which an engine read the shared part
    int fetchesFailed = 0; //!< sends with the instruction to fetch that found nothing
    double latestFirstEventMs = 0;
};

struct Parameters {
    bool fetches = true;
    double sourceLostAt = lengthMs; //!< the engine that has the part is lost
    double lossSeenAt = lengthMs;   //!< gateways know that it is lost
};

class Replay {
public:
    explicit Replay( Parameters parameters ) : m_parameters( parameters ) {
        for( int n = 0; n < engineCount; ++n ) {
            m_engines.push_back( std::make_unique<Engine>( n ) );
            m_engines.back()->gate.setPartLink( parameters.fetches ? link : decide::PartLink{} );
        }
        const auto shared = generationOf( 0 );
        auto& first = *m_engines.front();
        first.cache.insertPart( keysOf( shared )[0], sharedTokens, "m" );
        first.node.prefixes.insertPart( keysOf( shared )[0], sharedTokens, "m" );
    }

    Outcome run() {
        std::uint64_t lastPrompt = 0;
        for( double now = 0; now < lengthMs; now += tickMs ) {
            loseSource( now );
            while( static_cast<double>( lastPrompt ) * promptEveryMs <= now ) {
                arrive( ++lastPrompt, now );
            }
            for( auto& it : m_engines ) {
                advance( *it, now );
            }
        }
        for( const auto& it : m_records ) {
            m_out.latestFirstEventMs = std::max( m_out.latestFirstEventMs, it.firstEventMs );
        }
        m_out.promptsServed = static_cast<int>( m_records.size() );
        return m_out;
    }

private:
    static gateway::Generation generationOf( std::uint64_t key ) {
        gateway::Generation out;
        out.model = "m";
        out.promptTokens = sharedTokens + ownTokens;
        out.parts = { { 7, sharedTokens }, { 1000 + key, ownTokens } };
        return out;
    }
    static std::vector<std::uint64_t> keysOf( const gateway::Generation& generation ) {
        return gateway::prefixKeys( generation );
    }
    static bool isDue( double now, double every ) {
        return static_cast<std::int64_t>( now ) % static_cast<std::int64_t>( every ) == 0;
    }

    void loseSource( double now ) {
        m_engines[0]->lost = now >= m_parameters.sourceLostAt;
        m_engines[0]->node.engineReachable = now < m_parameters.lossSeenAt;
    }

    //! Asks the two engines that serve the prompt soonest, as a gateway does.
    void arrive( std::uint64_t key, double now ) {
        constexpr int maxAsked = 2;
        const auto generation = generationOf( key );
        const auto keys = keysOf( generation );
        const auto cost = [&]( const Engine& it ) {
            const auto cached = it.node.prefixes.cachedTokens( keys, generation );
            const auto work = static_cast<double>( generation.promptTokens - cached ) * msPerToken;
            return static_cast<double>( it.gate.typicalWait( at( now ) ).count() ) + work;
        };
        std::vector<std::pair<double, Engine*>> order;
        for( auto& it : m_engines ) {
            if( !it->lost ) {
                order.emplace_back( cost( *it ), it.get() );
            }
        }
        std::stable_sort( order.begin(), order.end(),
                          []( const auto& a, const auto& b ) { return a.first < b.first; } );
        for( int n = 0; n < maxAsked; ++n ) {
            auto* engine = order[static_cast<std::size_t>( n )].second;
            const auto request = requestFor( *engine, key, now );
            if( engine->gate.ask( request, at( now ) ).accepted ) {
                m_arrivals[key] = now;
                m_namedSource[key] = request.prompt.cachedAt;
                return;
            }
        }
        ++m_out.refused;
    }

    sidecar::PromptRequest requestFor( const Engine& target, std::uint64_t key, double now ) const {
        const auto generation = generationOf( key );
        const auto keys = keysOf( generation );
        gateway::PendingPrompt prompt;
        prompt.tokens = generation.promptTokens;
        prompt.msPerToken = msPerToken;
        prompt.goalMs = static_cast<std::int64_t>( goalMs ) - 200;
        prompt.parts = { { keys[0], sharedTokens }, { keys[1], ownTokens } };
        const gateway::PartQuery query{ target.node, generation, keys, msPerToken, at( now ) };
        std::optional<gateway::PartSource> best;
        for( const auto& it : m_engines ) {
            const auto source = gateway::partSourceAt( it->node, query );
            if( source && ( !best || gateway::isBetterSource( *source, *best ) ) ) {
                best = source;
            }
        }
        if( best ) {
            prompt.cachedAt = best->address;
            prompt.cachedTokens = best->tokens;
            prompt.cachedReadyMs = best->readyIn.count();
        }
        const Millis limit( prompt.goalMs );
        return { key, "m", "", std::move( prompt ), at( now ), limit };
    }

    bool hasPart( std::string_view address, const std::vector<std::uint64_t>& keys,
                  const gateway::Generation& generation ) const {
        return std::any_of( m_engines.begin(), m_engines.end(), [&]( const auto& it ) {
            const auto own = it->node.upstream.ip + ":" + std::to_string( it->node.upstream.port );
            return own == address && !it->lost &&
                   it->cache.cachedTokens( keys, generation ) >= sharedTokens;
        } );
    }

    void send( Engine& engine, const sidecar::AdmittedPrompt& admitted, double now ) {
        const auto generation = generationOf( admitted.key );
        const auto keys = keysOf( generation );
        auto cached = engine.cache.cachedTokens( keys, generation );
        double sendAt = now;
        if( admitted.plan.fetches() ) {
            const bool there = hasPart( m_namedSource[admitted.key], keys, generation );
            m_out.fetchesFailed += there ? 0 : 1;
            cached = there ? sharedTokens : cached;
            sendAt += there ? static_cast<double>( admitted.plan.transfer.count() ) : 0;
        }
        m_out.partsRead += cached < sharedTokens ? 1 : 0;
        engine.sends.push_back(
            { sendAt,
              { admitted.key, m_arrivals[admitted.key], generation.promptTokens - cached, 4 } } );
        engine.cache.insert( keys, generation );
        engine.unpublished.push_back( { keys[0], sharedTokens, "m" } );
    }

    void advance( Engine& it, double now ) {
        if( it.lost ) {
            return;
        }
        for( const auto& admitted : it.gate.takeAdmitted( at( now ) ) ) {
            send( it, admitted, now );
        }
        std::erase_if( it.sends, [&]( const auto& pending ) {
            if( pending.atMs <= now ) {
                it.engine.send( pending.request );
            }
            return pending.atMs <= now;
        } );
        it.engine.runUntil( now + tickMs, m_records );
        if( isDue( now, reportEveryMs ) ) {
            it.gate.noteUnread( it.engine.unreadPrompts() + it.sends.size(), at( now ) );
        }
        for( const auto& refused : it.gate.takeRefused( at( now ) ) ) {
            const auto key = refused.key;
            m_arrivals.erase( key );
            ++m_out.refused;
        }
        if( isDue( now, publishEveryMs ) ) {
            gateway::EngineLoad load;
            load.sentParts = std::exchange( it.unpublished, {} );
            it.node.takeLoad( load, at( now ) );
        }
    }

    Parameters m_parameters;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<StreamRecord> m_records;
    std::map<std::uint64_t, double> m_arrivals;
    std::map<std::uint64_t, std::string> m_namedSource;
    Outcome m_out;
};

} // namespace

TEST_CASE( "After a jump engines fetch the shared part from the one that has it",
           "[fetch][replay]" ) {
    const auto read = Replay( { false } ).run();
    const auto fetched = Replay( { true } ).run();
    CAPTURE( read.promptsServed, read.refused, read.latestFirstEventMs, fetched.promptsServed,
             fetched.refused, fetched.latestFirstEventMs );
    CHECK( read.partsRead >= engineCount - 1 );
    CHECK( fetched.partsRead == 0 );
    CHECK( fetched.fetchesFailed == 0 );
    CHECK( fetched.refused <= read.refused );
    CHECK( fetched.latestFirstEventMs < read.latestFirstEventMs );
}

TEST_CASE( "When the engine that has the part is lost, others read it and give it on",
           "[fetch][replay]" ) {
    const auto fetched = Replay( { true, 20, 1500 } ).run();
    CAPTURE( fetched.promptsServed, fetched.refused, fetched.fetchesFailed,
             fetched.latestFirstEventMs );
    // At most one failed transfer for each engine before its sidecar has seen it.
    CHECK( fetched.fetchesFailed <= engineCount );
    CHECK( fetched.partsRead <= engineCount - 1 );
    CHECK( fetched.latestFirstEventMs < goalMs );
}
