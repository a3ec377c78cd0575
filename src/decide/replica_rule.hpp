// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

//! When a model gets another copy. It is designed for many models, most of which get only
//! occasional requests with single long prompts, at any of many gateways.
namespace coursehead::decide {

//! Demand for a model, and its copies.
struct ModelLoad {
    double workPerS = 0;  //!< milliseconds of prompt reading a second, over all gateways
    MonoTime reportedAt;  //!< when a sidecar of one of the copies reported it
    int copies = 0;       //!< number of copies, as reported by the sidecars
    MonoTime lastReplica; //!< when this gateway last requested a copy
};

//! Part of its time that each copy's engine spends on reading the model's prompts.
double copyLoad( const ModelLoad& load );

/**
 * Whether this gateway should have a copy added now. All gateways know about the same load, so each
 * acts only with a certain probability, such that together they act often enough; `randomUnit` is a
 * random number, uniform in [0, 1).
 *
 * The load has to be that of all gateways, as summed up by the sidecars. One gateway's own requests
 * times the number of gateways is right on average, but makes a single prompt for a rare model look
 * like one at every gateway: models with ten requests in half a minute were given five copies, and
 * 300 of 350 loads evicted another model.
 */
bool shouldAddReplica( const ModelLoad& load, int gateways, double randomUnit, MonoTime now );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED
