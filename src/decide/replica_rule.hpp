// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

//! When a model gets another copy. The load that it answers: many models of which most are asked
//! for now and then, by single long prompts that come to any of many gateways.
namespace coursehead::decide {

//! How much a model is asked for, and where it lies.
struct ModelLoad {
    double workPerS = 0;  //!< milliseconds of prompt reading a second, over all gateways
    MonoTime reportedAt;  //!< when a sidecar beside one of the copies said so
    int copies = 0;       //!< as the sidecars report
    MonoTime lastReplica; //!< when this gateway last had one added
};

//! Part of its time that each copy spends on reading the model's prompts.
double copyLoad( const ModelLoad& load );

/**
 * Whether this gateway should have a copy added now. All gateways know about the same load, so each
 * acts now and then, together often enough: `draw` is uniform in [0, 1).
 *
 * The load has to be that of all gateways, as the sidecars sum it up. One gateway's own requests
 * times the number of gateways is right in the mean, but a single prompt for a rare model then
 * looks like one at every gateway: models with ten requests in half a minute were given five
 * copies, and 300 of 350 loads pushed out another model.
 */
bool shouldAddReplica( const ModelLoad& load, int gateways, double draw, MonoTime now );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED
