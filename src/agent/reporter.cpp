// SPDX-License-Identifier: BSL-1.0
#include "agent/reporter.hpp"

#include "coursehead/kernel/log.hpp"

#include <utility>

namespace coursehead::agent {

Reporter::Reporter( ReporterSettings settings, config::Replica& replica, StatusProvider status,
                    PlanHandler plans, const Clock& clock )
    : m_settings( settings ), m_replica( replica ), m_makeStatus( std::move( status ) ),
      m_handlePlan( std::move( plans ) ), m_clock( clock ) {}

Reporter::~Reporter() {
    stop();
}

void Reporter::start() {
    m_thread = std::thread( [this] { run(); } );
}

void Reporter::stop() {
    {
        const std::lock_guard lock( m_mutex );
        m_stopping = true;
        m_wakeup.notify_all();
    }
    if( m_thread.joinable() ) {
        m_thread.join();
    }
    const std::lock_guard lock( m_mutex );
    m_streams.clear();
}

void Reporter::add( std::shared_ptr<peer::Stream> stream ) {
    stream->listen( [this] {
        const std::lock_guard lock( m_mutex );
        m_messagePending = true;
        m_wakeup.notify_all();
    } );
    const std::lock_guard lock( m_mutex );
    m_streams.push_back( std::move( stream ) );
    m_messagePending = true;
    m_urgent = true;
    m_fullReportPending = true;
    m_wakeup.notify_all();
}

void Reporter::scheduleReport( bool urgent ) {
    const std::lock_guard lock( m_mutex );
    m_loadChanged = true;
    m_urgent = m_urgent || urgent;
    m_wakeup.notify_all();
}

std::size_t Reporter::streams() const {
    const std::lock_guard lock( m_mutex );
    return m_streams.size();
}

void Reporter::run() {
    for( ;; ) {
        bool due = false;
        {
            std::unique_lock lock( m_mutex );
            const auto next = m_lastReport + ( m_loadChanged ? m_settings.minReportInterval
                                                             : m_settings.smallChangeInterval );
            m_wakeup.wait_until( lock, next, [this, next] {
                return m_stopping || m_messagePending || m_urgent ||
                       ( m_loadChanged && m_clock.now() >= next );
            } );
            if( m_stopping ) {
                return;
            }
            const auto wait =
                m_loadChanged ? m_settings.minReportInterval : m_settings.smallChangeInterval;
            due = m_urgent || m_clock.now() >= m_lastReport + wait;
            m_messagePending = false;
            if( due ) {
                m_loadChanged = false;
                m_urgent = false;
            }
        }
        readAll();
        if( due ) {
            report();
        }
    }
}

void Reporter::readAll() {
    std::vector<std::shared_ptr<peer::Stream>> streams;
    {
        const std::lock_guard lock( m_mutex );
        std::erase_if( m_streams, []( const auto& it ) { return it->ended(); } );
        streams = m_streams;
    }
    for( const auto& it : streams ) {
        for( ;; ) {
            const auto got = it->receive( MonoTime{} );
            if( got.status != peer::ReceiveStatus::frame ) {
                break;
            }
            handleMessage( *it, got.frame );
        }
    }
}

void Reporter::handleMessage( peer::Stream& stream, const std::string& frame ) {
    const auto decoded = peer::decode( frame );
    if( !decoded.ok ) {
        log::warn( "control_message_malformed", { { "detail", decoded.error.detail } } );
        stream.cancel();
        return;
    }
    if( const auto* update = std::get_if<peer::ConfigUpdate>( &decoded.message ) ) {
        if( m_replica.offer( *update ) ) {
            log::info( "config_adopted",
                       { { "revision", static_cast<std::int64_t>( update->revision ) },
                         { "source", "peer" } } );
        }
    } else if( const auto* request = std::get_if<peer::ConfigRequest>( &decoded.message ) ) {
        if( auto answer = m_replica.updateFor( request->revision ) ) {
            stream.trySend( encode( std::move( *answer ) ) );
        }
    } else if( const auto* plan = std::get_if<peer::PlanTargets>( &decoded.message ) ) {
        m_handlePlan( *plan );
    }
}

//! True when the load has changed by `loadStep`, when a smaller change or demand has been pending
//! for `smallChangeInterval`, or when the configuration revision has changed.
bool Reporter::isLoadReportDue( const peer::AgentStatus& status, MonoTime now ) const {
    const auto load = status.running + status.queued;
    const auto loadChange = load > m_lastLoad ? load - m_lastLoad : m_lastLoad - load;
    const bool smallChangeDue = ( loadChange > 0 || !m_demand.empty() ) &&
                                now - m_lastSent >= m_settings.smallChangeInterval;
    return loadChange >= m_settings.loadStep || smallChangeDue || status.revision != m_lastRevision;
}

//! Encodes a full report when one is due or when anything except the load has changed, or else a
//! load report when one is due. Returns an empty string when neither is due.
std::string Reporter::encodeNextReport() {
    auto status = m_makeStatus();
    auto statusWithoutLoad = status;
    statusWithoutLoad.running = 0;
    statusWithoutLoad.queued = 0;
    statusWithoutLoad.serviceMs = 0;
    statusWithoutLoad.revision = 0;
    statusWithoutLoad.demand.clear();
    auto encodedWithoutLoad = encode( std::move( statusWithoutLoad ) );
    const auto now = m_clock.now();
    bool full = false;
    {
        const std::lock_guard lock( m_mutex );
        full = m_fullReportPending || encodedWithoutLoad != m_lastStatusWithoutLoad ||
               now - m_lastFull >= m_settings.fullReportInterval;
        m_fullReportPending = false;
    }
    m_demand.insert( m_demand.end(), status.demand.begin(), status.demand.end() );
    if( !full && !isLoadReportDue( status, now ) ) {
        return {};
    }
    status.sequence = ++m_sequence;
    status.demand = std::exchange( m_demand, {} );
    m_lastLoad = status.running + status.queued;
    m_lastRevision = status.revision;
    m_lastSent = now;
    if( !full ) {
        return encode( peer::LoadReport{ status.sequence, status.running, status.queued,
                                         status.revision, status.demand } );
    }
    m_lastStatusWithoutLoad = std::move( encodedWithoutLoad );
    m_lastFull = now;
    return encode( std::move( status ) );
}

void Reporter::report() {
    const auto bytes = encodeNextReport();
    std::vector<std::shared_ptr<peer::Stream>> streams;
    {
        const std::lock_guard lock( m_mutex );
        m_lastReport = m_clock.now();
        streams = m_streams;
    }
    if( bytes.empty() ) {
        return;
    }
    for( const auto& it : streams ) {
        it->trySend( bytes );
    }
}

} // namespace coursehead::agent
