// SPDX-License-Identifier: BSL-1.0
#include "decide/replica_rule.hpp"

namespace coursehead::decide {

namespace {

//! Part of its time that each copy of a model spends on reading that model's prompts, from which
//! another copy is started. An engine holds three models; above a third in all, prompts queue.
constexpr double replicaLoad = 0.35;
constexpr Millis replicaPause{ 1000 };
//! Gateways that act on the same load in one round, on average.
constexpr double replicaActors = 1.5;
//! Requests turned away within one interval that call for a copy at once: one or two may be a crowd
//! of long prompts that passes.
constexpr int leastTurnedAway = 3;
constexpr double millisPerSecond = 1000;

} // namespace

bool callsForCopy( const ModelPressure& pressure, int gateways, double draw ) {
    if( pressure.copies == 0 || pressure.sinceLastAdded < replicaPause ) {
        return false;
    }
    const double load = pressure.workMsPerS * gateways / ( millisPerSecond * pressure.copies );
    const bool acts = load > replicaLoad && draw * gateways < replicaActors;
    return acts || ( pressure.turnedAway >= leastTurnedAway && !pressure.coming );
}

} // namespace coursehead::decide
