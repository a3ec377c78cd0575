// SPDX-License-Identifier: BSL-1.0
#include "agent/reporter.hpp"

#include "coursehead/kernel/log.hpp"

#include <utility>

namespace coursehead::agent {

Reporter::Reporter( ReporterSettings settings, config::Replica& replica, StatusMaker status,
                    PlanTaker plans, const Clock& clock )
    : m_settings( settings ), m_replica( replica ), m_status( std::move( status ) ),
      m_plans( std::move( plans ) ), m_clock( clock ) {}

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
        m_readable = true;
        m_wakeup.notify_all();
    } );
    const std::lock_guard lock( m_mutex );
    m_streams.push_back( std::move( stream ) );
    m_readable = true;
    m_urgent = true;
    m_fullWanted = true;
    m_wakeup.notify_all();
}

void Reporter::changed( bool urgent ) {
    const std::lock_guard lock( m_mutex );
    m_dirty = true;
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
            const auto next = m_lastReport + ( m_dirty ? m_settings.least : m_settings.drift );
            m_wakeup.wait_until( lock, next, [this, next] {
                return m_stopping || m_readable || m_urgent || ( m_dirty && m_clock.now() >= next );
            } );
            if( m_stopping ) {
                return;
            }
            const auto wait = m_dirty ? m_settings.least : m_settings.drift;
            due = m_urgent || m_clock.now() >= m_lastReport + wait;
            m_readable = false;
            if( due ) {
                m_dirty = false;
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
            take( *it, got.frame );
        }
    }
}

void Reporter::take( peer::Stream& stream, const std::string& frame ) {
    const auto decoded = peer::decode( frame );
    if( !decoded.ok ) {
        log::warn( "control_message_malformed", { { "detail", decoded.error.detail } } );
        stream.cancel();
        return;
    }
    if( const auto* news = std::get_if<peer::ConfigNews>( &decoded.message ) ) {
        if( m_replica.offer( *news ) ) {
            log::info( "config_adopted",
                       { { "revision", static_cast<std::int64_t>( news->revision ) },
                         { "source", "peer" } } );
        }
    } else if( const auto* ask = std::get_if<peer::ConfigAsk>( &decoded.message ) ) {
        if( auto answer = m_replica.newsFor( ask->revision ) ) {
            stream.trySend( encode( std::move( *answer ) ) );
        }
    } else if( const auto* plan = std::get_if<peer::PlanTargets>( &decoded.message ) ) {
        m_plans( *plan );
    }
}

//! True when the load has moved enough, or has been different for long enough.
bool Reporter::worthReporting( const peer::AgentStatus& status, MonoTime now ) const {
    const auto load = status.running + status.queued;
    const auto moved = load > m_lastLoad ? load - m_lastLoad : m_lastLoad - load;
    const bool drifted = ( moved > 0 || !m_demand.empty() ) && now - m_lastSent >= m_settings.drift;
    return moved >= m_settings.loadStep || drifted || status.revision != m_lastRevision;
}

//! A full report when its shape has changed or is due, the load alone when that is worth it, empty
//! otherwise.
std::string Reporter::reportBytes() {
    auto status = m_status();
    auto shape = status;
    shape.running = 0;
    shape.queued = 0;
    shape.serviceMs = 0;
    shape.revision = 0;
    shape.demand.clear();
    auto shapeBytes = encode( std::move( shape ) );
    const auto now = m_clock.now();
    bool full = false;
    {
        const std::lock_guard lock( m_mutex );
        full = m_fullWanted || shapeBytes != m_lastShape || now - m_lastFull >= m_settings.most;
        m_fullWanted = false;
    }
    m_demand.insert( m_demand.end(), status.demand.begin(), status.demand.end() );
    if( !full && !worthReporting( status, now ) ) {
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
    m_lastShape = std::move( shapeBytes );
    m_lastFull = now;
    return encode( std::move( status ) );
}

void Reporter::report() {
    const auto bytes = reportBytes();
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
