// SPDX-License-Identifier: BSL-1.0
#include "decide/replica_rule.hpp"

namespace coursehead::decide {

namespace {

constexpr double millisPerSecond = 1000;
//! Part of its time that each copy of a model spends on reading that model's prompts, from which
//! another copy is started. An engine holds three models; above a third in all, prompts queue.
constexpr double replicaLoad = 0.35;
constexpr Millis replicaPause{ 1000 };
//! Gateways that act on the same load in one round, on average.
constexpr double replicaActors = 1.5;
//! What a sidecar said is taken to hold this long: demand is smoothed over about two seconds.
constexpr Millis loadAge{ 1500 };

} // namespace

double copyLoad( const ModelLoad& load ) {
    return load.copies > 0 ? load.workPerS / ( millisPerSecond * load.copies ) : 0;
}

bool shouldAddReplica( const ModelLoad& load, int gateways, double draw, MonoTime now ) {
    const bool known = load.copies > 0 && now - load.reportedAt <= loadAge;
    if( !known || now - load.lastReplica < replicaPause ) {
        return false;
    }
    return copyLoad( load ) > replicaLoad && draw * gateways < replicaActors;
}

} // namespace coursehead::decide
