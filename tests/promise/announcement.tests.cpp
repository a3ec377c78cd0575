// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// An upstream that rejects a request may ask the sender for a back-off, and an upstream that leaves
// says so in its answers. Guards against gateways that ignore both:
// - A rejection counted as half a failure, 75 ms of cost that fades within seconds. As soon as that
//   cost was the lowest, e.g. because the two other upstreams failed, requests went to the upstream
//   again within the 3 s that it had asked for. When six engines asked for a back-off at once, one
//   request went to four of them within 7 ms.
// - Gateways learned from the store alone that an upstream leaves, thus never while partitioned
//   from the store.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::World;

namespace {

//! Requests that may be in flight when the upstream asks for the back-off, over all senders.
constexpr int maxCrossingRequests = 2;
constexpr Millis backoff{ 2500 };
//! For this long after the drain bound the upstream still serves requests and counts them.
constexpr Millis observedAfterBound{ 1000 };

} // namespace

TEST_CASE( "An upstream that asked for a back-off gets it, though all others fail",
           "[promise][announcement]" ) {
    World world;
    world.oneGateway = true;
    world.runScenario( [&]() -> net::Task<> {
        const auto runners = world.runners( false );
        runners[0]->turnAway( 1, backoff );
        while( world.record.countOf( askedForBackoff ) == 0 ) {
            co_await world.askPlain();
        }
        runners[1]->setMode( RunnerMode::failing );
        runners[2]->setMode( RunnerMode::failing );
        const auto until = MonoClock::now() + backoff;
        while( MonoClock::now() < until ) {
            co_await world.askPlain();
        }
    } );
    CHECK( world.record.mostInBackoff() <= maxCrossingRequests );
}

TEST_CASE( "When all engines ask for a back-off a request is refused with when the first ends",
           "[promise][announcement]" ) {
    World world;
    world.oneGateway = true;
    int refused = 0;
    bool servedAgain = false;
    world.runScenario( [&]() -> net::Task<> {
        for( auto* it : world.runners( true ) ) {
            it->turnAway( 1, backoff );
        }
        const auto until = MonoClock::now() + backoff;
        while( MonoClock::now() < until ) {
            const auto status = co_await world.askStream();
            refused += status == 503 ? 1 : 0;
        }
        while( !servedAgain ) {
            const auto status = co_await world.askStream();
            servedAgain = status == 200;
        }
    } );
    CHECK( refused > 0 );
    CHECK( world.record.mostInBackoff() <= maxCrossingRequests );
}

TEST_CASE( "A gateway that the store does not reach hears from upstreams that they leave",
           "[promise][announcement]" ) {
    World world;
    world.oneGateway = true;
    world.runScenario( [&]() -> net::Task<> {
        for( auto& it : world.deployment->gateways() ) {
            it->toStore->setMode( LinkMode::silent );
        }
        for( auto& it : world.deployment->sidecars() ) {
            it->toStore->setMode( LinkMode::silent );
        }
        auto* leaving = world.runners( false )[0];
        leaving->leave();
        while( world.record.countOf( saidItLeaves ) == 0 ) {
            co_await world.askPlain();
        }
        const auto until = MonoClock::now() + drainBound + observedAfterBound;
        while( MonoClock::now() < until ) {
            co_await world.askPlain();
        }
    } );
    CHECK( world.record.countOf( saidItLeaves ) == 1 );
    CHECK( world.record.countOf( cameAfterLeaving ) == 0 );
}
