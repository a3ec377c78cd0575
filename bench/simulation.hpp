// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_BENCH_SIMULATION_HPP_INCLUDED
#define COURSEHEAD_BENCH_SIMULATION_HPP_INCLUDED

#include "scenario.hpp"

#include <cstdint>
#include <string>

//! Drives the product's pure decisions (route, admit, nextStep, plan) in virtual time with fakes
//! for engines and the weight store. The same seed gives the same figures on every run.
namespace bench {

//! Parts of the policy that are switched on; the default is the product's own policy.
struct Policy {
    std::string name = "coursehead";
    bool planner = true;
    bool onDemand = true; //!< load a model that a request asks for
    bool affinity = true;
    bool twoChoices = true;
    bool distance = true;
    bool retiring = true;        //!< busy copies that are to be unloaded get no new requests
    bool shedding = true;        //!< refuse requests that would start after their target
    bool fixedPlacement = false; //!< the initial plan for the mean demand, never changed
    bool oracle = false;         //!< the planner knows the demand a minute ahead
    double lagSeconds = 1;       //!< time between load reports
    double movesWeight = -1;     //!< replaces the deployment's weight unless negative
};

struct Faults {
    bool on = true; //!< a runner lost, orders lost, an hour without the store, a paused planner
};

struct Figures {
    std::uint64_t requests = 0;
    std::uint64_t attained = 0;
    std::uint64_t refused = 0;
    std::uint64_t coldWaits = 0;
    std::uint64_t moves = 0;
    std::uint64_t breaches = 0;
    double worstModel = 1;    //!< lowest attainment of a model with at least 50 requests
    double p95FirstToken = 0; //!< seconds
    double p95Between = 0;    //!< seconds
    double hours = 0;
    std::uint32_t accelerators = 0;

    double attainment() const {
        return requests == 0 ? 0
                             : static_cast<double>( attained ) / static_cast<double>( requests );
    }
    double movesPerHour() const { return static_cast<double>( moves ) / hours; }
};

Figures simulate( const Deployment& deployment, const Policy& policy, const Faults& faults,
                  std::uint64_t seed );

} // namespace bench

#endif // COURSEHEAD_BENCH_SIMULATION_HPP_INCLUDED
