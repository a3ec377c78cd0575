// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLANNER_PLAN_HPP_INCLUDED
#define COURSEHEAD_PLANNER_PLAN_HPP_INCLUDED

#include "coursehead/config/state.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/**
 * The plan: which models each agent should hold. A pure function of what is resident, what is
 * asked for and what the operators configured. It weighs requests answered within target against
 * moves: a copy is added only when what it gains over the horizon is worth the moves it takes.
 */
namespace coursehead::planner {

//! An agent and what it holds.
struct AgentInput {
    std::string vm;
    std::string hall;
    std::uint32_t accelerators = 0;
    std::uint64_t memory = 0;        //!< bytes an accelerator holds
    bool usable = true;              //!< reachable, not leaving, gives orders
    std::vector<std::string> models; //!< resident or on their way
};

//! A model and what is asked of it.
struct ModelInput {
    std::string name;
    std::uint64_t bytes = 0; //!< on each of its accelerators
    std::uint32_t accelerators = 1;
    std::uint32_t replicas = 1;
    double rate = 0;           //!< requests a second
    double serviceSeconds = 1; //!< time a request holds a place
    double priority = 0;       //!< of its class, 0 to 9: weighs its requests
};

struct PlanRules {
    config::Weights weights;
    double horizonSeconds = 600;   //!< time over which a move has to pay
    double placesPerCopy = 12;     //!< parallel requests that one copy serves within target
    double fill = 0.7;             //!< share of those places that is planned for
    std::uint32_t moveBudget = 16; //!< loads and unloads that one plan may ask for
};

struct AgentPlan {
    std::string vm;
    std::vector<std::string> models; //!< sorted
    std::vector<std::string> spares; //!< of these, the ones with copies elsewhere
};

//! Why a model gets or loses a copy.
struct PlanReason {
    std::string model;
    std::string vm;
    std::string text;
};

struct Plan {
    std::vector<AgentPlan> agents; //!< in the order of the input
    std::vector<PlanReason> reasons;
    std::uint32_t moves = 0; //!< loads and unloads against what is resident
};

Plan plan( std::span<const AgentInput> agents, std::span<const ModelInput> models,
           const PlanRules& rules );

//! A smoothed rate that follows a rise at once and a fall slowly.
struct DemandRate {
    double fast = 0; //!< requests a second, smoothed over half a minute
    double slow = 0; //!< the same over ten minutes
};
void observe( DemandRate& rate, double arrivals, double seconds );
double estimate( const DemandRate& rate );

} // namespace coursehead::planner

#endif // COURSEHEAD_PLANNER_PLAN_HPP_INCLUDED
