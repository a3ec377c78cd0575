// SPDX-License-Identifier: BSL-1.0
#include "entry/leader.hpp"

#include "coursehead/claims/table.hpp"
#include "coursehead/kernel/log.hpp"
#include "coursehead/platform/attempt.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace coursehead::planner {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( LeaseRecord, holder, epoch, renewals )
} // namespace coursehead::planner

namespace coursehead::entry {

using planner::LeaseAction;
using platform::StoreFailure;

namespace {
//! Number of agents that may own claim slots; more owners would only make the assignment larger.
constexpr std::size_t maxOwners = 32;
constexpr Millis commitTimeout{ 2000 };
constexpr std::size_t writeIdDigits = 32;

//! Reads a lease; without a holder if another system has written something else in its place.
planner::LeaseRecord recordOf( const platform::Object& lease ) {
    try {
        const auto spec = nlohmann::json::parse( lease.spec, nullptr, false );
        return spec.is_object() ? spec.get<planner::LeaseRecord>() : planner::LeaseRecord{};
    } catch( const nlohmann::json::exception& ex ) {
        log::warn( "lease_unreadable", { { "lease", lease.name }, { "detail", ex.what() } } );
        return {};
    }
}
} // namespace

Leader::Leader( LeaderSettings settings, const platform::ObjectStore& store, Directory& directory,
                config::Replica& replica, RandomSource& random, const Clock& clock )
    : m_settings( std::move( settings ) ), m_store( store ), m_directory( directory ),
      m_replica( replica ), m_random( random ), m_clock( clock ),
      m_leaseName( "planner-" + m_settings.location.region ),
      m_plans( m_settings.location, directory, replica, clock ), m_plannedAt( clock.now() ) {
    m_view.self = m_settings.location.vm + "." + random.hex( 8 );
    m_view.length = m_settings.leaseLength;
}

Leader::~Leader() {
    stop();
}

void Leader::start() {
    m_thread = std::thread( [this] { run(); } );
}

void Leader::stop() {
    {
        const std::lock_guard lock( m_mutex );
        m_stopping = true;
        m_wakeup.notify_all();
    }
    if( m_thread.joinable() ) {
        m_thread.join();
    }
}

bool Leader::leading() const {
    const std::lock_guard lock( m_mutex );
    return planner::mayAct( m_view, m_clock.now() );
}

std::uint64_t Leader::epoch() const {
    const std::lock_guard lock( m_mutex );
    return m_view.record.epoch;
}

void Leader::run() {
    for( ;; ) {
        keepLease();
        if( leading() && m_clock.now() - m_leaseWonAt >= m_settings.settlingTime ) {
            assignSlots();
        }
        if( m_clock.now() - m_plannedAt >= m_settings.planInterval ) {
            m_plannedAt = m_clock.now();
            m_plans.observe();
            if( leading() ) {
                m_plans.planAndSend( epoch() );
            }
        }
        std::unique_lock lock( m_mutex );
        m_wakeup.wait_for( lock, m_settings.interval, [this] { return m_stopping; } );
        if( m_stopping ) {
            return;
        }
    }
}

void Leader::keepLease() {
    readLease();
    LeaseAction action = LeaseAction::wait;
    {
        const std::lock_guard lock( m_mutex );
        action = planner::nextAction( m_view, m_clock.now() );
    }
    if( action != LeaseAction::wait ) {
        writeLease( action );
    }
}

void Leader::readLease() {
    const auto got =
        platform::attempt( [this] { return m_store.get( platform::leaseKind, m_leaseName ); } );
    const bool absent = !got.ok && got.error.failure == StoreFailure::notFound;
    if( !got.ok && !absent ) {
        return;
    }
    const auto record = recordOf( got.value );
    const std::lock_guard lock( m_mutex );
    planner::observe( m_view, !absent, record, got.value.version, m_clock.now() );
}

void Leader::writeLease( LeaseAction action ) {
    platform::Object object{ std::string( platform::leaseKind ), m_leaseName, 0, "" };
    planner::LeaseRecord record;
    const auto sentAt = m_clock.now();
    {
        const std::lock_guard lock( m_mutex );
        record = planner::nextRecord( m_view, action );
        object.version = action == LeaseAction::create ? 0 : m_view.version;
    }
    object.spec = nlohmann::json( record ).dump();
    const auto wrote = platform::attempt( [&] {
        return action == LeaseAction::create ? m_store.create( object ) : m_store.update( object );
    } );
    if( !wrote.ok ) {
        return;
    }
    const bool won = action != LeaseAction::renew;
    if( won ) {
        m_leaseWonAt = m_clock.now();
        log::info( "lease_won", { { "lease", m_leaseName },
                                  { "epoch", static_cast<std::int64_t>( record.epoch ) } } );
    }
    const std::lock_guard lock( m_mutex );
    planner::wrote( m_view, record, wrote.value.version, sentAt );
}

void Leader::assignSlots() {
    claims::VmList vmList;
    vmList.version = m_directory.listVersion();
    for( const auto& it : m_directory.agents() ) {
        vmList.present.push_back( it.vm.name );
        const bool leaving = it.status.draining || it.vm.state == platform::VmState::leaving;
        if( it.up && it.reported && !leaving && vmList.members.size() < maxOwners ) {
            vmList.members.push_back( it.vm.name );
        }
    }
    const auto state = m_replica.state();
    if( vmList.version == 0 || state->revision == 0 ) {
        return;
    }
    const auto movedSlots = claims::reassign( *state, vmList );
    if( movedSlots.empty() || !leading() ) {
        return;
    }
    config::ChangeSet set{ m_random.hex( writeIdDigits ), "planner", {} };
    for( const auto& it : movedSlots ) {
        set.changes.push_back( { config::Action::set,
                                 config::Kind::slot,
                                 std::to_string( it.slot ),
                                 { { "vm", it.vm }, { "seen", std::to_string( it.seen ) } } } );
    }
    const config::CommitContext context{ m_store, m_replica, m_clock };
    const auto commitResult =
        config::commit( context, set, state->revision, m_clock.now() + commitTimeout );
    log::info( "slots_assigned",
               { { "slots", static_cast<std::int64_t>( movedSlots.size() ) },
                 { "revision", static_cast<std::int64_t>( commitResult.revision ) },
                 { "committed",
                   commitResult.status == config::CommitStatus::committed ? "true" : "false" } } );
}

} // namespace coursehead::entry
