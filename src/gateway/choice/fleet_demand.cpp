// SPDX-License-Identifier: BSL-1.0
// Measures the demand for each model and sends it to the sidecars.
#include "coursehead/kernel/log.hpp"
#include "gateway/choice/fleet.hpp"

#include <utility>
#include <vector>

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
    compareSpeeds( now );
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
    out.atCapacity = m_atCapacity;
    return out;
}

void Fleet::compareSpeeds( MonoTime now ) {
    std::map<std::string, std::vector<decide::EngineSpeed>> speeds;
    for( const auto& it : m_nodes ) {
        if( it.second->engine ) {
            speeds[it.second->upstream.service].push_back( it.second->speed( now ) );
        }
    }
    std::map<std::string, double> usual;
    for( const auto& [service, known] : speeds ) {
        usual[service] = decide::usualTimeRatio( known );
    }
    for( const auto& it : m_nodes ) {
        if( it.second->engine ) {
            it.second->usualTimeRatio = usual.at( it.second->upstream.service );
            noteSlowState( *it.second, now );
        }
    }
}

void Fleet::noteSlowState( Node& node, MonoTime now ) {
    const double factor = node.timeFactor( now );
    if( !node.slowState.note( factor, now ) ) {
        return;
    }
    const auto speed = node.speed( now );
    constexpr double percent = 100;
    const bool slow = node.slowState.slow();
    log::info( slow ? "engine_slow" : "engine_usual",
               { { "upstream", node.upstream.id },
                 { "time_percent", static_cast<std::int64_t>( factor * percent ) },
                 { "measured_percent", static_cast<std::int64_t>( speed.timeRatio * percent ) },
                 { "usual_percent", static_cast<std::int64_t>( node.usualTimeRatio * percent ) },
                 { "step_ms", static_cast<std::int64_t>( speed.stepMs ) },
                 { "reading_step_ms", static_cast<std::int64_t>( speed.readingStepMs ) },
                 { "certainty_percent", static_cast<std::int64_t>( speed.certainty * percent ) },
                 { "age_ms", speed.ageMs } } );
    if( m_settings.metrics != nullptr ) {
        m_settings.metrics->count( "engine_speed_changes", slow ? "slow" : "usual" );
    }
}

void Fleet::noteFirstEvent( const Generation& generation, const Choice& choice,
                            double measuredMs ) {
    if( choice.unqueued ) {
        m_pace.note( generation.model, static_cast<double>( choice.uncachedTokens ), measuredMs,
                     choice.timeFactor );
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
