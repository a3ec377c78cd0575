// SPDX-License-Identifier: BSL-1.0
#include "agent/residency.hpp"

#include "coursehead/kernel/log.hpp"
#include "coursehead/platform/attempt.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace coursehead::agent {

using engine::OrderOutcome;
using ledger::ChargeState;
using ledger::Item;
using ledger::ItemKind;
using platform::StoreFailure;

namespace {

constexpr Millis retryPause{ 500 };
constexpr Millis idlePause{ 1000 };
constexpr Millis lookInterval{ 200 };

Item modelItem( const config::Model& model ) {
    return { ItemKind::model, model.name, model.version, "" };
}

Item adapterItem( const config::Adapter& adapter, const config::Model& model ) {
    return { ItemKind::adapter, adapter.name, model.version, model.name };
}

ledger::Footprint modelFootprint( const config::Model& model ) {
    return { modelItem( model ), config::bytesPerAccelerator( model ), model.accelerators };
}

std::string itemWord( const Item& item ) {
    return ( item.kind == ItemKind::model ? "model/" : "adapter/" ) + item.name + "@" +
           item.version;
}

} // namespace

bool Residency::ItemLess::operator()( const Item& a, const Item& b ) const {
    return std::tie( a.kind, a.name, a.version ) < std::tie( b.kind, b.name, b.version );
}

bool Residency::TargetLess::operator()( const peer::Target& a, const peer::Target& b ) const {
    return std::tie( a.name, a.adapter ) < std::tie( b.name, b.adapter );
}

Residency::Residency( ResidencySettings settings, const platform::ObjectStore& store,
                      config::Replica& replica, RandomSource& random, metrics::Metrics& metrics,
                      const Clock& clock )
    : m_settings( std::move( settings ) ), m_store( store ), m_replica( replica ),
      m_random( random ), m_metrics( metrics ), m_clock( clock ) {}

Residency::~Residency() {
    stop();
}

void Residency::start() {
    m_thread = std::thread( [this] { run(); } );
}

void Residency::stop() {
    {
        const std::lock_guard lock( m_mutex );
        m_stopping = true;
        m_wakeup.notify_all();
        m_progress.notify_all();
    }
    if ( m_thread.joinable() ) {
        m_thread.join();
    }
}

bool Residency::stopping() const {
    const std::lock_guard lock( m_mutex );
    return m_stopping;
}

bool Residency::pause( Millis length ) {
    std::unique_lock lock( m_mutex );
    m_wakeup.wait_for( lock, length, [this] { return m_stopping || m_work; } );
    m_work = false;
    return !m_stopping;
}

void Residency::changed() {
    m_progress.notify_all();
    if ( m_listener ) {
        m_listener();
    }
}

void Residency::onChange( std::function<void()> listener ) {
    m_listener = std::move( listener );
}

void Residency::configChanged() {
    const std::lock_guard lock( m_mutex );
    m_work = true;
    m_wakeup.notify_all();
}

// --- taking over the upstream

void Residency::run() {
    const auto began = m_clock.now();
    while ( !stopping() && !findUpstream() ) {
        pause( retryPause );
    }
    adoptReport( true );
    while ( !stopping() && !takeEpoch() ) {
        // Without an epoch we serve what is resident and give no orders.
        adoptReport( true );
        pause( retryPause );
    }
    const Millis lateness{ m_upstream.checksOrders ? 0 : m_upstream.orderLatenessMs };
    while ( !stopping() && m_clock.now() - began < lateness ) {
        // An earlier process's orders may still land on an upstream that does not check tokens.
        adoptReport( true );
        pause( std::max( Millis{ 1 }, remaining( m_clock.now(), began + lateness ) ) );
    }
    while ( !stopping() && !( fenceOff() && adoptReport( true ) ) ) {
        pause( retryPause );
    }
    {
        const std::lock_guard lock( m_mutex );
        m_ordering = !m_stopping;
    }
    log::info( "ordering_begins", { { "epoch", static_cast<std::int64_t>( m_token.epoch ) } } );
    changed();
    work();
}

bool Residency::findUpstream() {
    const auto state = m_replica.state();
    const auto* found = config::findByName( state->upstreams, m_settings.upstream );
    if ( found == nullptr ) {
        return false;
    }
    const std::lock_guard lock( m_mutex );
    m_upstream = *found;
    return true;
}

bool Residency::takeEpoch() {
    const auto got =
        platform::attempt( [this] { return m_store.get( platform::epochKind, m_settings.vm ); } );
    const bool absent = !got.ok && got.error.failure == StoreFailure::notFound;
    if ( !got.ok && !absent ) {
        return false;
    }
    platform::Object next{ std::string( platform::epochKind ), m_settings.vm,
                           absent ? 0 : got.value.version, "" };
    const auto spec = nlohmann::json::parse( got.value.spec, nullptr, false );
    const auto epoch = spec.is_object() ? spec.value( "epoch", std::uint64_t{ 0 } ) + 1 : 1;
    // The nonce makes a write whose answer was lost indistinguishable from a rival's: then we
    // simply take the next epoch.
    next.spec = nlohmann::json{ { "epoch", epoch }, { "nonce", m_random.hex( 16 ) } }.dump();
    const auto wrote = platform::attempt(
        [&] { return absent ? m_store.create( next ) : m_store.update( next ); } );
    if ( !wrote.ok ) {
        return false;
    }
    const std::lock_guard lock( m_mutex );
    m_token = { epoch, 0 };
    return true;
}

bool Residency::fenceOff() {
    engine::Token token;
    {
        const std::lock_guard lock( m_mutex );
        if ( !m_upstream.checksOrders ) {
            return true;
        }
        token = { m_token.epoch, ++m_ledger.lastOrder };
    }
    return engine::sendFence( m_settings.endpoint, token ) == OrderOutcome::done;
}

//! Compares with the engine's own report; `asLedger` replaces the ledger by it.
bool Residency::adoptReport( bool asLedger ) {
    const auto report = engine::readStatus( m_settings.endpoint );
    if ( !report.ok ) {
        return false;
    }
    {
        const std::lock_guard lock( m_mutex );
        m_lastReport = m_clock.now();
        if ( asLedger ) {
            const auto order = m_ledger.lastOrder;
            const std::vector<std::uint64_t> capacity( m_upstream.accelerators, m_upstream.memory );
            m_ledger = ledger::adopt( capacity, report.items );
            m_ledger.lastOrder = order;
        } else {
            ledger::settle( m_ledger, report.items, m_ledger.lastOrder );
        }
    }
    changed();
    return true;
}

// --- the order thread

void Residency::work() {
    while ( !stopping() ) {
        if ( hasUnknown() ) {
            if ( !settleUnknown() ) {
                pause( retryPause );
            }
            continue;
        }
        if ( m_clock.now() - m_lastReport > m_settings.statusInterval && !adoptReport( false ) ) {
            pause( retryPause );
            continue;
        }
        if ( const auto order = chooseOrder() ) {
            execute( *order );
            continue;
        }
        pause( idlePause );
    }
}

bool Residency::hasUnknown() const {
    const std::lock_guard lock( m_mutex );
    return std::any_of( m_ledger.charges.begin(), m_ledger.charges.end(),
                        []( const auto& it ) { return it.state == ChargeState::unknown; } );
}

bool Residency::settleUnknown() {
    if ( m_upstream.checksOrders ) {
        return fenceOff() && adoptReport( false );
    }
    const auto safe = m_lastOrderSent + Millis( m_upstream.orderLatenessMs );
    if ( m_clock.now() < safe ) {
        pause( remaining( m_clock.now(), safe ) + Millis{ 1 } );
        return true;
    }
    return adoptReport( false );
}

void Residency::execute( const ledger::Order& order ) {
    engine::Token token;
    {
        const std::lock_guard lock( m_mutex );
        token = { m_token.epoch, order.number };
    }
    const bool load = order.action == ledger::OrderAction::load;
    m_metrics.count( "moves", load ? "load" : "unload" );
    changed();
    m_lastOrderSent = m_clock.now();
    const auto outcome = engine::sendOrder( m_settings.endpoint, token, order );
    log::info( "order", { { "action", load ? "load" : "unload" },
                          { "item", itemWord( order.footprint.item ) },
                          { "number", static_cast<std::int64_t>( order.number ) },
                          { "outcome", outcome == OrderOutcome::done      ? "done"
                                       : outcome == OrderOutcome::refused ? "refused"
                                                                          : "unknown" } } );
    {
        const std::lock_guard lock( m_mutex );
        switch ( outcome ) {
        case OrderOutcome::done:
            ledger::confirm( m_ledger, order.number );
            break;
        case OrderOutcome::refused:
            ledger::withdraw( m_ledger, order.number );
            break;
        case OrderOutcome::unknown:
            ledger::lose( m_ledger, order.number );
            break;
        }
    }
    changed();
    if ( outcome == OrderOutcome::refused ) {
        adoptReport( false );
        pause( retryPause );
    }
}

ledger::StepRules Residency::rules() const {
    ledger::StepRules out;
    out.minResidency = m_settings.minResidency;
    if ( !m_upstream.checksOrders ) {
        out.minResidency = std::max( out.minResidency, Millis( m_upstream.orderLatenessMs ) );
    }
    return out;
}

std::vector<ledger::Usage> Residency::usage() const {
    std::vector<ledger::Usage> out;
    for ( const auto& [item, use] : m_use ) {
        out.push_back( { item, use.running, 0, use.lastUsed } );
    }
    return out;
}

std::vector<ledger::Wanted> Residency::wanted( const config::State& state ) const {
    std::vector<ledger::Wanted> out;
    const auto add = [&out]( const ledger::Footprint& footprint, bool waiting ) {
        for ( auto& it : out ) {
            if ( it.footprint.item == footprint.item ) {
                it.waiting = it.waiting || waiting;
                return;
            }
        }
        out.push_back( { footprint, waiting } );
    };
    const auto addModel = [&]( const std::string& name, bool waiting ) {
        if ( const auto* model = config::findByName( state.models, name ) ) {
            add( modelFootprint( *model ), waiting );
        }
    };
    const auto addAdapter = [&]( const std::string& name, bool waiting ) {
        const auto* adapter = config::findByName( state.adapters, name );
        const auto* model =
            adapter == nullptr ? nullptr : config::findByName( state.models, adapter->model );
        if ( model != nullptr ) {
            add( modelFootprint( *model ), waiting );
            add( { adapterItem( *adapter, *model ), adapter->memory, 0 }, waiting );
        }
    };
    for ( const auto& [target, waiting] : m_waiting ) {
        if ( target.adapter.empty() ) {
            addModel( target.name, true );
        } else {
            addAdapter( target.adapter, true );
        }
    }
    for ( const auto& it : m_plan.items ) {
        if ( it.kind == "adapter" ) {
            addAdapter( it.name, false );
        } else {
            addModel( it.name, false );
        }
    }
    for ( const auto& it : m_ledger.charges ) {
        // A resident model or adapter moves on to a new version by itself.
        const auto& item = it.footprint.item;
        const auto& name = item.kind == ItemKind::model ? item.name : item.model;
        const auto* model = config::findByName( state.models, name );
        if ( model == nullptr || model->version == item.version ) {
            continue;
        }
        if ( item.kind == ItemKind::model ) {
            addModel( item.name, false );
        } else {
            addAdapter( item.name, false );
        }
    }
    return out;
}

std::optional<ledger::Order> Residency::dropDeleted( const config::State& state ) {
    for ( const auto& it : m_ledger.charges ) {
        const auto item = it.footprint.item;
        const bool exists = item.kind == ItemKind::model
                                ? config::findByName( state.models, item.name ) != nullptr
                                : config::findByName( state.adapters, item.name ) != nullptr;
        const auto use = m_use.find( item );
        const bool busy = use != m_use.end() && use->second.running > 0;
        const bool young = m_clock.now() - it.loadSent < rules().minResidency;
        if ( !exists && !busy && !young && it.state == ChargeState::resident ) {
            if ( auto order = ledger::beginUnload( m_ledger, item ) ) {
                return order;
            }
        }
    }
    return std::nullopt;
}

std::optional<ledger::Order> Residency::chooseOrder() {
    const auto state = m_replica.state();
    const std::lock_guard lock( m_mutex );
    if ( auto order = dropDeleted( *state ) ) {
        return order;
    }
    auto order = ledger::nextStep( m_ledger, wanted( *state ), usage(), rules(), m_clock.now() );
    if ( !order ) {
        markBlocked( *state );
    }
    return order;
}

//! Notes which waiting targets neither have room nor anything that could make room.
void Residency::markBlocked( const config::State& ) {
    for ( auto& [target, waiting] : m_waiting ) {
        if ( !findPin( target ) && !waiting.blocked ) {
            waiting.blocked = true;
            waiting.blockedSince = m_clock.now();
        }
    }
    m_progress.notify_all();
}

// --- requests

std::optional<Pin> Residency::findPin( const peer::Target& target ) const {
    const auto isResident = [this]( const Item& item ) {
        const auto* charge = ledger::find( m_ledger, item );
        return charge != nullptr && charge->state == ChargeState::resident;
    };
    const auto state = m_replica.state();
    const auto* model = config::findByName( state->models, target.name );
    std::vector<Item> candidates;
    if ( model != nullptr ) {
        candidates.push_back( modelItem( *model ) );
    }
    for ( const auto& it : m_ledger.charges ) {
        if ( it.footprint.item.kind == ItemKind::model && it.footprint.item.name == target.name ) {
            candidates.push_back( it.footprint.item );
        }
    }
    for ( const auto& it : candidates ) {
        if ( !isResident( it ) ) {
            continue;
        }
        if ( target.adapter.empty() ) {
            return Pin{ it, std::nullopt };
        }
        const Item adapter{ ItemKind::adapter, target.adapter, it.version, it.name };
        if ( isResident( adapter ) ) {
            return Pin{ it, adapter };
        }
    }
    return std::nullopt;
}

bool Residency::resident( const peer::Target& target ) const {
    const std::lock_guard lock( m_mutex );
    return findPin( target ).has_value();
}

ReadyStatus Residency::pin( const peer::Target& target, MonoTime deadline,
                            const std::function<bool()>& abandoned, Pin& out ) {
    std::unique_lock lock( m_mutex );
    auto found = findPin( target );
    if ( !found ) {
        if ( !m_ordering ) {
            return ReadyStatus::impossible;
        }
        ++m_waiting[target].count;
        m_work = true;
        m_wakeup.notify_all();
    }
    const bool waited = !found;
    bool blocked = false;
    while ( !found && !blocked && !m_stopping && !abandoned() && m_clock.now() < deadline ) {
        m_progress.wait_for( lock, lookInterval );
        found = findPin( target );
        const auto& waiting = m_waiting[target];
        blocked =
            waiting.blocked && m_clock.now() - waiting.blockedSince > m_settings.blockedPatience;
    }
    if ( waited && --m_waiting[target].count == 0 ) {
        m_waiting.erase( target );
    }
    if ( !found ) {
        return blocked ? ReadyStatus::impossible : ReadyStatus::timeout;
    }
    const auto use = [this]( const Item& item ) {
        auto& it = m_use[item];
        ++it.running;
        it.lastUsed = m_clock.now();
    };
    use( found->model );
    if ( found->adapter ) {
        use( *found->adapter );
    }
    out = *found;
    return ReadyStatus::ready;
}

void Residency::unpin( const Pin& pin ) {
    const std::lock_guard lock( m_mutex );
    const auto drop = [this]( const Item& item ) {
        auto& it = m_use[item];
        --it.running;
        it.lastUsed = m_clock.now();
    };
    drop( pin.model );
    if ( pin.adapter ) {
        drop( *pin.adapter );
    }
    m_work = m_work || !m_waiting.empty();
    m_wakeup.notify_all();
}

void Residency::setPlan( const peer::PlanTargets& plan ) {
    const std::lock_guard lock( m_mutex );
    const bool newer = plan.epoch > m_plan.epoch ||
                       ( plan.epoch == m_plan.epoch && plan.sequence > m_plan.sequence );
    if ( !newer ) {
        m_metrics.count( "stale_plans_dropped" );
        return;
    }
    m_plan = plan;
    m_work = true;
    m_wakeup.notify_all();
}

// --- reports

std::vector<peer::ResidentItem> Residency::items() const {
    const std::lock_guard lock( m_mutex );
    std::vector<peer::ResidentItem> out;
    for ( const auto& it : m_ledger.charges ) {
        const auto& item = it.footprint.item;
        const bool coming = it.state == ChargeState::loading || it.state == ChargeState::unknown;
        if ( it.state == ChargeState::resident || coming ) {
            out.push_back( { item.kind == ItemKind::model ? "model" : "adapter", item.name,
                             item.version, it.state == ChargeState::resident } );
        }
    }
    return out;
}

std::uint64_t Residency::freeBytes() const {
    const std::lock_guard lock( m_mutex );
    return ledger::largestRoom( m_ledger );
}

std::uint32_t Residency::accelerators() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::uint32_t>( m_ledger.capacity.size() );
}

bool Residency::mayOrder() const {
    const std::lock_guard lock( m_mutex );
    return m_ordering;
}

} // namespace coursehead::agent
