// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

#include <catch2/catch.hpp>

// Some requests end every upstream that begins to run them. Their clients send them again, each
// time as a new request with an id of its own, to any gateway; each gateway gave each of them the
// attempts of its route, charged the ends to the upstreams, and forgot the request with its answer.
// In the logs of one evening five gateways sent the same content on, two sends a try, and one
// engine after the other went:
//
//     event=send_failed upstream=i-673c68 why="partial message" cut_stream=no after_ms=1231
//     event=send_failed upstream=i-89a565 why="partial message" cut_stream=no after_ms=1389
//     event=own_answer status=502 why="partial message"
//
// 51 engines ended under one request, 53 under another, and with each up to seventeen requests that
// ran beside it.

using namespace coursehead;
using namespace coursehead::soak;
using support::World;
using support::WorldSize;
using namespace std::chrono_literals;

namespace {

//! Upstreams that may end under a request: three that show what it is, and those that had it before
//! everybody knew.
constexpr int mostEndings = 5;

std::string pathOf( const char* route ) {
    return std::string( "/" ) + route + "/" + std::string( endsUpstream );
}

} // namespace

TEST_CASE( "A stream that ends every engine that runs it stops being sent, at any gateway",
           "[promise][poison]" ) {
    World world;
    unsigned other = 0;
    world.play( [&]() -> net::Task<> {
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
        co_await world.waitUntilSettled();
        other = co_await world.ask( "POST", "/stream/other", "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= mostEndings );
    CHECK( other == 200 );
}

TEST_CASE(
    "A stream that ends engines stops being sent where gateways are connected to some of many",
    "[promise][poison][size]" ) {
    World world( WorldSize{ 3, 72, 1 } );
    world.play( [&]() -> net::Task<> {
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= mostEndings );
}

TEST_CASE( "A plain request that ends every upstream that runs it stops being sent",
           "[promise][poison]" ) {
    World world;
    world.play(
        [&]() -> net::Task<> { co_await world.askAgainAndAgain( "GET", pathOf( "safe" ), "" ); } );
    CHECK( world.record.endings( pathOf( "safe" ) + " " ) <= mostEndings );
}

TEST_CASE( "What requests have done outlasts every process", "[promise][poison]" ) {
    World world;
    world.play( [&]() -> net::Task<> {
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
        world.restartAll();
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= mostEndings );
}
