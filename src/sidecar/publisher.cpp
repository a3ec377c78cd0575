// SPDX-License-Identifier: BSL-1.0
#include "sidecar/publisher.hpp"

#include "sidecar/report_news.hpp"

#include <algorithm>

namespace coursehead::sidecar {

namespace {

//! Longest time between reports; they also show gateways that the sidecar is running.
constexpr Millis reportEvery{ 450 };
//! Shortest time between reports while few gateways are connected.
constexpr Millis leastPause{ 150 };
//! The time between reports grows by `leastPause` for every so many gateways.
constexpr int gatewaysPerPause = 8;

} // namespace

void Publisher::setReachable( bool reachable ) {
    m_reachable = reachable;
    m_changed = true;
}

//! Shortest time between reports. It grows with the number of gateways, so that the total rate of
//! messages to them stays about the same.
Millis Publisher::pause() const {
    const auto rounds = 1 + static_cast<int>( m_parts.peers.size() ) / gatewaysPerPause;
    return std::min( leastPause * rounds, reportEvery );
}

gateway::EngineLoad Publisher::load() const {
    const auto now = MonoClock::now();
    gateway::EngineLoad out;
    const auto& engine = m_parts.view.report();
    out.orderInProgress = engine.orderInProgress;
    out.queued = engine.queued;
    out.running = engine.running;
    out.prefilling = engine.prefilling;
    out.hasAdapterCapacity =
        !m_parts.view.spec() || hasAdapterCapacity( m_parts.view.holdings( now ), now );
    out.gateways = static_cast<int>( m_parts.peers.size() );
    constexpr double percent = 100;
    double reading = 0;
    for( const auto& it : m_parts.peers ) {
        reading += it->reading;
    }
    out.readingPercent = static_cast<int>( reading * percent );
    out.readingWaitMs = m_parts.admission.usualWait( now ).count();
    out.latePausesPercent = static_cast<int>( m_parts.pauses.lateShare( now ) * percent );
    return out;
}

gateway::SidecarReport Publisher::report() const {
    const auto& engine = m_parts.view.report();
    gateway::SidecarReport out;
    out.reachable = m_reachable;
    out.born = engine.born;
    out.formerUpstreams = m_parts.orders.former();
    out.residents = m_parts.view.availableResidents();
    out.loadingAdapters = engine.loadingAdapters;
    out.onDisk = engine.onDisk;
    out.inMemory = engine.inMemory;
    out.load = load();
    return out;
}

void Publisher::sendReport( Peer& peer, std::vector<gateway::SentPart> sentParts ) const {
    auto out = report();
    out.load.sentParts = std::move( sentParts );
    const gateway::Message message( std::move( out ) );
    peer.channel->send( gateway::encode( message ) );
}

void Publisher::publish( MonoTime now ) {
    const auto& engine = m_parts.view.report();
    const bool due = now - m_published >= reportEvery;
    const bool soon = now - m_published >= pause();
    const bool whole = m_changed || shapeDiffers( engine, m_lastPublished );
    const bool news = whole || loadDiffers( engine, m_lastPublished );
    if( !due && !( soon && news ) ) {
        return;
    }
    m_changed = false;
    m_published = now;
    m_lastPublished = engine;
    const auto encoded = whole ? encodedReport() : encodedLoad();
    for( const auto& it : m_parts.peers ) {
        it->channel->send( encoded );
    }
}

std::string Publisher::encodedReport() {
    auto out = report();
    out.load.sentParts = m_parts.sentParts.takeUnpublished();
    return gateway::encode( gateway::Message( std::move( out ) ) );
}

std::string Publisher::encodedLoad() {
    gateway::LoadReport out{ load() };
    out.load.sentParts = m_parts.sentParts.takeUnpublished();
    return gateway::encode( gateway::Message( std::move( out ) ) );
}

} // namespace coursehead::sidecar
