// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_ORDER_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_ORDER_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "sidecar/prompt_gate.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

//! One engine behind the product's prompt gate, in virtual time.
namespace coursehead::replay {

//! Prompts of one route and organisation that arrive at random.
struct PromptStream {
    std::string name;
    std::string organisation;
    int urgency = 5;
    std::int64_t workMs = 0;
    std::int64_t goalMs = 0; //!< until the latest start
    bool mayStartLate = false;
    std::int64_t patienceMs = 0; //!< until the client leaves; for those that may start late
    double perS = 0;
    double burstPerS = 0; //!< while the burst lasts
};

//! What became of a stream's prompts.
struct StreamOutcome {
    int asked = 0;
    int inTime = 0; //!< started before the goal
    int late = 0;
    int refused = 0;   //!< when they asked
    int displaced = 0; //!< told after they had been queued
    int expired = 0;   //!< told after they had been queued, because the engine was slower
    double inTimeShare() const { return asked > 0 ? static_cast<double>( inTime ) / asked : 1; }
};

struct OrderRun {
    std::map<std::string, StreamOutcome> outcomes; //!< by stream
    std::int64_t longestHeldMs = 0; //!< of prompts that may not start late and did not start
    double readingMs = 0;
};

struct OrderPlay {
    std::vector<PromptStream> streams;
    Millis length{ 20000 };
    Millis burstFrom{ 5000 };
    Millis burstTo{ 11500 };
    std::uint64_t seed = 1;
};

OrderRun play( const OrderPlay& in );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_ORDER_WORLD_HPP_INCLUDED
