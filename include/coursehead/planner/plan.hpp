// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLANNER_PLAN_HPP_INCLUDED
#define COURSEHEAD_PLANNER_PLAN_HPP_INCLUDED

#include "coursehead/config/state.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/**
 * The plan: which models each agent should hold. A pure function of the resident models, the demand
 * and the configuration. It weighs requests answered within target against moves (loads and
 * unloads): a copy is added only when its gain over the horizon exceeds the cost of its moves.
 */
namespace coursehead::planner {

//! An agent and the models it holds.
struct AgentInput {
    std::string vm;
    std::string hall;
    std::uint32_t accelerators = 0;
    std::uint64_t memory = 0;        //!< bytes on each accelerator
    bool usable = true;              //!< reachable, not leaving, and sends orders
    std::vector<std::string> models; //!< resident or loading
};

//! A model and the demand for it.
struct ModelInput {
    std::string name;
    std::uint64_t bytes = 0; //!< on each of its accelerators
    std::uint32_t accelerators = 1;
    std::uint32_t replicas = 1;
    double rate = 0;           //!< requests per second
    double serviceSeconds = 1; //!< time for which a request runs
    double priority = 0;       //!< of its class, 0 to 9: weight of its requests
};

struct PlanRules {
    config::Weights weights;
    double horizonSeconds = 600;     //!< time over which the gain of a move must exceed its cost
    double requestsPerCopy = 12;     //!< parallel requests that one copy serves within target
    double plannedUtilisation = 0.7; //!< share of requestsPerCopy that is planned for
    std::uint32_t moveBudget = 16; //!< no copy is added once a plan has this many loads and unloads
};

struct AgentPlan {
    std::string vm;
    std::vector<std::string> models; //!< sorted
    std::vector<std::string> spares; //!< those of `models` that other agents hold too
};

//! The reason for adding or removing a copy of a model.
struct PlanReason {
    std::string model;
    std::string vm;
    std::string text;
};

struct Plan {
    std::vector<AgentPlan> agents; //!< in the order of the input
    std::vector<PlanReason> reasons;
    std::uint32_t moves = 0; //!< loads and unloads that lead from the resident models to the plan
};

Plan plan( std::span<const AgentInput> agents, std::span<const ModelInput> models,
           const PlanRules& rules );

//! A smoothed request rate that follows a rise quickly and a fall slowly.
struct DemandRate {
    double fast = 0; //!< requests per second, smoothed over 30 s
    double slow = 0; //!< the same, smoothed over 10 min
};
//! Updates the rate with the number of arrivals in the last `seconds`.
void observe( DemandRate& rate, double arrivals, double seconds );
//! The larger of the two smoothed rates.
double estimate( const DemandRate& rate );

} // namespace coursehead::planner

#endif // COURSEHEAD_PLANNER_PLAN_HPP_INCLUDED
