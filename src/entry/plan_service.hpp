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

//! Collects the planner's inputs, makes plans and sends them to the agents. Used only by Leader.
class PlanService {
public:
    PlanService( Location location, Directory& directory, config::Replica& replica,
                 const Clock& clock );

    //! Adds the demand since the last call to the rates; called whether or not this entry leads.
    void observe();
    //! Makes a plan and sends each agent its part if that has changed. `epoch` is the lease's
    //! epoch.
    void planAndSend( std::uint64_t epoch );
    //! Returns why the last plan with moves placed or dropped copies of a model.
    std::vector<std::string> reasonsFor( const std::string& model ) const;

private:
    //! The plan last sent to an agent.
    struct SentPlan {
        std::string incarnation;
        std::uint64_t epoch = 0;
        std::vector<std::string> models;
        std::vector<std::string> spares;
    };

    std::vector<planner::AgentInput> agentInputs( const config::State& state,
                                                  const std::vector<AgentView>& views ) const;
    std::vector<planner::ModelInput> modelInputs( const config::State& state,
                                                  const std::vector<AgentView>& views ) const;
    void sendPlan( const AgentView& view, const planner::AgentPlan& plan, std::uint64_t epoch );

    Location m_location;
    Directory& m_directory;
    config::Replica& m_replica;
    const Clock& m_clock;
    std::map<std::string, planner::DemandRate> m_rates;
    MonoTime m_observedAt;
    std::map<std::string, SentPlan> m_sentPlans;
    std::uint64_t m_sequence = 0;
    mutable std::mutex m_mutex; //!< guards m_reasons
    std::vector<planner::PlanReason> m_reasons;
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_PLAN_SERVICE_HPP_INCLUDED
