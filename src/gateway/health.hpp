// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_HEALTH_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_HEALTH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::gateway {

//! What requests to an upstream showed of it lately.
struct Health {
    double failures = 0; //!< recent failures, each fading with a half-life
    MonoTime failuresAt;
    double slowness = 1; //!< measured time over expected time, smoothed
    MonoTime slownessAt;
    int connectFailures = 0; //!< in a row
    MonoTime avoidUntil;     //!< unreachable: not chosen before, unless nothing else is left
};

//! Failures as they weigh now.
double recentFailures( const Health& health, MonoTime now );
//! A request failed at the upstream, or its connection broke; `weight` 1 for a plain failure.
void noteFailure( Health& health, double weight, MonoTime now );
//! The upstream could not be reached.
void noteUnreachable( Health& health, MonoTime now );
//! A request was answered well, in `measured` where `expected` was thought.
void noteSuccess( Health& health, double measuredMs, double expectedMs, MonoTime now );
//! How much slower than expected, drifting back to 1 while nothing is known.
double slownessNow( const Health& health, MonoTime now );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_HEALTH_HPP_INCLUDED
