// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_ORIGIN_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_ORIGIN_WORLD_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "decide/origin_table.hpp"
#include "decide/resume_rule.hpp"

#include <array>
#include <string>
#include <string_view>
#include <vector>

//! Gateways and holders of stream origins in virtual time, with a joint kill of some of them.
namespace coursehead::replay {

//! Where the origin of a stream is kept.
enum class OriginWay {
    nowhere, //!< a stream goes on at any upstream
    own,     //!< at the gateway that began it
    holders, //!< and at its holders
    copies,  //!< and at other gateways
};

struct OriginScenario {
    OriginWay way = OriginWay::copies;
    int gateways = 5;
    int holders = 16;
    int versions = 2;
    double streamsPerS = 60;
    int killedGateways = 2;
    bool holdersKilled = false;
    std::uint64_t seed = 1;
};

struct OriginOutcome {
    int resumed = 0; //!< streams resumed at gateways that were not killed
    int wentOn = 0;
    int mixed = 0;                    //!< went on at another version
    std::size_t busiestHolderBps = 0; //!< bytes a second, in and out
    std::size_t busiestGatewayBps = 0;
    std::size_t mostOrigins = 0; //!< in one process
};

//! Runs streams for some seconds, kills, and resumes the broken streams.
OriginOutcome runOrigins( const OriginScenario& scenario );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_ORIGIN_WORLD_HPP_INCLUDED
