// SPDX-License-Identifier: BSL-1.0
// What is asked for, by model: counted here, told to the sidecars.
#include "gateway/fleet.hpp"

#include <utility>

namespace coursehead::gateway {

namespace {

//! Demand is smoothed over about two seconds, to follow shifts that take four to six.
constexpr double demandSmoothing = 0.2;
constexpr Millis demandInterval{ 400 };

} // namespace

void Fleet::tick( MonoTime now ) {
    if( now - m_lastTick < demandInterval ) {
        return;
    }
    const double seconds = std::chrono::duration<double>( now - m_lastTick ).count();
    m_lastTick = now;
    DemandNews common;
    for( auto& [model, demand] : m_demand ) {
        demand.perS += demandSmoothing * ( demand.arrivals / seconds - demand.perS );
        demand.workPerS += demandSmoothing * ( demand.arrivedWork / seconds - demand.workPerS );
        demand.arrivals = 0;
        demand.arrivedWork = 0;
    }
    const auto copies = countCopies( now );
    for( auto& it : m_nodes ) {
        Node& node = *it.second;
        if( !node.sidecar ) {
            continue;
        }
        DemandNews news;
        for( const auto& model : node.modelsOfInterest( now ) ) {
            ModelDemand entry;
            entry.model = model;
            const auto demand = m_demand.find( model );
            if( demand != m_demand.end() ) {
                entry.perS = demand->second.perS;
                entry.workPerS = demand->second.workPerS;
            }
            const auto held = copies.held.find( model );
            entry.copies = held == copies.held.end() ? 0 : held->second;
            entry.running = node.runningOf( model );
            entry.adaptersUsed = node.adaptersInUse( model );
            news.models.push_back( std::move( entry ) );
        }
        node.adaptersUsed.clear();
        news.sentParts = std::exchange( node.sentParts, {} );
        news.reading = node.reading.ownShare( now );
        node.sidecar->send( news );
    }
    addReplicas( copies, now );
}

Fleet::Copies Fleet::countCopies( MonoTime now ) const {
    Copies out;
    for( const auto& it : m_nodes ) {
        const bool limited = it.second->limit.known.perS().has_value();
        for( const auto& resident : it.second->residents( now ) ) {
            ++out.held[resident.model];
            out.free[resident.model] += limited ? 0 : 1;
        }
    }
    return out;
}

void Fleet::noteFirstEvent( const Generation& generation, const Choice& choice,
                            double measuredMs ) {
    if( choice.unqueued ) {
        m_pace.note( generation.model, static_cast<double>( choice.freshTokens ), measuredMs );
    }
}

void Fleet::noteAtLimit( const Need& need, MonoTime now ) {
    if( need.generation == nullptr ) {
        return;
    }
    auto& demand = m_demand[need.generation->model];
    demand.service = need.service;
    demand.fleet.refusedAt = now;
}

void Fleet::countDemand( const Need& need, const Choice& choice ) {
    if( need.generation == nullptr || !choice.node || !choice.node->engine ) {
        return;
    }
    auto& demand = m_demand[need.generation->model];
    demand.service = need.service;
    demand.arrivals += 1;
    demand.arrivedWork += choice.workMs;
}

} // namespace coursehead::gateway
