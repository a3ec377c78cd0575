// SPDX-License-Identifier: BSL-1.0
#include "replay/backoff_world.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 8;
//! Sends of one gateway that may arrive during one back-off of an upstream.
constexpr int maxSendsPerBackoff = 2;

BackoffOutcome simulateSeeds( BackoffLoad load, const std::string& name ) {
    BackoffOutcome out;
    for( int n = 1; n <= seeds; ++n ) {
        load.seed = static_cast<std::uint64_t>( n );
        const auto got = simulateBackoffs( load );
        out.requests += got.requests;
        out.withinGoal += got.withinGoal;
        out.late += got.late;
        out.failed += got.failed;
        out.sendsDuringBackoff += got.sendsDuringBackoff;
        out.maxDuringOneBackoff = std::max( out.maxDuringOneBackoff, got.maxDuringOneBackoff );
        out.sends += got.sends;
    }
    std::cout << "back-offs, " << name << ": of " << out.requests << " requests " << out.withinGoal
              << " within their goal, " << out.late << " late, " << out.failed << " failed; "
              << out.sends << " sends, " << out.sendsDuringBackoff << " during a back-off, "
              << out.maxDuringOneBackoff << " at most during one back-off\n";
    return out;
}

struct Comparison {
    BackoffOutcome ignored;
    BackoffOutcome waiting;
    BackoffOutcome withoutSlowStart;
    BackoffOutcome product;
};

Comparison compare( BackoffLoad load, const std::string& name ) {
    const auto withPolicy = [&]( BackoffPolicy policy, const char* text ) {
        load.policy = policy;
        return simulateSeeds( load, name + ", " + text );
    };
    BackoffPolicy ignored;
    ignored.honoursBackoff = false;
    ignored.slowStart = false;
    BackoffPolicy waiting;
    waiting.waitsForBackoffEnd = true;
    BackoffPolicy waitingWithoutSlowStart = waiting;
    waitingWithoutSlowStart.slowStart = false;
    withPolicy( waitingWithoutSlowStart, "waiting, no slow start" );
    BackoffPolicy withoutSlowStart;
    withoutSlowStart.slowStart = false;
    return { withPolicy( ignored, "ignored" ), withPolicy( waiting, "waiting, slow start" ),
             withPolicy( withoutSlowStart, "refusing, no slow start" ),
             withPolicy( {}, "refusing, slow start" ) };
}

} // namespace

TEST_CASE( "Under a burst that upstreams turn away, whoever is refused at once is served the most",
           "[replay][announcement]" ) {
    BackoffLoad load;
    load.burstFactor = 8;
    const auto got = compare( load, "burst" );
    CHECK( got.ignored.maxDuringOneBackoff > maxSendsPerBackoff );
    CHECK( got.product.maxDuringOneBackoff <= maxSendsPerBackoff );
    CHECK( got.product.withinGoal > got.withoutSlowStart.withinGoal );
    CHECK( got.product.withinGoal > got.waiting.withinGoal );
}

TEST_CASE( "Where upstreams turn part of the requests away for seconds, back-offs are kept",
           "[replay][announcement]" ) {
    BackoffLoad load;
    load.shedFraction = 0.4;
    load.backoff = 3000ms;
    const auto shortDeadline = compare( load, "shed, 1 s" );
    CHECK( shortDeadline.ignored.maxDuringOneBackoff > maxSendsPerBackoff );
    CHECK( shortDeadline.product.maxDuringOneBackoff <= maxSendsPerBackoff );
    load.goal = 800ms;
    load.deadline = 5000ms;
    const auto longDeadline = compare( load, "shed, 5 s" );
    CHECK( longDeadline.product.maxDuringOneBackoff <= maxSendsPerBackoff );
    CHECK( longDeadline.product.withinGoal > longDeadline.withoutSlowStart.withinGoal );
    CHECK( longDeadline.product.withinGoal > longDeadline.waiting.withinGoal );
}
