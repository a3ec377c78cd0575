// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// Evacuated halls and home regions of requests. Guards against gateways that send requests to an
// evacuated hall or out of their home regions, whether the gateway learns of these from a change as
// it happens, from a list at its start or from a configuration.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::World;

namespace {

constexpr int requestCount = 12;
//! Added to a bound, so that requests sent within the bound have arrived.
constexpr Millis arrivalMargin{ 200 };

net::Task<> streamUntil( World& world, std::function<bool()> condition ) {
    while( !condition() ) {
        co_await world.askStreams( 1 );
    }
}

} // namespace

TEST_CASE( "A hall that is emptied gets no requests until that is taken back, whoever starts anew",
           "[promise][halls]" ) {
    World world;
    world.sharedPrefix = false;
    int servedWhileEmptied = 0;
    int sentToEmptied = 0;
    int sentAfterRestart = 0;
    world.runScenario( [&]() -> net::Task<> {
        auto& record = world.record;
        auto& store = world.deployment->store();
        co_await streamUntil( world, [&] { return record.runsIn( "hall-0" ) > 2; } );
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await net::pause( world.context, evacuationBound + arrivalMargin );
        const int before = record.runsIn( "hall-0" );
        servedWhileEmptied = co_await world.askStreams( requestCount );
        sentToEmptied = record.runsIn( "hall-0" ) - before;
        world.restartAll();
        co_await world.waitUntilSettled();
        co_await world.askStreams( requestCount );
        sentAfterRestart = record.runsIn( "hall-0" ) - before - sentToEmptied;
        store.remove( "evacuations", "hall-0" );
        co_await streamUntil( world, [&] { return record.runsIn( "hall-0" ) > before + 1; } );
    } );
    CHECK( sentToEmptied == 0 );
    CHECK( servedWhileEmptied == requestCount );
    CHECK( sentAfterRestart == 0 );
}

TEST_CASE( "An emptied hall that nobody knows changes nothing", "[promise][halls]" ) {
    World world;
    int served = 0;
    world.runScenario( [&]() -> net::Task<> {
        world.deployment->store().put( "evacuations", "nowhere", 5 );
        world.deployment->store().put( "evacuations", "", nullptr );
        co_await net::pause( world.context, evacuationBound );
        served = co_await world.askStreams( requestCount );
    } );
    CHECK( served == requestCount );
}

TEST_CASE( "Requests with home regions are served there only, and refused where there is none",
           "[promise][halls]" ) {
    World world;
    world.sharedPrefix = false;
    int served = 0;
    int sentOutsideHome = 0;
    unsigned statusWithoutHome = 0;
    int runsWithoutHome = 0;
    world.runScenario( [&]() -> net::Task<> {
        auto& record = world.record;
        world.deployment->setHomes( { "region-1" } );
        world.deployment->changeConfiguration();
        co_await net::pause( world.context, configurationBound + arrivalMargin );
        const int before = record.runsIn( "hall-0" );
        served = co_await world.askStreams( requestCount );
        sentOutsideHome = record.runsIn( "hall-0" ) - before;
        world.deployment->setHomes( { "region-9" } );
        world.deployment->changeConfiguration();
        co_await net::pause( world.context, configurationBound + arrivalMargin );
        const int runsBefore = record.runsIn( "hall-0" ) + record.runsIn( "hall-1" );
        std::string method = "POST";
        std::string path = "/stream/a";
        std::string body = "last";
        statusWithoutHome =
            co_await world.ask( std::move( method ), std::move( path ), std::move( body ) );
        runsWithoutHome = record.runsIn( "hall-0" ) + record.runsIn( "hall-1" ) - runsBefore;
    } );
    CHECK( served == requestCount );
    CHECK( sentOutsideHome == 0 );
    CHECK( statusWithoutHome == 503 );
    CHECK( runsWithoutHome == 0 );
}
