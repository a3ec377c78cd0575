// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_RETRY_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_RETRY_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "support/retry_watch.hpp"

#include <cstdint>
#include <vector>

namespace coursehead::replay {

//! How a gateway limits its retries.
enum class RetryPolicy {
    window,      //!< a share of the bound within a sliding window that starts with the process
    quietWindow, //!< likewise, and no retries in the first window of a process
    requests,    //!< earned by requests alone; the whole slack may be kept
    budget,      //!< the product's: earned by requests and over time
};

enum class RetryFault {
    kill,  //!< gateways restart and forget what they have sent
    split, //!< sidecars see half of the gateways
    add,   //!< more gateways start
};

struct RetryEvent {
    RetryFault kind = RetryFault::kill;
    Millis from{ 0 };
    Millis to{ 0 };
    double fraction = 1; //!< of the gateways
};

//! Requests to one service through several gateways, while a fraction of all sends fails.
struct RetryLoad {
    int gateways = 4;
    double requestsPerS = 128;
    decide::RetryBound bound{ 0.2, 54, Millis{ 10000 } };
    double failingFraction = 0.6;
    Millis failingFrom{ 3000 };
    Millis failingTo{ 34000 };
    Millis length{ 34000 };
};

struct RetryOutcome {
    int maxExcess = 0; //!< retries in one window, less the allowed number; at most 0 is allowed
    int requests = 0;
    int served = 0;
    int retries = 0;
};

RetryOutcome simulateRetries( const RetryLoad& load, const std::vector<RetryEvent>& events,
                              RetryPolicy policy, std::uint64_t seed );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_RETRY_WORLD_HPP_INCLUDED
