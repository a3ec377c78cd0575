// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_BACKOFF_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_BACKOFF_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

//! Simulates, in virtual time, gateways and plain upstreams that reject requests and ask for a
//! back-off. Announcements, the choice of an upstream and the slow start are the product's own
//! functions; upstreams, clients and the steps of a request are simulated.
namespace coursehead::replay {

//! How gateways react to a back-off.
struct BackoffPolicy {
    bool honoursBackoff = true; //!< false: a rejection is only a short penalty
    //! A request waits for the end of a back-off if its deadline allows it.
    bool waitsForBackoffEnd = false;
    bool slowStart = true; //!< after a back-off only few requests are sent at first
};

struct BackoffLoad {
    BackoffPolicy policy;
    int gateways = 5;
    int upstreams = 3;
    double requestsPerS = 150;
    double burstFactor = 1;  //!< of the request rate during the overload
    double shedFraction = 0; //!< of requests that upstreams reject during the overload
    Millis backoff{ 1000 };  //!< requested with each rejection
    Millis goal{ 300 };
    Millis deadline{ 1000 };
    std::uint64_t seed = 1;
};

struct BackoffOutcome {
    int requests = 0;
    int withinGoal = 0; //!< served within the goal since the first attempt
    int late = 0;       //!< served after the goal, within the deadline
    int failed = 0;
    //! Sends that arrived at an upstream later than half a second into a back-off that it requested
    //! from their gateway.
    int sendsDuringBackoff = 0;
    int maxDuringOneBackoff = 0; //!< largest number of such sends during one back-off
    int sends = 0;
};

BackoffOutcome simulateBackoffs( const BackoffLoad& load );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_BACKOFF_WORLD_HPP_INCLUDED
