// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

#include <catch2/catch.hpp>

// Some requests end every upstream that starts to run them. Guards against gateways that keep
// sending such a request: its clients retry it as new requests, each with an id of its own, at any
// gateway. Each gateway gave each of them all attempts of its route, charged the failures to the
// upstreams and forgot the request after its answer. With five gateways and two sends a try, one
// request ended 51 engines and another 53; each engine took up to seventeen other requests with it.

using namespace coursehead;
using namespace coursehead::soak;
using support::World;
using support::WorldSize;
using namespace std::chrono_literals;

namespace {

//! Upstreams that one poison request may end: three that are the evidence for its quarantine, and
//! those that received the request before all gateways knew of the quarantine.
constexpr int maxEndedUpstreams = 5;

std::string pathOf( const char* route ) {
    return std::string( "/" ) + route + "/" + std::string( endsUpstream );
}

} // namespace

TEST_CASE( "A stream that ends every engine that runs it stops being sent, at any gateway",
           "[promise][poison]" ) {
    World world;
    unsigned other = 0;
    world.runScenario( [&]() -> net::Task<> {
        co_await world.askRepeatedly( "POST", pathOf( "stream" ), "summary" );
        co_await world.waitUntilSettled();
        other = co_await world.ask( "POST", "/stream/other", "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= maxEndedUpstreams );
    CHECK( other == 200 );
}

TEST_CASE(
    "A stream that ends engines stops being sent where gateways are connected to some of many",
    "[promise][poison][size]" ) {
    World world( WorldSize{ 3, 72, 1 } );
    world.runScenario( [&]() -> net::Task<> {
        co_await world.askRepeatedly( "POST", pathOf( "stream" ), "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= maxEndedUpstreams );
}

TEST_CASE( "A plain request that ends every upstream that runs it stops being sent",
           "[promise][poison]" ) {
    World world;
    world.runScenario(
        [&]() -> net::Task<> { co_await world.askRepeatedly( "GET", pathOf( "safe" ), "" ); } );
    CHECK( world.record.endings( pathOf( "safe" ) + " " ) <= maxEndedUpstreams );
}

TEST_CASE( "What requests have done outlasts every process", "[promise][poison]" ) {
    World world;
    world.runScenario( [&]() -> net::Task<> {
        co_await world.askRepeatedly( "POST", pathOf( "stream" ), "summary" );
        world.restartAll();
        co_await world.askRepeatedly( "POST", pathOf( "stream" ), "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= maxEndedUpstreams );
}
