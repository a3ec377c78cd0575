// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_BACKOFF_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_BACKOFF_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

//! Gateways before plain upstreams that turn requests away and ask for a back-off, in virtual time.
//! Announcements, choice and what a request does are the product's own functions; upstreams and
//! clients are simulated.
namespace coursehead::replay {

//! What gateways do.
struct BackoffPolicy {
    bool heeded = true;    //!< false: a refusal is a short penalty
    bool waits = false;    //!< a request waits for the end of a back-off when that is in time
    bool slowStart = true; //!< behind the end few are sent at first
};

struct BackoffLoad {
    BackoffPolicy policy;
    int gateways = 5;
    int upstreams = 3;
    double perS = 150;      //!< requests a second
    double burst = 1;       //!< factor on them during the trouble
    double shed = 0;        //!< part of the requests that upstreams turn away during the trouble
    Millis backoff{ 1000 }; //!< asked for when a request is turned away
    Millis goal{ 300 };
    Millis deadline{ 1000 };
    std::uint64_t seed = 1;
};

struct BackoffOutcome {
    int asked = 0;  //!< requests of clients
    int inGoal = 0; //!< served within their goal from the first try on
    int late = 0;   //!< served later
    int lost = 0;
    int against = 0; //!< sends that came to an upstream later than half a second into a back-off
    int most = 0;    //!< of these the most within one back-off
    int sends = 0;
};

BackoffOutcome playBackoffs( const BackoffLoad& load );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_BACKOFF_WORLD_HPP_INCLUDED
