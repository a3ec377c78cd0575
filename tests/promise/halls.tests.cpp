// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// Halls that are emptied, and regions that requests may not leave: whom the store's word reaches
// must not send there, whether it heard of it as it happened, from a list at its start, or from a
// configuration.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::World;

namespace {

constexpr int asks = 12;
//! Behind a bound: what was sent within it has arrived.
constexpr Millis arrival{ 200 };

net::Task<> askUntil( World& world, std::function<bool()> condition ) {
    while( !condition() ) {
        co_await world.askStreams( 1 );
    }
}

} // namespace

TEST_CASE( "A hall that is emptied gets no requests until that is taken back, whoever starts anew",
           "[promise][halls]" ) {
    World world;
    world.samePrompts = false;
    int servedEmptied = 0;
    int sentEmptied = 0;
    int sentByNew = 0;
    world.play( [&]() -> net::Task<> {
        auto& record = world.record;
        auto& store = world.deployment->store();
        co_await askUntil( world, [&] { return record.runsIn( "hall-0" ) > 2; } );
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await net::pause( world.context, evacuationBound + arrival );
        const int before = record.runsIn( "hall-0" );
        servedEmptied = co_await world.askStreams( asks );
        sentEmptied = record.runsIn( "hall-0" ) - before;
        world.restartAll();
        co_await world.waitUntilSettled();
        co_await world.askStreams( asks );
        sentByNew = record.runsIn( "hall-0" ) - before - sentEmptied;
        store.remove( "evacuations", "hall-0" );
        co_await askUntil( world, [&] { return record.runsIn( "hall-0" ) > before + 1; } );
    } );
    CHECK( sentEmptied == 0 );
    CHECK( servedEmptied == asks );
    CHECK( sentByNew == 0 );
}

TEST_CASE( "An emptied hall that nobody knows changes nothing", "[promise][halls]" ) {
    World world;
    int served = 0;
    world.play( [&]() -> net::Task<> {
        world.deployment->store().put( "evacuations", "nowhere", 5 );
        world.deployment->store().put( "evacuations", "", nullptr );
        co_await net::pause( world.context, evacuationBound );
        served = co_await world.askStreams( asks );
    } );
    CHECK( served == asks );
}

TEST_CASE( "Requests with home regions are served there only, and refused where there is none",
           "[promise][halls]" ) {
    World world;
    world.samePrompts = false;
    int served = 0;
    int elsewhere = 0;
    unsigned homeless = 0;
    int run = 0;
    world.play( [&]() -> net::Task<> {
        auto& record = world.record;
        world.deployment->setHomes( { "region-1" } );
        world.deployment->changeConfiguration();
        co_await net::pause( world.context, configurationBound + arrival );
        const int before = record.runsIn( "hall-0" );
        served = co_await world.askStreams( asks );
        elsewhere = record.runsIn( "hall-0" ) - before;
        world.deployment->setHomes( { "region-9" } );
        world.deployment->changeConfiguration();
        co_await net::pause( world.context, configurationBound + arrival );
        const int all = record.runsIn( "hall-0" ) + record.runsIn( "hall-1" );
        std::string method = "POST";
        std::string path = "/stream/a";
        std::string body = "last";
        homeless = co_await world.ask( std::move( method ), std::move( path ), std::move( body ) );
        run = record.runsIn( "hall-0" ) + record.runsIn( "hall-1" ) - all;
    } );
    CHECK( served == asks );
    CHECK( elsewhere == 0 );
    CHECK( homeless == 503 );
    CHECK( run == 0 );
}
