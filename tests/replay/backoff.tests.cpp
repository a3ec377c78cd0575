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
//! Sends that may cross one wish of an upstream.
constexpr int mostCrossing = 2;

BackoffOutcome playAll( BackoffLoad load, const std::string& name ) {
    BackoffOutcome out;
    for( int n = 1; n <= seeds; ++n ) {
        load.seed = static_cast<std::uint64_t>( n );
        const auto got = playBackoffs( load );
        out.asked += got.asked;
        out.inGoal += got.inGoal;
        out.late += got.late;
        out.lost += got.lost;
        out.against += got.against;
        out.most = std::max( out.most, got.most );
        out.sends += got.sends;
    }
    std::cout << "back-offs, " << name << ": of " << out.asked << " requests " << out.inGoal
              << " in their goal, " << out.late << " late, " << out.lost << " lost; " << out.sends
              << " sends, " << out.against << " against a back-off, " << out.most
              << " within one at the most\n";
    return out;
}

struct Compared {
    BackoffOutcome ignored;
    BackoffOutcome waiting;
    BackoffOutcome abrupt;
    BackoffOutcome product;
};

Compared compare( BackoffLoad load, const std::string& name ) {
    const auto by = [&]( BackoffPolicy policy, const char* text ) {
        load.policy = policy;
        return playAll( load, name + ", " + text );
    };
    BackoffPolicy ignored;
    ignored.heeded = false;
    ignored.slowStart = false;
    BackoffPolicy waiting;
    waiting.waits = true;
    BackoffPolicy waitingAbrupt = waiting;
    waitingAbrupt.slowStart = false;
    by( waitingAbrupt, "waited for, all at once" );
    BackoffPolicy abrupt;
    abrupt.slowStart = false;
    return { by( ignored, "not heeded" ), by( waiting, "waited for, slow start" ),
             by( abrupt, "refused, all at once" ), by( {}, "refused, slow start" ) };
}

} // namespace

TEST_CASE( "Under a burst that upstreams turn away, whoever is refused at once is served the most",
           "[replay][announcement]" ) {
    BackoffLoad load;
    load.burst = 8;
    const auto got = compare( load, "burst" );
    CHECK( got.ignored.most > mostCrossing );
    CHECK( got.product.most <= mostCrossing );
    CHECK( got.product.inGoal > got.abrupt.inGoal );
    CHECK( got.product.inGoal > got.waiting.inGoal );
}

TEST_CASE( "Where upstreams turn part of the requests away for seconds, back-offs are kept",
           "[replay][announcement]" ) {
    BackoffLoad load;
    load.shed = 0.4;
    load.backoff = 3000ms;
    const auto plain = compare( load, "shed, 1 s" );
    CHECK( plain.ignored.most > mostCrossing );
    CHECK( plain.product.most <= mostCrossing );
    load.goal = 800ms;
    load.deadline = 5000ms;
    const auto patient = compare( load, "shed, 5 s" );
    CHECK( patient.product.most <= mostCrossing );
    CHECK( patient.product.inGoal > patient.abrupt.inGoal );
    CHECK( patient.product.inGoal > patient.waiting.inGoal );
}
