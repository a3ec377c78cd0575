// SPDX-License-Identifier: BSL-1.0
#include "replay/origin_world.hpp"

#include <catch2/catch.hpp>

#include <vector>

// Guards against streams that go on at another software version after joint kills, and against
// refusals of most of them.

using namespace coursehead;
using namespace coursehead::replay;

namespace {

struct Kill {
    int gateways = 0;
    bool holders = false;
};
constexpr std::array kills{ Kill{ 2, false }, Kill{ 4, false }, Kill{ 2, true }, Kill{ 4, true } };

OriginOutcome sumOfSeeds( OriginScenario scenario ) {
    constexpr std::uint64_t seeds = 8;
    OriginOutcome out;
    for( scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed ) {
        const auto one = runOrigins( scenario );
        out.resumed += one.resumed;
        out.wentOn += one.wentOn;
        out.mixed += one.mixed;
        out.busiestHolderBps = std::max( out.busiestHolderBps, one.busiestHolderBps );
        out.busiestGatewayBps = std::max( out.busiestGatewayBps, one.busiestGatewayBps );
        out.mostOrigins = std::max( out.mostOrigins, one.mostOrigins );
    }
    return out;
}

} // namespace

TEST_CASE( "Streams resumed after joint kills go on, and only at the version that began them",
           "[replay][versions]" ) {
    for( const auto& kill : kills ) {
        OriginScenario scenario;
        scenario.killedGateways = kill.gateways;
        scenario.holdersKilled = kill.holders;
        const auto outcome = sumOfSeeds( scenario );
        INFO( kill.gateways << " gateways killed, holders " << kill.holders << ": "
                            << outcome.wentOn << " of " << outcome.resumed << " went on" );
        REQUIRE( outcome.resumed >= 12 );
        CHECK( outcome.mixed == 0 );
        CHECK( 2 * outcome.wentOn >= outcome.resumed );
    }
}

TEST_CASE( "Streams of 400 gateways go on after a joint kill, at the target of control traffic",
           "[replay][versions]" ) {
    constexpr std::size_t controlBytesPerS = 5000;
    OriginScenario scenario;
    scenario.gateways = 400;
    scenario.streamsPerS = 480;
    scenario.killedGateways = 100;
    scenario.holdersKilled = true;
    const auto outcome = runOrigins( scenario );
    INFO( outcome.wentOn << " of " << outcome.resumed << " went on, " << outcome.busiestHolderBps
                         << " and " << outcome.busiestGatewayBps << " bytes a second, "
                         << outcome.mostOrigins << " origins" );
    REQUIRE( outcome.resumed >= 12 );
    CHECK( outcome.mixed == 0 );
    CHECK( 2 * outcome.wentOn >= outcome.resumed );
    CHECK( outcome.busiestHolderBps <= controlBytesPerS );
    CHECK( outcome.busiestGatewayBps <= controlBytesPerS );
}

TEST_CASE( "Ways of keeping the origins of streams", "[replay][versions][.ways]" ) {
    for( const auto way :
         { OriginWay::nowhere, OriginWay::own, OriginWay::holders, OriginWay::copies } ) {
        for( const auto& kill : kills ) {
            OriginScenario scenario;
            scenario.way = way;
            scenario.killedGateways = kill.gateways;
            scenario.holdersKilled = kill.holders;
            const auto it = sumOfSeeds( scenario );
            WARN( static_cast<int>( way )
                  << ", " << kill.gateways << " gateways, holders " << kill.holders << ": mixed "
                  << it.mixed << ", went on " << it.wentOn << " of " << it.resumed << ", bytes "
                  << it.busiestHolderBps << " " << it.busiestGatewayBps << ", origins "
                  << it.mostOrigins );
        }
    }
    for( const double rate : { 480.0, 9700.0 } ) {
        OriginScenario scenario;
        scenario.gateways = 400;
        scenario.streamsPerS = rate;
        scenario.killedGateways = 100;
        scenario.holdersKilled = true;
        const auto it = runOrigins( scenario );
        WARN( "400 gateways, " << rate << "/s: mixed " << it.mixed << ", went on " << it.wentOn
                               << " of " << it.resumed << ", bytes " << it.busiestHolderBps << " "
                               << it.busiestGatewayBps << ", origins " << it.mostOrigins );
    }
}
