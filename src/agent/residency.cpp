// SPDX-License-Identifier: BSL-1.0
#include "agent/residency.hpp"

#include "agent/wanted.hpp"
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
constexpr Millis idlePause{ 200 };
constexpr Millis abandonCheckInterval{ 200 };

std::string_view outcomeName( OrderOutcome outcome ) {
    switch( outcome ) {
    case OrderOutcome::done:
        return "done";
    case OrderOutcome::refused:
        return "refused";
    case OrderOutcome::unknown:
        return "unknown";
    }
    return "unknown";
}

ledger::OrderResult resultOf( OrderOutcome outcome ) {
    switch( outcome ) {
    case OrderOutcome::done:
        return ledger::OrderResult::done;
    case OrderOutcome::refused:
        return ledger::OrderResult::refused;
    case OrderOutcome::unknown:
        return ledger::OrderResult::unknown;
    }
    return ledger::OrderResult::unknown;
}

std::string itemLabel( const Item& item ) {
    return ( item.kind == ItemKind::model ? "model/" : "adapter/" ) + item.name + "@" +
           item.version;
}

//! The last epoch that was taken; 0 if there is none, or if another system has written something
//! else in its place. The engine refuses tokens of a lower epoch than it has seen.
std::uint64_t epochOf( const platform::Object& object ) {
    const auto spec = nlohmann::json::parse( object.spec, nullptr, false );
    const auto epoch =
        spec.is_object() ? spec.value( "epoch", nlohmann::json( 0U ) ) : nlohmann::json( 0U );
    if( !epoch.is_number_unsigned() ) {
        log::warn( "epoch_unreadable", { { "vm", object.name } } );
        return 0;
    }
    return epoch.get<std::uint64_t>();
}

} // namespace

bool Residency::ItemLess::operator()( const Item& a, const Item& b ) const {
    return std::tie( a.kind, a.name, a.version ) < std::tie( b.kind, b.name, b.version );
}

bool Residency::TargetLess::operator()( const peer::Target& a, const peer::Target& b ) const {
    return std::tie( a.name, a.adapter ) < std::tie( b.name, b.adapter );
}

Residency::Residency( ResidencySettings settings, const platform::ObjectStore& store,
                      config::Replica& replica, metrics::Metrics& metrics, const Clock& clock )
    : m_settings( std::move( settings ) ), m_store( store ), m_replica( replica ),
      m_metrics( metrics ), m_clock( clock ), m_startedAt( clock.now() ) {}

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
    if( m_thread.joinable() ) {
        m_thread.join();
    }
}

bool Residency::stopping() const {
    const std::lock_guard lock( m_mutex );
    return m_stopping;
}

bool Residency::pause( Millis length ) {
    std::unique_lock lock( m_mutex );
    m_wakeup.wait_for( lock, length, [this] { return m_stopping || m_workPending; } );
    m_workPending = false;
    return !m_stopping;
}

void Residency::notifyChange() {
    m_progress.notify_all();
    if( m_listener ) {
        m_listener();
    }
}

void Residency::onChange( std::function<void()> listener ) {
    m_listener = std::move( listener );
}

void Residency::configChanged() {
    const std::lock_guard lock( m_mutex );
    m_workPending = true;
    m_wakeup.notify_all();
}

// --- the order thread

void Residency::run() {
    while( !stopping() && !findUpstream() ) {
        pause( retryPause );
    }
    while( !stopping() ) {
        perform( nextInstruction() );
    }
}

bool Residency::findUpstream() {
    const auto state = m_replica.state();
    const auto* found = config::findByName( state->upstreams, m_settings.upstream );
    if( found == nullptr ) {
        return false;
    }
    const std::lock_guard lock( m_mutex );
    m_protocol.capacity.assign( found->accelerators, found->memory );
    m_protocol.checksOrders = found->checksOrders;
    m_protocol.lateness = Millis( found->checksOrders ? 0 : found->orderLatenessMs );
    m_protocol.reportInterval = m_settings.statusInterval;
    m_protocol.startedAt = m_startedAt;
    return true;
}

ledger::Instruction Residency::nextInstruction() {
    const auto state = m_replica.state();
    const std::lock_guard lock( m_mutex );
    ledger::StepRules rules;
    rules.minResidency = m_settings.minResidency;
    rules.deleted = deleted( *state );
    const auto wantedNow = wanted( *state );
    auto out = ledger::nextInstruction( m_protocol, wantedNow, usage(), rules, m_clock.now() );
    if( out.kind == ledger::InstructionKind::idle ) {
        chooseRetiring( wantedNow, rules );
        markBlocked();
    }
    return out;
}

void Residency::perform( const ledger::Instruction& instruction ) {
    switch( instruction.kind ) {
    case ledger::InstructionKind::takeEpoch:
        // Without an epoch the agent serves the resident items and sends no orders.
        readReport();
        if( !takeEpoch() ) {
            pause( retryPause );
        }
        return;
    case ledger::InstructionKind::fence:
        if( !fence( instruction.number ) ) {
            readReport();
            pause( retryPause );
        }
        return;
    case ledger::InstructionKind::readReport:
        if( !readReport() ) {
            pause( retryPause );
        }
        return;
    case ledger::InstructionKind::wait:
        readReport();
        pause( instruction.wait );
        return;
    case ledger::InstructionKind::order:
        execute( instruction.order );
        return;
    case ledger::InstructionKind::idle:
        pause( idlePause );
        return;
    }
}

bool Residency::takeEpoch() {
    const auto got =
        platform::attempt( [this] { return m_store.get( platform::epochKind, m_settings.vm ); } );
    const bool absent = !got.ok && got.error.failure == StoreFailure::notFound;
    if( !got.ok && !absent ) {
        return false;
    }
    platform::Object next{ std::string( platform::epochKind ), m_settings.vm,
                           absent ? 0 : got.value.version, "" };
    const auto epoch = epochOf( got.value ) + 1;
    // If the answer to this write is lost, the next try takes the epoch after it.
    next.spec = nlohmann::json{ { "epoch", epoch } }.dump();
    const auto wrote = platform::attempt(
        [&] { return absent ? m_store.create( next ) : m_store.update( next ); } );
    if( !wrote.ok ) {
        return false;
    }
    log::info( "epoch_taken", { { "epoch", static_cast<std::int64_t>( epoch ) } } );
    const std::lock_guard lock( m_mutex );
    ledger::startEpoch( m_protocol, epoch );
    return true;
}

bool Residency::fence( ledger::OrderNumber number ) {
    engine::Token token;
    {
        const std::lock_guard lock( m_mutex );
        token = { m_protocol.epoch, number };
    }
    const auto outcome = engine::sendFence( m_settings.endpoint, token );
    if( outcome == OrderOutcome::refused ) {
        // Another agent process has used a higher fencing token: take a higher epoch.
        const std::lock_guard lock( m_mutex );
        m_protocol.epoch = 0;
    }
    if( outcome != OrderOutcome::done ) {
        return false;
    }
    const std::lock_guard lock( m_mutex );
    ledger::fenceAcknowledged( m_protocol );
    return true;
}

bool Residency::readReport() {
    const auto report = engine::readStatus( m_settings.endpoint );
    if( !report.ok ) {
        return false;
    }
    {
        const std::lock_guard lock( m_mutex );
        ledger::processReport( m_protocol, report.items, m_clock.now() );
    }
    notifyChange();
    return true;
}

void Residency::execute( const ledger::Order& order ) {
    engine::Token token;
    {
        const std::lock_guard lock( m_mutex );
        token = { m_protocol.epoch, order.number };
    }
    const bool load = order.action == ledger::OrderAction::load;
    m_metrics.count( "moves", load ? "load" : "unload" );
    notifyChange();
    const auto sentAt = m_clock.now();
    const auto outcome = engine::sendOrder( m_settings.endpoint, token, order );
    log::info( "order", { { "action", load ? "load" : "unload" },
                          { "item", itemLabel( order.footprint.item ) },
                          { "number", static_cast<std::int64_t>( order.number ) },
                          { "outcome", outcomeName( outcome ) } } );
    {
        const std::lock_guard lock( m_mutex );
        ledger::orderEnded( m_protocol, order.number, resultOf( outcome ), sentAt );
    }
    notifyChange();
    if( outcome == OrderOutcome::refused ) {
        pause( retryPause );
    }
}

std::vector<ledger::Usage> Residency::usage() const {
    std::vector<ledger::Usage> out;
    for( const auto& [item, use] : m_itemUse ) {
        out.push_back( { item, use.running, 0, use.lastUsed } );
    }
    return out;
}

std::vector<ledger::Wanted> Residency::wanted( const config::State& state ) const {
    std::vector<peer::Target> waiting;
    for( const auto& it : m_waiting ) {
        waiting.push_back( it.first );
    }
    return wantedItems( state, waiting, m_plan, m_protocol.ledger );
}

//! Charged items that no longer exist in the configuration.
std::vector<Item> Residency::deleted( const config::State& state ) const {
    std::vector<Item> out;
    for( const auto& it : m_protocol.ledger.charges ) {
        const auto& item = it.footprint.item;
        const bool exists = item.kind == ItemKind::model
                                ? config::findByName( state.models, item.name ) != nullptr
                                : config::findByName( state.adapters, item.name ) != nullptr;
        if( !exists ) {
            out.push_back( item );
        }
    }
    return out;
}

//! Chooses the busy items to unload. Only a plan tells whether an item is unwanted or has copies on
//! other agents, so no item is retired before the first plan arrives.
void Residency::chooseRetiring( std::span<const ledger::Wanted> wanted,
                                const ledger::StepRules& rules ) {
    m_retiring.clear();
    if( m_plan.epoch > 0 ) {
        m_retiring = ledger::retiring( m_protocol.ledger, wanted, usage(), rules, m_clock.now() );
    }
}

bool Residency::isRetiring( const Item& item ) const {
    return std::find( m_retiring.begin(), m_retiring.end(), item ) != m_retiring.end();
}

//! Marks the waiting targets that lack free memory while no item is being retired to free some.
void Residency::markBlocked() {
    for( auto& [target, waiting] : m_waiting ) {
        if( !findPin( target ) && !waiting.blocked && m_retiring.empty() ) {
            waiting.blocked = true;
            waiting.blockedSince = m_clock.now();
        }
    }
    m_progress.notify_all();
}

// --- requests

std::optional<Pin> Residency::findPin( const peer::Target& target ) const {
    const auto isResident = [this]( const Item& item ) {
        const auto* charge = ledger::find( m_protocol.ledger, item );
        return charge != nullptr && charge->state == ChargeState::resident && !isRetiring( item );
    };
    const auto state = m_replica.state();
    const auto* model = config::findByName( state->models, target.name );
    std::vector<Item> candidates;
    if( model != nullptr ) {
        candidates.push_back( modelItem( *model ) );
    }
    for( const auto& it : m_protocol.ledger.charges ) {
        if( it.footprint.item.kind == ItemKind::model && it.footprint.item.name == target.name ) {
            candidates.push_back( it.footprint.item );
        }
    }
    for( const auto& it : candidates ) {
        if( !isResident( it ) ) {
            continue;
        }
        if( target.adapter.empty() ) {
            return Pin{ it, std::nullopt };
        }
        const Item adapter{ ItemKind::adapter, target.adapter, it.version, it.name };
        if( isResident( adapter ) ) {
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
    if( !found ) {
        if( !ledger::mayOrder( m_protocol ) ) {
            return ReadyStatus::impossible;
        }
        ++m_waiting[target].count;
        m_workPending = true;
        m_wakeup.notify_all();
    }
    const bool waited = !found;
    bool blocked = false;
    while( !found && !blocked && !m_stopping && !abandoned() && m_clock.now() < deadline ) {
        m_progress.wait_for( lock, abandonCheckInterval );
        found = findPin( target );
        const auto& waiting = m_waiting[target];
        blocked =
            waiting.blocked && m_clock.now() - waiting.blockedSince > m_settings.blockedTimeout;
    }
    if( waited && --m_waiting[target].count == 0 ) {
        m_waiting.erase( target );
    }
    if( !found ) {
        return blocked ? ReadyStatus::impossible : ReadyStatus::timeout;
    }
    const auto addUse = [this]( const Item& item ) {
        auto& it = m_itemUse[item];
        ++it.running;
        it.lastUsed = m_clock.now();
    };
    addUse( found->model );
    if( found->adapter ) {
        addUse( *found->adapter );
    }
    out = *found;
    return ReadyStatus::ready;
}

void Residency::unpin( const Pin& pin ) {
    const std::lock_guard lock( m_mutex );
    const auto removeUse = [this]( const Item& item ) {
        auto& it = m_itemUse[item];
        --it.running;
        it.lastUsed = m_clock.now();
    };
    removeUse( pin.model );
    if( pin.adapter ) {
        removeUse( *pin.adapter );
    }
    m_workPending = m_workPending || !m_waiting.empty();
    m_wakeup.notify_all();
}

void Residency::setPlan( const peer::PlanTargets& plan ) {
    const std::lock_guard lock( m_mutex );
    const bool newer = plan.epoch > m_plan.epoch ||
                       ( plan.epoch == m_plan.epoch && plan.sequence > m_plan.sequence );
    if( !newer ) {
        m_metrics.count( "stale_plans_dropped" );
        return;
    }
    m_plan = plan;
    m_workPending = true;
    m_wakeup.notify_all();
}

// --- reports

std::vector<peer::ResidentItem> Residency::items() const {
    const std::lock_guard lock( m_mutex );
    std::vector<peer::ResidentItem> out;
    for( const auto& it : m_protocol.ledger.charges ) {
        const auto& item = it.footprint.item;
        const bool loadingNow =
            it.state == ChargeState::loading || it.state == ChargeState::unknown;
        if( it.state == ChargeState::resident || loadingNow ) {
            out.push_back( { item.kind == ItemKind::model ? "model" : "adapter", item.name,
                             item.version,
                             it.state == ChargeState::resident && !isRetiring( item ) } );
        }
    }
    return out;
}

std::uint64_t Residency::freeBytes() const {
    const std::lock_guard lock( m_mutex );
    return ledger::largestFreeBytes( m_protocol.ledger );
}

std::uint32_t Residency::accelerators() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::uint32_t>( m_protocol.ledger.capacity.size() );
}

bool Residency::mayOrder() const {
    const std::lock_guard lock( m_mutex );
    return ledger::mayOrder( m_protocol );
}

} // namespace coursehead::agent
