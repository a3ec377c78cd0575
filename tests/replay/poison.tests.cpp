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
//! Sends of a content that may follow, from three seconds after its third end on.
constexpr int mostAfter = 3;

//! Plays a load under several seeds; sums, but for `afterBound` and `largestBook`, of which the
//! most.
PoisonOutcome playAll( PoisonLoad load, const std::string& name ) {
    PoisonOutcome out;
    for( int n = 1; n <= seeds; ++n ) {
        load.seed = static_cast<std::uint64_t>( n );
        const auto got = playPoison( load );
        out.ended += got.ended;
        out.afterBound = std::max( out.afterBound, got.afterBound );
        out.innocents += got.innocents;
        out.broken += got.broken;
        out.lost += got.lost;
        out.quarantined += got.quarantined;
        out.messages += got.messages;
        out.largestBook = std::max( out.largestBook, got.largestBook );
    }
    std::cout << "poison, " << name << ": " << out.ended << " engines ended, " << out.afterBound
              << " sends after the bound at the most, of " << out.innocents << " innocents "
              << out.broken << " runs broken, " << out.lost << " lost, " << out.quarantined
              << " taken for poison; " << out.messages << " messages, largest book "
              << out.largestBook << "\n";
    return out;
}

PoisonLoad counted( PoisonWay way, int gateways = 5 ) {
    PoisonLoad out;
    out.way = way;
    out.gateways = gateways;
    return out;
}

} // namespace

TEST_CASE(
    "Counted by holders, poison ends three engines, and many times that by each gateway alone",
    "[replay][poison]" ) {
    const auto none = playAll( counted( PoisonWay::none ), "nobody counts" );
    const auto alone = playAll( counted( PoisonWay::alone ), "each of 5 gateways alone" );
    const auto shared = playAll( counted( PoisonWay::shared ), "holders, 5 gateways" );
    // Two poison contents under each seed.
    CHECK( shared.ended <= seeds * 2 * 4 );
    CHECK( shared.afterBound == 0 );
    CHECK( alone.ended > 2 * shared.ended );
    CHECK( none.afterBound > 20 );
    CHECK( shared.lost * 10 < none.lost );
}

TEST_CASE( "How many engines poison ends does not grow with the gateways", "[replay][poison]" ) {
    auto load = counted( PoisonWay::shared, 200 );
    load.engines = 300;
    load.perS = 3000;
    load.length = 15s;
    const auto shared = playAll( load, "holders, 200 gateways, 300 engines" );
    CHECK( shared.ended <= seeds * 2 * 4 );
    CHECK( shared.afterBound == 0 );
    CHECK( shared.quarantined == 0 );
}

TEST_CASE( "Few that only ran beside poison are taken for it", "[replay][poison]" ) {
    auto load = counted( PoisonWay::shared );
    load.perS = 200;
    const auto three = playAll( load, "three ends, crowded engines" );
    load.enough = 2;
    const auto two = playAll( load, "two ends, crowded engines" );
    load.enough = 3;
    load.proven = 1;
    const auto whole = playAll( load, "three ends, long runs count whole" );
    CHECK( three.quarantined * 1000 <= three.innocents );
    CHECK( three.quarantined * 5 <= two.quarantined );
    CHECK( three.quarantined <= whole.quarantined );
    CHECK( three.ended <= two.ended * 2 );
}

TEST_CASE( "A third of the engines without power make nobody poison", "[replay][poison]" ) {
    auto load = counted( PoisonWay::shared, 100 );
    load.engines = 150;
    load.perS = 4000;
    load.poisonEvery = 0ms;
    load.powerLossAt = 5s;
    load.length = 9s;
    const auto got = playAll( load, "50 of 150 engines without power" );
    CHECK( got.broken > 5000 );
    CHECK( got.quarantined == 0 );
}

TEST_CASE( "Poison stays known with holders out of reach, and over a start of everything",
           "[replay][poison]" ) {
    auto load = counted( PoisonWay::shared );
    load.cutHolders = 0.5;
    const auto cut = playAll( load, "half of the holders out of reach" );
    CHECK( cut.afterBound <= mostAfter );
    load.cutHolders = 0;
    load.restartAllAt = 20s;
    const auto kept = playAll( load, "all start anew, kept in the store" );
    CHECK( kept.afterBound == 0 );
    load.storeKeeps = false;
    const auto lost = playAll( load, "all start anew, not kept" );
    CHECK( lost.ended > kept.ended );
}
