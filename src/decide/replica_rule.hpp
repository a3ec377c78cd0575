// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::decide {

//! How much a model is asked for, as one gateway sees it.
struct ModelPressure {
    int copies = 0;        //!< engines that hold it
    double workMsPerS = 0; //!< prompt reading that this gateway asks for, smoothed
    int turnedAway = 0;    //!< requests that engines with it could not let in, in this interval
    bool coming = false;   //!< another copy is on its way
    Millis sinceLastAdded{ 0 }; //!< since this gateway had one added
};

/**
 * Whether a gateway has another copy of a model loaded. Two loads call for one: copies that read
 * most of the time, which all gateways see alike, so that `draw`, even in [0, 1), lets one or two
 * of them act; and a jump, which shows in requests that are turned away long before it shows in a
 * smoothed rate.
 */
bool callsForCopy( const ModelPressure& pressure, int gateways, double draw );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_REPLICA_RULE_HPP_INCLUDED
