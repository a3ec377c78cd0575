// SPDX-License-Identifier: BSL-1.0
#include "replay/poison_world.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 8;
//! Sends of a poison content that are allowed later than three seconds after its third crash.
constexpr int maxSendsAfterBound = 3;

//! Runs a load under several seeds and adds up the outcomes; of `sendsAfterBound` and
//! `largestCounterSize` it keeps the largest.
PoisonOutcome simulateSeeds( PoisonLoad load, const std::string& name ) {
    PoisonOutcome out;
    for( int n = 1; n <= seeds; ++n ) {
        load.seed = static_cast<std::uint64_t>( n );
        const auto got = simulatePoison( load );
        out.crashes += got.crashes;
        out.sendsAfterBound = std::max( out.sendsAfterBound, got.sendsAfterBound );
        out.innocentRequests += got.innocentRequests;
        out.interruptedRuns += got.interruptedRuns;
        out.failedRequests += got.failedRequests;
        out.innocentsQuarantined += got.innocentsQuarantined;
        out.messages += got.messages;
        out.largestCounterSize = std::max( out.largestCounterSize, got.largestCounterSize );
    }
    std::cout << "poison, " << name << ": " << out.crashes << " engines crashed, "
              << out.sendsAfterBound << " sends after the bound at most; of "
              << out.innocentRequests << " innocent requests " << out.interruptedRuns
              << " runs interrupted, " << out.failedRequests << " failed, "
              << out.innocentsQuarantined << " quarantined; " << out.messages
              << " messages, largest counter " << out.largestCounterSize << "\n";
    return out;
}

PoisonLoad withPolicy( CountingPolicy policy, int gateways = 5 ) {
    PoisonLoad out;
    out.policy = policy;
    out.gateways = gateways;
    return out;
}

} // namespace

TEST_CASE(
    "Counted by holders, poison ends three engines, and many times that by each gateway alone",
    "[replay][poison]" ) {
    const auto none = simulateSeeds( withPolicy( CountingPolicy::none ), "no counting" );
    const auto perGateway =
        simulateSeeds( withPolicy( CountingPolicy::perGateway ), "each of 5 gateways alone" );
    const auto shared =
        simulateSeeds( withPolicy( CountingPolicy::shared ), "holders, 5 gateways" );
    // Two poison contents under each seed.
    CHECK( shared.crashes <= seeds * 2 * 4 );
    CHECK( shared.sendsAfterBound == 0 );
    CHECK( perGateway.crashes > 2 * shared.crashes );
    CHECK( none.sendsAfterBound > 20 );
    CHECK( shared.failedRequests * 10 < none.failedRequests );
}

TEST_CASE( "How many engines poison ends does not grow with the gateways", "[replay][poison]" ) {
    auto load = withPolicy( CountingPolicy::shared, 200 );
    load.engines = 300;
    load.innocentPerS = 3000;
    load.length = 15s;
    const auto shared = simulateSeeds( load, "holders, 200 gateways, 300 engines" );
    CHECK( shared.crashes <= seeds * 2 * 4 );
    CHECK( shared.sendsAfterBound == 0 );
    CHECK( shared.innocentsQuarantined == 0 );
}

TEST_CASE( "Few innocent requests that ran beside poison are quarantined", "[replay][poison]" ) {
    auto load = withPolicy( CountingPolicy::shared );
    load.innocentPerS = 200;
    const auto threeCrashes = simulateSeeds( load, "three crashes, crowded engines" );
    load.crashThreshold = 2;
    const auto twoCrashes = simulateSeeds( load, "two crashes, crowded engines" );
    load.crashThreshold = 3;
    load.longRunWeight = 1;
    const auto fullWeight = simulateSeeds( load, "three crashes, long runs at full weight" );
    CHECK( threeCrashes.innocentsQuarantined * 1000 <= threeCrashes.innocentRequests );
    CHECK( threeCrashes.innocentsQuarantined * 5 <= twoCrashes.innocentsQuarantined );
    CHECK( threeCrashes.innocentsQuarantined <= fullWeight.innocentsQuarantined );
    CHECK( threeCrashes.crashes <= twoCrashes.crashes * 2 );
}

TEST_CASE( "A power loss of a third of the engines quarantines no content", "[replay][poison]" ) {
    auto load = withPolicy( CountingPolicy::shared, 100 );
    load.engines = 150;
    load.innocentPerS = 4000;
    load.poisonInterval = 0ms;
    load.powerLossAt = 5s;
    load.length = 9s;
    const auto got = simulateSeeds( load, "50 of 150 engines without power" );
    CHECK( got.interruptedRuns > 5000 );
    CHECK( got.innocentsQuarantined == 0 );
}

TEST_CASE( "Poison stays known with holders out of reach, and over a start of everything",
           "[replay][poison]" ) {
    auto load = withPolicy( CountingPolicy::shared );
    load.unreachableHolderFraction = 0.5;
    const auto cut = simulateSeeds( load, "half of the holders unreachable" );
    CHECK( cut.sendsAfterBound <= maxSendsAfterBound );
    load.unreachableHolderFraction = 0;
    load.restartAllAt = 20s;
    const auto stored = simulateSeeds( load, "all restart, quarantines stored" );
    CHECK( stored.sendsAfterBound == 0 );
    load.storePersists = false;
    const auto notStored = simulateSeeds( load, "all restart, quarantines not stored" );
    CHECK( notStored.crashes > stored.crashes );
}
