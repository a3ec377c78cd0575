// SPDX-License-Identifier: BSL-1.0
#include "sidecar/orders.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/store_grants.hpp"
#include "gateway/store_objects.hpp"
#include "platform/store_client.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace coursehead::sidecar {

namespace {

using gateway::EnsureOutcome;

//! An ensure request that the engine has no capacity for is answered after this time, so that the
//! gateway can try another engine.
constexpr Millis roomLimit{ 400 };
//! An adapter loads within some ten milliseconds; after this time the gateway should try another
//! engine.
constexpr Millis adapterLimit{ 500 };
//! Number of earlier engine starts that are kept.
constexpr std::size_t maxFormer = 4;
constexpr Millis storeLimit{ 1000 };
constexpr Millis storeRetry{ 300 };
//! A kind of this project that has no objects; listing it only reads the store's revision.
constexpr std::string_view fenceKind = "fences";

//! The answer to an ensure request; nullopt while it should keep waiting.
std::optional<EnsureOutcome> outcomeOf( StepKind step, Millis waited, Millis limit ) {
    switch( step ) {
    case StepKind::ready:
        return EnsureOutcome::ready;
    case StepKind::needsWeightStore:
        return EnsureOutcome::needsWeightStore;
    case StepKind::unknown:
        return EnsureOutcome::failed;
    case StepKind::unloading:
        return EnsureOutcome::noCapacity;
    case StepKind::noCapacity:
        return waited > roomLimit ? std::optional( EnsureOutcome::noCapacity ) : std::nullopt;
    case StepKind::wait:
    case StepKind::load:
    case StepKind::unload:
    case StepKind::retire:
        break;
    }
    return waited > limit ? std::optional( EnsureOutcome::failed ) : std::nullopt;
}

Millis limitOf( const PendingEnsure& ensure, const ResidencyState& held ) {
    const bool adapterOnly = held.models.contains( ensure.required.model );
    return adapterOnly ? std::min( ensure.limit, adapterLimit ) : ensure.limit;
}

} // namespace

Orders::Orders( net::asio::io_context& context, const platform::NodeSettings& settings,
                EngineClient& engine, EngineView& view, RandomSource& random,
                metrics::Metrics& metrics, Callbacks host )
    : m_context( context ), m_settings( settings ), m_engine( engine ), m_view( view ),
      m_random( random ), m_metrics( metrics ), m_host( std::move( host ) ) {}

void Orders::start() {
    if( m_settings.firstStart ) {
        // No earlier start of this sidecar has sent orders, so there is no token to exceed.
        m_fence = decide::firstFencingToken;
        log::info( "fence", { { "fence", static_cast<std::int64_t>( m_fence ) } } );
        return;
    }
    net::start( m_context, obtainFence(), "fence" );
}

//! Obtains the fencing token from the store: a number that only rises across the restarts of this
//! VM, and that no other VM is given for an engine.
net::Task<> Orders::obtainFence() {
    platform::StoreClient store( m_context, m_settings.store, &m_metrics );
    for( ;; ) {
        const auto result = co_await store.list( fenceKind, storeLimit );
        if( result.status == platform::StoreStatus::ok ) {
            m_fence = decide::fencingToken( result.position );
            log::info( "fence", { { "fence", static_cast<std::int64_t>( m_fence ) } } );
            co_return;
        }
        co_await net::pause( m_context, storeRetry );
    }
}

void Orders::add( PendingEnsure ensure ) {
    ensure.loaded = true;
    m_wants.push_back( std::move( ensure ) );
}

void Orders::forget( std::uint64_t key ) {
    m_wants.remove_if( [key]( const auto& it ) { return it.key == key; } );
}

void Orders::forgetPeer( const Peer& peer ) {
    m_wants.remove_if(
        [&peer]( const PendingEnsure& it ) { return it.key == keyOf( peer, it.number ); } );
}

void Orders::fail( const std::function<bool( const PendingEnsure& ensure )>& which ) {
    m_wants.remove_if( [&]( const PendingEnsure& it ) {
        const bool fails = which( it );
        if( fails ) {
            m_host.answer( it, EnsureOutcome::failed );
        }
        return fails;
    } );
}

void Orders::dropOld() {
    const auto now = MonoClock::now();
    fail( [now]( const PendingEnsure& it ) { return now - it.since > roomLimit; } );
}

void Orders::modelRestore( std::vector<decide::PreviousModel> lost ) {
    m_recall = { std::move( lost ), false };
    log::info( "recall", { { "models", static_cast<std::int64_t>( m_recall.models.size() ) },
                           { "from", "memory" } } );
}

void Orders::recallFromStore() {
    net::start( m_context, readFormer(), "recall" );
}

//! Reads from the store's list what this VM's engine held, and how many copies of each model
//! engines held, before a power loss. A list that is seconds old names the former contents for
//! longest.
net::Task<> Orders::readFormer() {
    platform::StoreClient store( m_context, m_settings.store, &m_metrics );
    const auto result =
        co_await store.list( platform::upstreamKind, storeLimit, platform::ListAge::secondsOld );
    gateway::ObjectReader reader;
    std::map<std::string, int> copies;
    std::set<std::string> mine;
    for( const auto& object : result.objects ) {
        const auto upstream = reader.upstream( object );
        if( !upstream ) {
            continue;
        }
        const auto& engine = m_settings.engine;
        const bool here = upstream->ip == engine.ip && upstream->port == engine.port;
        for( const auto& it : upstream->residents ) {
            ++copies[it.model];
            if( here ) {
                mine.insert( it.model );
            }
        }
    }
    m_recall.allEngines = true;
    for( const auto& it : mine ) {
        m_recall.models.push_back( { it, copies[it] } );
    }
    log::info( "recall",
               { { "models", static_cast<std::int64_t>( mine.size() ) }, { "from", "store" } } );
}

//! Next load of a model that the engine held before it restarted; only into free capacity.
std::optional<Step> Orders::recallStep( const ResidencyState& held, MonoTime now ) {
    const auto isLocal = [this]( std::string_view model ) {
        return m_view.hasWeights( model );
    };
    while( const auto model = decide::takeNextModel( m_recall, isLocal, m_random.unit() ) ) {
        const auto step = nextStep( held, { *model, "", false }, now );
        if( step.kind == StepKind::load ) {
            return step;
        }
    }
    return std::nullopt;
}

net::Task<> Orders::serve() {
    std::optional<Step> order;
    std::string upstreamId;
    std::string retire;
    const auto now = MonoClock::now();
    const auto held = m_view.holdings( now );
    for( auto it = m_wants.begin(); it != m_wants.end(); ) {
        const auto waited = remaining( it->since, now );
        RequiredModel required = it->required;
        required.fromStore = required.fromStore && waited <= gateway::storeGrantLifetime;
        const auto step = nextStep( held, required, now );
        if( const auto outcome = outcomeOf( step.kind, waited, limitOf( *it, held ) ) ) {
            PendingEnsure ensure = std::move( *it );
            it = m_wants.erase( it );
            if( *outcome == EnsureOutcome::ready ) {
                m_host.ready( std::move( ensure ) );
            } else {
                m_host.answer( ensure, *outcome );
            }
            continue;
        }
        if( step.kind == StepKind::retire ) {
            retire = step.model;
        }
        const bool orders = step.kind == StepKind::load || step.kind == StepKind::unload;
        // Adapters go first: they load within milliseconds.
        if( orders && ( !order || ( order->adapter.empty() && !step.adapter.empty() ) ) ) {
            order = step;
            upstreamId = it->upstreamId;
        }
        ++it;
    }
    if( m_view.setRetiring( retire, now ) ) {
        m_host.changed();
    }
    if( m_fence == 0 ) {
        co_return;
    }
    if( !order && !held.report->orderInProgress ) {
        order = recallStep( held, now );
        upstreamId = m_engineId;
    }
    if( order ) {
        const Step step = *order;
        co_await give( step, upstreamId );
    }
}

net::Task<> Orders::give( Step step, std::string upstreamId ) {
    platform::Order order;
    order.kind =
        step.kind == StepKind::load ? platform::OrderKind::load : platform::OrderKind::unload;
    order.model = step.model;
    order.adapter = step.adapter;
    order.expectedSequence = m_view.report().sequence;
    order.holder = m_settings.vm;
    order.fence = m_fence;
    m_orderAt = MonoClock::now();
    const auto given = co_await m_engine.give( order, upstreamId );
    const auto verdict = given.verdict;
    if( verdict == platform::OrderVerdict::moved ) {
        noteMoved( upstreamId, given.actualUpstream );
    }
    const bool mayBeTaken = verdict == platform::OrderVerdict::underWay ||
                            verdict == platform::OrderVerdict::holds ||
                            verdict == platform::OrderVerdict::unknown;
    if( step.kind == StepKind::unload && mayBeTaken ) {
        m_view.noteUnload( step, MonoClock::now() );
        m_host.changed();
    }
    m_metrics.count( "orders", platform::nameOf( verdict ) );
    log::info( "order", { { "kind", step.kind == StepKind::load ? "load" : "unload" },
                          { "model", step.model },
                          { "adapter", step.adapter },
                          { "upstream", upstreamId },
                          { "sequence", static_cast<std::int64_t>( order.expectedSequence ) },
                          { "verdict", platform::nameOf( verdict ) } } );
}

//! Handles an order refused because the engine has restarted: records its former start, and fails
//! the ensure requests that wait for it.
void Orders::noteMoved( const std::string& meant, const std::string& actual ) {
    log::info( "engine_restarted", { { "before", meant }, { "now", actual } } );
    if( !actual.empty() ) {
        m_engineId = actual;
    }
    m_former.push_back( meant );
    if( m_former.size() > maxFormer ) {
        m_former.erase( m_former.begin() );
    }
    m_host.changed();
    fail( [&meant]( const PendingEnsure& it ) { return it.upstreamId == meant; } );
}

} // namespace coursehead::sidecar
