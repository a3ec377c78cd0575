// SPDX-License-Identifier: BSL-1.0
#include "entry/plan_service.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::entry {

namespace {

constexpr double defaultServiceSeconds = 2;
constexpr double millisPerSecond = 1000;

bool isPlanned( const AgentView& view, const Location& location ) {
    return view.vm.role == platform::VmRole::runner && view.vm.region == location.region;
}

bool isUsable( const AgentView& view ) {
    return view.up && view.reported && view.status.mayOrder && !view.status.draining &&
           view.vm.state == platform::VmState::live;
}

//! The mean service time that the agents report, in seconds; a default if none reports any.
double serviceSeconds( const std::vector<AgentView>& views ) {
    double sum = 0;
    double count = 0;
    for( const auto& it : views ) {
        if( it.reported && it.status.serviceMs > 0 ) {
            sum += it.status.serviceMs / millisPerSecond;
            ++count;
        }
    }
    return count == 0 ? defaultServiceSeconds : sum / count;
}

} // namespace

PlanService::PlanService( Location location, Directory& directory, config::Replica& replica,
                          const Clock& clock )
    : m_location( std::move( location ) ), m_directory( directory ), m_replica( replica ),
      m_clock( clock ), m_observedAt( clock.now() ) {}

void PlanService::observe() {
    const auto now = m_clock.now();
    const double seconds = std::chrono::duration<double>( now - m_observedAt ).count();
    m_observedAt = now;
    std::map<std::string, std::uint32_t> arrivals;
    for( const auto& it : m_directory.takeDemand() ) {
        arrivals[it.model] += it.arrivals;
        m_rates.try_emplace( it.model );
    }
    for( auto& [model, rate] : m_rates ) {
        planner::observe( rate, arrivals[model], seconds );
    }
}

std::vector<planner::AgentInput>
PlanService::agentInputs( const config::State& state, const std::vector<AgentView>& views ) const {
    std::vector<planner::AgentInput> out;
    for( const auto& it : views ) {
        const auto* upstream = config::findByName( state.upstreams, it.status.upstream );
        planner::AgentInput agent;
        agent.vm = it.vm.name;
        agent.hall = it.vm.hall;
        agent.usable = upstream != nullptr && isUsable( it );
        if( upstream != nullptr ) {
            agent.accelerators = upstream->accelerators;
            agent.memory = upstream->memory;
        }
        for( const auto& item : it.status.items ) {
            const bool listed = std::find( agent.models.begin(), agent.models.end(), item.name ) !=
                                agent.models.end();
            if( item.kind == "model" && !listed ) {
                agent.models.push_back( item.name );
            }
        }
        out.push_back( std::move( agent ) );
    }
    return out;
}

std::vector<planner::ModelInput>
PlanService::modelInputs( const config::State& state, const std::vector<AgentView>& views ) const {
    const double service = serviceSeconds( views );
    std::vector<planner::ModelInput> out;
    for( const auto& it : state.models ) {
        planner::ModelInput model;
        model.name = it.name;
        model.bytes = config::bytesPerAccelerator( it );
        model.accelerators = it.accelerators;
        model.replicas = it.replicas;
        model.serviceSeconds = service;
        const auto rate = m_rates.find( it.name );
        model.rate = rate == m_rates.end() ? 0 : planner::estimate( rate->second );
        const auto* requestClass = config::findByName( state.classes, it.requestClass );
        model.priority = requestClass == nullptr ? 0 : requestClass->priority;
        out.push_back( std::move( model ) );
    }
    return out;
}

void PlanService::planAndSend( std::uint64_t epoch ) {
    const auto state = m_replica.state();
    auto views = m_directory.agents();
    std::erase_if( views, [this]( const auto& it ) { return !isPlanned( it, m_location ); } );
    planner::PlanRules rules;
    rules.weights = state->weights;
    const auto agents = agentInputs( *state, views );
    auto result = planner::plan( agents, modelInputs( *state, views ), rules );
    for( std::size_t n = 0; n < views.size(); ++n ) {
        if( agents[n].usable ) {
            sendPlan( views[n], result.agents[n], epoch );
        }
    }
    if( result.moves > 0 ) {
        log::info( "plan", { { "epoch", static_cast<std::int64_t>( epoch ) },
                             { "moves", static_cast<std::int64_t>( result.moves ) } } );
        const std::lock_guard lock( m_mutex );
        m_reasons = std::move( result.reasons );
    }
}

void PlanService::sendPlan( const AgentView& view, const planner::AgentPlan& plan,
                            std::uint64_t epoch ) {
    auto& lastSent = m_sentPlans[view.vm.name];
    if( lastSent.incarnation == view.status.incarnation && lastSent.epoch == epoch &&
        lastSent.models == plan.models && lastSent.spares == plan.spares ) {
        return;
    }
    peer::PlanTargets out;
    out.epoch = epoch;
    out.planner = m_location.vm;
    out.sequence = ++m_sequence;
    out.spares = plan.spares;
    for( const auto& it : plan.models ) {
        out.items.push_back( { "model", it, "", false } );
    }
    if( m_directory.sendControl( view.vm.name, out ) ) {
        lastSent = { view.status.incarnation, epoch, plan.models, plan.spares };
    }
}

std::vector<std::string> PlanService::reasonsFor( const std::string& model ) const {
    const std::lock_guard lock( m_mutex );
    std::vector<std::string> out;
    for( const auto& it : m_reasons ) {
        if( it.model == model ) {
            out.push_back( it.vm + ": " + it.text );
        }
    }
    return out;
}

} // namespace coursehead::entry
