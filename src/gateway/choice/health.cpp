// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/health.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::gateway {

namespace {

//! Half-life of a failure, so that an upstream that failed is tried again within a few seconds.
constexpr double failureHalfLifeS = 2.0;
//! Half-life of a measured slowness while there are no new measurements.
constexpr double slownessHalfLifeS = 3.0;
constexpr double slownessSmoothing = 0.3;
constexpr double maxSlowness = 8.0;
//! An unreachable upstream is avoided this long, doubled for each consecutive failure.
constexpr Millis initialAvoidance{ 500 };
constexpr int maxAvoidDoublings = 3;

double secondsBetween( MonoTime from, MonoTime to ) {
    return std::chrono::duration<double>( to - from ).count();
}

} // namespace

double recentFailures( const Health& health, MonoTime now ) {
    return health.failures *
           std::exp2( -secondsBetween( health.failuresAt, now ) / failureHalfLifeS );
}

void noteFailure( Health& health, double weight, MonoTime now ) {
    health.failures = recentFailures( health, now ) + weight;
    health.failuresAt = now;
}

void noteUnreachable( Health& health, MonoTime now ) {
    const int doublings = std::min( health.connectFailures, maxAvoidDoublings );
    health.avoidUntil = now + initialAvoidance * ( 1 << doublings );
    ++health.connectFailures;
    noteFailure( health, 1.0, now );
}

double slownessNow( const Health& health, MonoTime now ) {
    const double decay = std::exp2( -secondsBetween( health.slownessAt, now ) / slownessHalfLifeS );
    return 1.0 + ( health.slowness - 1.0 ) * decay;
}

double unexplainedSlowness( const Health& health, double timeFactor, MonoTime now ) {
    return std::max( slownessNow( health, now ) / std::max( timeFactor, 1.0 ), 1.0 );
}

void noteSuccess( Health& health, double measuredMs, double expectedMs, MonoTime now ) {
    health.connectFailures = 0;
    health.avoidUntil = {};
    const double ratio = std::clamp( measuredMs / std::max( expectedMs, 1.0 ), 1.0, maxSlowness );
    health.slowness =
        slownessNow( health, now ) * ( 1.0 - slownessSmoothing ) + ratio * slownessSmoothing;
    health.slownessAt = now;
}

} // namespace coursehead::gateway
