// SPDX-License-Identifier: BSL-1.0
#include "decide/replica_rule.hpp"

namespace coursehead::decide {

namespace {

constexpr double millisPerSecond = 1000;
//! Load of each copy above which another copy is started, as a part of its engine's time. An engine
//! holds three models; when each of them is above a third, prompts queue.
constexpr double replicaThreshold = 0.35;
constexpr Millis minReplicaInterval{ 1000 };
//! Average number of gateways that act on the same load at a time.
constexpr double actingGateways = 1.5;
//! A reported load is used for this long; reported demand is smoothed over about two seconds.
constexpr Millis maxLoadAge{ 1500 };

} // namespace

double copyLoad( const ModelLoad& load ) {
    return load.copies > 0 ? load.workPerS / ( millisPerSecond * load.copies ) : 0;
}

bool shouldAddReplica( const ModelLoad& load, int gateways, double randomUnit, MonoTime now ) {
    const bool known = load.copies > 0 && now - load.reportedAt <= maxLoadAge;
    if( !known || now - load.lastReplica < minReplicaInterval ) {
        return false;
    }
    return copyLoad( load ) > replicaThreshold && randomUnit * gateways < actingGateways;
}

} // namespace coursehead::decide
