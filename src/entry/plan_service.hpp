// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENTRY_PLAN_SERVICE_HPP_INCLUDED
#define COURSEHEAD_ENTRY_PLAN_SERVICE_HPP_INCLUDED

#include "coursehead/planner/plan.hpp"
#include "entry/directory.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace coursehead::entry {

//! Gathers what a plan is made from, and hands the plan to the agents. Used by the leader alone.
class PlanService {
public:
    PlanService( Place place, Directory& directory, config::Replica& replica, const Clock& clock );

    //! Takes in the demand since the last call; to be called by leaders and others alike.
    void observe();
    //! Makes a plan and tells each agent whose part of it is new. `epoch` is the lease's.
    void round( std::uint64_t epoch );
    //! Why the last plan placed or dropped copies of a model.
    std::vector<std::string> reasonsFor( const std::string& model ) const;

private:
    //! What an agent was last told.
    struct Told {
        std::string incarnation;
        std::uint64_t epoch = 0;
        std::vector<std::string> models;
        std::vector<std::string> spares;
    };

    std::vector<planner::AgentInput> agentInputs( const config::State& state,
                                                  const std::vector<AgentView>& views ) const;
    std::vector<planner::ModelInput> modelInputs( const config::State& state,
                                                  const std::vector<AgentView>& views ) const;
    void tell( const AgentView& view, const planner::AgentPlan& plan, std::uint64_t epoch );

    Place m_place;
    Directory& m_directory;
    config::Replica& m_replica;
    const Clock& m_clock;
    std::map<std::string, planner::DemandRate> m_rates;
    MonoTime m_observedAt;
    std::map<std::string, Told> m_told;
    std::uint64_t m_sequence = 0;
    mutable std::mutex m_mutex; //!< guards the reasons
    std::vector<planner::PlanReason> m_reasons;
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_PLAN_SERVICE_HPP_INCLUDED
