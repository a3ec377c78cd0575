// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// Engines fetch the shared part of prompts from the engine that has it. Guards against gateways and
// sidecars that each decide rightly while the instruction does not reach the engine, against
// clients that give the instruction themselves, and against requests that fail because a source has
// ended.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::World;

namespace {

constexpr int parallelRequests = 60;
//! Longer than the interval of load reports, so that the gateway knows which engine has the part.
constexpr Millis reportsHeard{ 600 };
constexpr Millis checkInterval{ 20 };

//! Sends requests at once, more than one engine takes; returns how many were served.
net::Task<int> askAtOnce( World& world ) {
    int served = 0;
    int ended = 0;
    for( int n = 0; n < parallelRequests; ++n ) {
        auto one = [&world, &served, &ended]() -> net::Task<> {
            const auto status = co_await world.askStream();
            served += status == 200 ? 1 : 0;
            ++ended;
        };
        net::asio::co_spawn( world.context, one, net::asio::detached );
    }
    while( ended < parallelRequests ) {
        co_await net::pause( world.context, checkInterval );
    }
    co_return served;
}

} // namespace

TEST_CASE( "Engines that lack a shared part are told which one has it",
           "[promise][fetch][process]" ) {
    World world;
    world.oneGateway = true;
    world.ownEnds = true;
    int served = 0;
    world.runScenario( [&]() -> net::Task<> {
        co_await world.askStreams( 3 );
        co_await net::pause( world.context, reportsHeard );
        served = co_await askAtOnce( world );
    } );
    // Some are refused: all together take longer than their goal at any engine.
    CHECK( served >= parallelRequests / 2 );
    CHECK( world.record.countOf( toldToFetch ) > 0 );
    CHECK( world.record.breaches().empty() );
}

TEST_CASE( "Requests are served while an engine that gave parts ends",
           "[promise][fetch][process]" ) {
    World world;
    world.oneGateway = true;
    world.ownEnds = true;
    int served = 0;
    world.runScenario( [&]() -> net::Task<> {
        co_await world.askStreams( 3 );
        co_await net::pause( world.context, reportsHeard );
        co_await askAtOnce( world );
        world.runners( true )[0]->crash();
        served = co_await world.askStreams( 6 );
    } );
    CHECK( served == 6 );
    CHECK( world.record.breaches().empty() );
}
