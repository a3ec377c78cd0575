// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_HEALTH_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_HEALTH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::gateway {

//! The health of an upstream, as measured by recent requests to it.
struct Health {
    double failures = 0; //!< recent failures, each decaying with a half-life
    MonoTime failuresAt;
    double slowness = 1; //!< measured time over expected time, smoothed
    MonoTime slownessAt;
    int connectFailures = 0; //!< consecutive
    MonoTime avoidUntil;     //!< unreachable: before this, chosen only as a last resort
};

//! The failures, decayed to `now`.
double recentFailures( const Health& health, MonoTime now );
//! Records that a request failed or its connection broke; `weight` is 1 for an ordinary failure.
void noteFailure( Health& health, double weight, MonoTime now );
//! Records that the upstream could not be reached.
void noteUnreachable( Health& health, MonoTime now );
//! Records that a request succeeded in `measuredMs`, where `expectedMs` had been estimated.
void noteSuccess( Health& health, double measuredMs, double expectedMs, MonoTime now );
//! The slowness, decayed towards 1 since the last measurement.
double slownessNow( const Health& health, MonoTime now );
//! The part of the slowness that the measured speed of the upstream does not explain: the upstream
//! may have turned slow since it was measured. `timeFactor`: see Candidate.
double unexplainedSlowness( const Health& health, double timeFactor, MonoTime now );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_HEALTH_HPP_INCLUDED
