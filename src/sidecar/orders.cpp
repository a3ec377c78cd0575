// SPDX-License-Identifier: BSL-1.0
#include "sidecar/orders.hpp"

#include "coursehead/kernel/log.hpp"
#include "decide/load_waiters.hpp"
#include "gateway/links/store_grants.hpp"
#include "gateway/links/store_objects.hpp"
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
constexpr Millis capacityWaitLimit{ 400 };
//! An adapter loads within some ten milliseconds; after this time the gateway should try another
//! engine.
constexpr Millis adapterWaitLimit{ 500 };
//! Load of an adapter: an order and some milliseconds of loading.
constexpr Millis adapterLoadTime{ 25 };
//! Number of earlier engine starts that are kept.
constexpr std::size_t maxFormerStarts = 4;
constexpr Millis storeCallLimit{ 1000 };
constexpr Millis storeRetryDelay{ 300 };
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
        return waited > capacityWaitLimit ? std::optional( EnsureOutcome::noCapacity )
                                          : std::nullopt;
    case StepKind::wait:
    case StepKind::load:
    case StepKind::unload:
    case StepKind::retire:
        break;
    }
    return waited > limit ? std::optional( EnsureOutcome::failed ) : std::nullopt;
}

Millis waitLimitOf( const PendingEnsure& ensure, const ResidencyState& state ) {
    const bool adapterOnly = state.models.contains( ensure.required.model );
    return adapterOnly ? std::min( ensure.limit, adapterWaitLimit ) : ensure.limit;
}

} // namespace

Orders::Orders( net::asio::io_context& context, const platform::NodeSettings& settings,
                EngineClient& engine, EngineView& view, RandomSource& random,
                metrics::Metrics& metrics, Callbacks callbacks )
    : m_context( context ), m_settings( settings ), m_engine( engine ), m_view( view ),
      m_random( random ), m_metrics( metrics ), m_callbacks( std::move( callbacks ) ) {}

void Orders::start() {
    if( m_settings.firstStart ) {
        // No earlier start of this sidecar has sent orders, so there is no token to exceed.
        m_fencingToken = decide::firstFencingToken;
        log::info( "fence", { { "fence", static_cast<std::int64_t>( m_fencingToken ) } } );
        return;
    }
    net::start( m_context, obtainFencingToken(), "fence" );
}

//! Obtains the fencing token from the store: a number that only rises across the restarts of this
//! VM, and that no other VM is given for an engine.
net::Task<> Orders::obtainFencingToken() {
    platform::StoreClient store( m_context, m_settings.store, &m_metrics );
    for( ;; ) {
        const auto result = co_await store.list( fenceKind, storeCallLimit );
        if( result.status == platform::StoreStatus::ok ) {
            m_fencingToken = decide::fencingToken( result.position );
            log::info( "fence", { { "fence", static_cast<std::int64_t>( m_fencingToken ) } } );
            co_return;
        }
        co_await net::pause( m_context, storeRetryDelay );
    }
}

void Orders::add( PendingEnsure ensure ) {
    ensure.neededLoad = true;
    m_waiting.push_back( std::move( ensure ) );
}

void Orders::forget( std::uint64_t key ) {
    m_waiting.remove_if( [key]( const auto& it ) { return it.key == key; } );
}

void Orders::forgetPeer( const Peer& peer ) {
    m_waiting.remove_if(
        [&peer]( const PendingEnsure& it ) { return it.key == ensureKey( peer, it.number ); } );
}

void Orders::failMatching( const std::function<bool( const PendingEnsure& ensure )>& matches ) {
    m_waiting.remove_if( [&]( const PendingEnsure& it ) {
        const bool matched = matches( it );
        if( matched ) {
            m_callbacks.answer( it, EnsureOutcome::failed );
        }
        return matched;
    } );
}

void Orders::failOverdue() {
    const auto now = MonoClock::now();
    failMatching( [now]( const PendingEnsure& it ) { return now - it.since > capacityWaitLimit; } );
}

void Orders::restoreModels( std::vector<decide::PreviousModel> lostModels ) {
    m_modelRestore = { std::move( lostModels ), false };
    log::info( "recall", { { "models", static_cast<std::int64_t>( m_modelRestore.models.size() ) },
                           { "from", "memory" } } );
}

void Orders::restoreModelsFromStore() {
    net::start( m_context, readFormerModels(), "recall" );
}

//! Reads from the store's list what this VM's engine held, and how many copies of each model
//! engines held, before a power loss. A list that is seconds old names the former contents for
//! longest.
net::Task<> Orders::readFormerModels() {
    platform::StoreClient store( m_context, m_settings.store, &m_metrics );
    const auto result = co_await store.list( platform::upstreamKind, storeCallLimit,
                                             platform::ListAge::secondsOld );
    gateway::ObjectReader reader;
    std::map<std::string, int> copies;
    std::set<std::string> heldHere;
    for( const auto& object : result.objects ) {
        const auto upstream = reader.upstream( object );
        if( !upstream ) {
            continue;
        }
        const auto& engine = m_settings.engine;
        const bool isThisEngine = upstream->ip == engine.ip && upstream->port == engine.port;
        for( const auto& it : upstream->residents ) {
            ++copies[it.model];
            if( isThisEngine ) {
                heldHere.insert( it.model );
            }
        }
    }
    m_modelRestore.allEngines = true;
    for( const auto& it : heldHere ) {
        m_modelRestore.models.push_back( { it, copies[it] } );
    }
    log::info( "recall", { { "models", static_cast<std::int64_t>( heldHere.size() ) },
                           { "from", "store" } } );
}

//! Next load of a model that the engine held before it restarted; only into free capacity.
std::optional<Step> Orders::modelRestoreStep( const ResidencyState& state, MonoTime now ) {
    const auto isLocal = [this]( std::string_view model ) {
        return m_view.hasWeights( model );
    };
    while( const auto model = decide::takeNextModel( m_modelRestore, isLocal, m_random.unit() ) ) {
        const auto step = nextStep( state, { *model, "", false }, now );
        if( step.kind == StepKind::load ) {
            return step;
        }
    }
    return std::nullopt;
}

std::optional<PlannedOrder> Orders::answerWaiting( MonoTime now ) {
    std::optional<PlannedOrder> order;
    std::string modelToRetire;
    std::vector<PendingEnsure> ready;
    const auto state = m_view.residencyState( now );
    for( auto it = m_waiting.begin(); it != m_waiting.end(); ) {
        const auto waited = remaining( it->since, now );
        RequiredModel required = it->required;
        required.fromStore = required.fromStore && waited <= gateway::storeGrantLifetime;
        const auto step = nextStep( state, required, now );
        const auto limit = waitLimitOf( *it, state );
        auto outcome = outcomeOf( step.kind, waited, limit );
        if( !outcome && step.kind == StepKind::wait ) {
            if( const auto wait = waitBehindOrder( *it, step, limit - waited, now ) ) {
                it->loadWait = *wait;
                outcome = EnsureOutcome::failed;
            }
        }
        if( outcome ) {
            PendingEnsure ensure = std::move( *it );
            it = m_waiting.erase( it );
            if( *outcome == EnsureOutcome::ready ) {
                ready.push_back( std::move( ensure ) );
            } else {
                m_callbacks.answer( ensure, *outcome );
            }
            continue;
        }
        if( step.kind == StepKind::retire ) {
            modelToRetire = step.model;
        }
        const bool needsOrder = step.kind == StepKind::load || step.kind == StepKind::unload;
        // Adapters go first: they load within milliseconds.
        if( needsOrder && ( !order || ( order->step.adapter.empty() && !step.adapter.empty() ) ) ) {
            order = PlannedOrder{ step, it->upstreamId };
        }
        ++it;
    }
    letIn( std::move( ready ), now );
    if( m_view.setRetiring( modelToRetire, now ) ) {
        m_callbacks.changed();
    }
    if( m_fencingToken == 0 ) {
        return std::nullopt;
    }
    if( !order && !state.report->orderInProgress ) {
        if( auto step = modelRestoreStep( state, now ) ) {
            order = PlannedOrder{ std::move( *step ), m_engineId };
        }
    }
    return order;
}

//! Passes on the ensure requests whose load is complete, those first that can still be in time.
void Orders::letIn( std::vector<PendingEnsure> ready, MonoTime now ) {
    const auto waiterOf = []( const PendingEnsure& it ) {
        return decide::LoadWaiter{ it.since + Millis( it.prompt.goalMs ), it.since + it.limit };
    };
    std::stable_sort( ready.begin(), ready.end(), [&]( const auto& a, const auto& b ) {
        return decide::goesBefore( waiterOf( a ), waiterOf( b ), now );
    } );
    for( auto& it : ready ) {
        m_callbacks.ready( std::move( it ) );
    }
}

//! Load time of a model from where the engine has its weights.
Millis Orders::loadTime( std::string_view model ) const {
    const auto* spec = m_view.spec() ? m_view.spec()->find( model ) : nullptr;
    if( spec == nullptr ) {
        return Millis{ 0 };
    }
    const auto& report = m_view.report();
    const auto has = [model]( const std::vector<std::string>& names ) {
        return std::find( names.begin(), names.end(), model ) != names.end();
    };
    if( has( report.inMemory ) ) {
        return spec->memoryLoad;
    }
    return has( report.onDisk ) ? spec->diskLoad : spec->storeLoad;
}

std::optional<Millis> Orders::orderLeft( MonoTime now ) const {
    if( !m_view.report().orderInProgress ) {
        return Millis{ 0 };
    }
    return m_modelOrder ? decide::orderLeft( *m_modelOrder, now ) : std::nullopt;
}

//! When an ensure request that waits for the model order in progress could be met, if that is too
//! late for it.
std::optional<Millis> Orders::waitBehindOrder( const PendingEnsure& ensure, const Step& step,
                                               Millis limitLeft, MonoTime now ) const {
    if( !m_view.report().orderInProgress || !m_modelOrder ) {
        return std::nullopt;
    }
    decide::OrderWait wait;
    wait.orderLeft = decide::orderLeft( *m_modelOrder, now );
    wait.limitLeft = limitLeft;
    if( !step.adapter.empty() ) {
        wait.ownLoad = adapterLoadTime;
    } else if( m_modelOrder->model != ensure.required.model ) {
        wait.ownLoad = loadTime( ensure.required.model );
    }
    return decide::waitBeyondLimit( wait );
}

void Orders::noteModelOrder( const Step& step ) {
    const auto now = MonoClock::now();
    const auto expected =
        step.kind == StepKind::load ? std::optional( loadTime( step.model ) ) : std::nullopt;
    m_modelOrder = decide::ModelOrder{ step.model, now, expected };
}

net::Task<> Orders::sendOrder( PlannedOrder planned ) {
    const Step step = std::move( planned.step );
    const std::string upstreamId = std::move( planned.upstreamId );
    platform::Order order;
    order.kind =
        step.kind == StepKind::load ? platform::OrderKind::load : platform::OrderKind::unload;
    order.model = step.model;
    order.adapter = step.adapter;
    order.expectedSequence = m_view.report().sequence;
    order.holder = m_settings.vm;
    order.fence = m_fencingToken;
    m_lastOrderAt = MonoClock::now();
    const auto orderAnswer = co_await m_engine.sendOrder( order, upstreamId );
    const auto verdict = orderAnswer.verdict;
    if( verdict == platform::OrderVerdict::moved ) {
        handleRestart( upstreamId, orderAnswer.actualUpstream );
    }
    const bool mayBeAccepted = verdict == platform::OrderVerdict::underWay ||
                               verdict == platform::OrderVerdict::holds ||
                               verdict == platform::OrderVerdict::unknown;
    if( step.adapter.empty() && mayBeAccepted ) {
        noteModelOrder( step );
    }
    if( step.kind == StepKind::unload && mayBeAccepted ) {
        m_view.noteUnload( step, MonoClock::now() );
        m_callbacks.changed();
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
void Orders::handleRestart( const std::string& expectedStart, const std::string& actualStart ) {
    log::info( "engine_restarted", { { "before", expectedStart }, { "now", actualStart } } );
    if( !actualStart.empty() ) {
        m_engineId = actualStart;
    }
    m_formerStarts.push_back( expectedStart );
    if( m_formerStarts.size() > maxFormerStarts ) {
        m_formerStarts.erase( m_formerStarts.begin() );
    }
    m_callbacks.changed();
    failMatching(
        [&expectedStart]( const PendingEnsure& it ) { return it.upstreamId == expectedStart; } );
}

} // namespace coursehead::sidecar
