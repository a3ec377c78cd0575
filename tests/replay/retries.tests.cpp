// SPDX-License-Identifier: BSL-1.0
#include "replay/retry_world.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>

// Guards against gateways whose retries together exceed the bound of a service: the allowance of a
// gateway began anew with its process.

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 8;

RetryOutcome simulateSeeds( const RetryLoad& load, const std::vector<RetryEvent>& events,
                            RetryPolicy policy, const std::string& name ) {
    RetryOutcome out;
    out.maxExcess = -1000000;
    for( int n = 1; n <= seeds; ++n ) {
        const auto got = simulateRetries( load, events, policy, static_cast<std::uint64_t>( n ) );
        out.maxExcess = std::max( out.maxExcess, got.maxExcess );
        out.requests += got.requests;
        out.served += got.served;
        out.retries += got.retries;
    }
    std::cout << "retries, " << name << ": " << out.maxExcess << " above the bound at most, "
              << out.retries << " retries, served " << out.served << " of " << out.requests << "\n";
    return out;
}

void checkBound( const RetryLoad& load, const std::vector<RetryEvent>& events,
                 const std::string& name ) {
    simulateSeeds( load, events, RetryPolicy::window, name + ", sliding window" );
    simulateSeeds( load, events, RetryPolicy::quietWindow, name + ", window, quiet at first" );
    simulateSeeds( load, events, RetryPolicy::requests, name + ", earned by requests" );
    const auto got = simulateSeeds( load, events, RetryPolicy::budget, name + ", budget" );
    INFO( name );
    CHECK( got.maxExcess <= 0 );
    CHECK( got.retries > 0 );
}

std::vector<RetryEvent> fourKills() {
    return { { RetryFault::kill, 6000ms, 6300ms },
             { RetryFault::kill, 8000ms, 8300ms },
             { RetryFault::kill, 10000ms, 10300ms },
             { RetryFault::kill, 12000ms, 12300ms } };
}

} // namespace

TEST_CASE( "Gateways that do not restart keep the retry budget together", "[replay][retries]" ) {
    checkBound( {}, {}, "no restarts" );
    RetryLoad shortFailures;
    shortFailures.failingFraction = 0.2;
    shortFailures.failingFrom = 12000ms;
    shortFailures.failingTo = 16000ms;
    checkBound( shortFailures, {}, "a fifth fails for 4 s" );
}

TEST_CASE( "Restarted gateways do not spend the retry budget again", "[replay][retries]" ) {
    checkBound( {}, { { RetryFault::kill, 6000ms, 6300ms } }, "all killed once" );
    checkBound( {}, fourKills(), "all killed four times" );
    checkBound(
        {},
        { { RetryFault::kill, 5000ms, 5300ms, 0.5 }, { RetryFault::kill, 9000ms, 14000ms, 0.75 } },
        "some killed" );
}

TEST_CASE( "Gateways that start do not spend the retry budget again", "[replay][retries]" ) {
    checkBound( {}, { { RetryFault::add, 6000ms, 6000ms } }, "twice as many gateways" );
    checkBound( {}, { { RetryFault::kill, 4000ms, 12000ms, 0.75 } },
                "three of four gone for longer than their number is kept" );
}

TEST_CASE( "Gateways that sidecars see only in part keep the retry budget", "[replay][retries]" ) {
    checkBound( {}, { { RetryFault::split, 2000ms, 14000ms } }, "half seen for 12 s" );
}

TEST_CASE( "Few requests: restarted gateways keep the retry budget", "[replay][retries]" ) {
    RetryLoad load;
    load.requestsPerS = 10;
    load.failingFraction = 1;
    checkBound( load, fourKills(), "few requests, all killed four times" );
    checkBound( load, { { RetryFault::split, 2000ms, 14000ms } }, "few requests, half seen" );
    load.failingFrom = 18000ms;
    checkBound( load, { { RetryFault::split, 2000ms, 30000ms } },
                "few requests, half seen before" );
}

TEST_CASE( "Four hundred gateways keep the retry budget through restarts", "[replay][retries]" ) {
    RetryLoad load;
    load.gateways = 400;
    load.requestsPerS = 500;
    load.bound.slack = 1040;
    checkBound( load, fourKills(), "400 gateways" );
    load.bound.slack = 54;
    checkBound( load, fourKills(), "400 gateways with little slack" );
}
