// SPDX-License-Identifier: BSL-1.0
#include "sidecar/publisher.hpp"

#include "sidecar/report_changes.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace coursehead::sidecar {

namespace {

//! Longest time between reports; they also show gateways that the sidecar is running.
constexpr Millis maxReportInterval{ 450 };
//! Shortest time between reports while few gateways are connected.
constexpr Millis minReportInterval{ 150 };
//! The time between reports grows by `minReportInterval` for every so many gateways.
constexpr int gatewaysPerInterval = 8;

} // namespace

void Publisher::setReachable( bool reachable ) {
    m_reachable = reachable;
    m_fullReportNeeded = true;
}

//! Shortest time between reports. It grows with the number of gateways, so that the total rate of
//! messages to them stays about the same.
Millis Publisher::reportInterval() const {
    const auto intervals = 1 + static_cast<int>( m_sources.peers.size() ) / gatewaysPerInterval;
    return std::min( minReportInterval * intervals, maxReportInterval );
}

gateway::EngineLoad Publisher::load() const {
    const auto now = MonoClock::now();
    gateway::EngineLoad out;
    const auto& engine = m_sources.view.report();
    out.orderInProgress = engine.orderInProgress;
    const auto orderLeft = m_sources.orders.orderLeft( now );
    out.orderLeftMs = orderLeft ? orderLeft->count() : -1;
    out.queued = engine.queued;
    out.running = engine.running;
    out.prefilling = engine.prefilling;
    out.hasAdapterCapacity =
        !m_sources.view.spec() || hasAdapterCapacity( m_sources.view.residencyState( now ), now );
    out.gateways = static_cast<int>( m_sources.peers.size() );
    constexpr double percent = 100;
    double readingShare = 0;
    for( const auto& it : m_sources.peers ) {
        readingShare += it->readingShare;
    }
    out.readingPercent = static_cast<int>( readingShare * percent );
    out.readingWaitMs = m_sources.admission.typicalWait( now ).count();
    const auto room = freeRoom();
    out.freePlaces = room.places;
    out.freeTokens = room.tokens;
    out.promptsWaiting = static_cast<int>( m_sources.admission.promptsWaiting() );
    out.speed = m_sources.admission.speed( now );
    out.latePausesPercent = static_cast<int>( m_sources.pauses.lateShare( now ) * percent );
    return out;
}

std::vector<gateway::HallGateways> Publisher::gatewayHalls() const {
    std::map<std::string_view, gateway::HallGateways> byHall;
    for( const auto& it : m_sources.peers ) {
        auto& hall = byHall[it->hall];
        hall.hall = it->hall;
        ++hall.connected;
        hall.atCapacity += it->atCapacity ? 1 : 0;
    }
    std::vector<gateway::HallGateways> out;
    out.reserve( byHall.size() );
    for( auto& it : byHall ) {
        out.push_back( std::move( it.second ) );
    }
    return out;
}

std::vector<gateway::HallGateways> Publisher::takeChangedHalls() {
    auto halls = gatewayHalls();
    if( halls == m_publishedHalls ) {
        return {};
    }
    m_publishedHalls = halls;
    return halls;
}

//! The engine's free places and cache tokens; unknown while the engine does not answer.
decide::FreeRoom Publisher::freeRoom() const {
    if( !m_reachable || !m_sources.view.spec() ) {
        return {};
    }
    const auto& engine = m_sources.view.report();
    decide::EngineUse use;
    use.slots = m_sources.view.spec()->slots;
    use.requests = engine.running + engine.queued +
                   static_cast<std::int64_t>( m_sources.admission.promptsUnreported() );
    use.cacheUsed = engine.cacheUsed;
    use.cacheTotal = engine.cacheTotal;
    return decide::freeRoomOf( use );
}

gateway::SidecarReport Publisher::report() const {
    const auto& engine = m_sources.view.report();
    gateway::SidecarReport out;
    out.reachable = m_reachable;
    out.born = engine.born;
    out.formerUpstreams = m_sources.orders.formerStarts();
    out.residents = m_sources.view.availableResidents();
    out.loadingAdapters = engine.loadingAdapters;
    out.onDisk = engine.onDisk;
    out.inMemory = engine.inMemory;
    out.load = load();
    return out;
}

void Publisher::sendReport( Peer& peer, std::vector<gateway::SentPart> sentParts ) const {
    auto out = report();
    out.load.sentParts = std::move( sentParts );
    out.load.gatewayHalls = gatewayHalls();
    const gateway::Message message( std::move( out ) );
    peer.channel->send( gateway::encode( message ) );
}

void Publisher::publish( MonoTime now ) {
    const auto& engine = m_sources.view.report();
    const bool overdue = now - m_publishedAt >= maxReportInterval;
    const bool intervalPassed = now - m_publishedAt >= reportInterval();
    const bool fullReport = m_fullReportNeeded || contentsDiffer( engine, m_lastPublished );
    const bool changed = fullReport || loadDiffers( engine, m_lastPublished );
    if( !overdue && !( intervalPassed && changed ) ) {
        return;
    }
    m_fullReportNeeded = false;
    m_publishedAt = now;
    m_lastPublished = engine;
    const auto encoded = fullReport ? encodedReport() : encodedLoad();
    for( const auto& it : m_sources.peers ) {
        it->channel->send( encoded );
    }
}

std::string Publisher::encodedReport() {
    auto out = report();
    out.load.sentParts = m_sources.sentParts.takeUnpublished();
    out.load.gatewayHalls = takeChangedHalls();
    return gateway::encode( gateway::Message( std::move( out ) ) );
}

std::string Publisher::encodedLoad() {
    gateway::LoadReport out{ load() };
    out.load.sentParts = m_sources.sentParts.takeUnpublished();
    out.load.gatewayHalls = takeChangedHalls();
    return gateway::encode( gateway::Message( std::move( out ) ) );
}

} // namespace coursehead::sidecar
