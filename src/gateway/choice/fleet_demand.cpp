// SPDX-License-Identifier: BSL-1.0
// Measures the demand for each model and sends it to the sidecars.
#include "gateway/choice/fleet.hpp"

#include <utility>

namespace coursehead::gateway {

namespace {

//! Weight of the newest interval: smooths demand over about two seconds, which follows shifts that
//! take four to six seconds.
constexpr double demandSmoothing = 0.2;
constexpr Millis demandInterval{ 400 };

} // namespace

void Fleet::tick( MonoTime now ) {
    if( now - m_lastTick < demandInterval ) {
        return;
    }
    const double seconds = std::chrono::duration<double>( now - m_lastTick ).count();
    m_lastTick = now;
    for( auto& [model, demand] : m_demand ) {
        demand.perS += demandSmoothing * ( demand.arrivals / seconds - demand.perS );
        demand.workPerS += demandSmoothing * ( demand.arrivedWork / seconds - demand.workPerS );
        demand.arrivals = 0;
        demand.arrivedWork = 0;
    }
    m_copies.clear();
    for( const auto& it : m_nodes ) {
        for( const auto& resident : it.second->residents( now ) ) {
            ++m_copies[resident.model];
        }
    }
    chooseLinks( now );
    for( auto& it : m_nodes ) {
        Node& node = *it.second;
        if( node.sidecar && node.sidecar->up() ) {
            node.sidecar->send( demandFor( node, now ) );
        }
    }
    addReplicas( m_copies, now );
}

DemandUpdate Fleet::demandFor( Node& node, MonoTime now ) {
    DemandUpdate out;
    for( const auto& model : node.modelsHeldOrInFlight( now ) ) {
        ModelDemand entry;
        entry.model = model;
        const auto demand = m_demand.find( model );
        if( demand != m_demand.end() ) {
            entry.perS = demand->second.perS;
            entry.workPerS = demand->second.workPerS;
        }
        const auto copyCount = m_copies.find( model );
        entry.copies = copyCount == m_copies.end() ? 0 : copyCount->second;
        entry.running = node.runningOf( model );
        entry.adaptersUsed = node.adaptersInUse( model );
        out.models.push_back( std::move( entry ) );
    }
    node.adaptersUsed.clear();
    out.sentParts = std::exchange( node.sentParts, {} );
    out.readingShare = node.reading.ownShare( now );
    out.gateways = gateways();
    return out;
}

void Fleet::noteFirstEvent( const Generation& generation, const Choice& choice,
                            double measuredMs ) {
    if( choice.unqueued ) {
        m_pace.note( generation.model, static_cast<double>( choice.uncachedTokens ), measuredMs );
    }
}

void Fleet::countDemand( const RequestNeeds& need, const Choice& choice ) {
    if( need.generation == nullptr || !choice.node || !choice.node->engine ) {
        return;
    }
    auto& demand = m_demand[need.generation->model];
    demand.service = need.service;
    demand.arrivals += 1;
    demand.arrivedWork += choice.workMs;
}

} // namespace coursehead::gateway
