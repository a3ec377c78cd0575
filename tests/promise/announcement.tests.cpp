// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// An upstream that turns a request away may ask its sender for a back-off: nothing more for so
// many seconds. No gateway heard it. A refusal counted for half a failure, 75 ms of cost that fades
// within seconds, and as soon as that was the least of all costs the next request went there:
//
//     33.016 event=send_refused upstream=i-312e19 why="status 503"      (it asked for 3 s)
//     35.580 event=send upstream=i-312e19 send=2 candidates=2 cost_ms=75
//     35.711 event=send upstream=i-312e19 send=1 candidates=3 cost_ms=74
//     35.768 event=send upstream=i-312e19 send=1 candidates=3 cost_ms=73
//
// The two other upstreams of the service failed requests at the time. Where six engines asked for a
// back-off at once, one request went to four of them within 7 ms. Likewise upstreams say in their
// answers that they leave; a gateway knew it from the store alone, and in a cut never.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::World;

namespace {

//! Requests that may cross an upstream's wish; more is too much, whoever sends them.
constexpr int mostCrossing = 2;
constexpr Millis backoff{ 2500 };
//! Behind the bound it still serves what comes for this long, and counts it.
constexpr Millis servesOn{ 1000 };

} // namespace

TEST_CASE( "An upstream that asked for a back-off gets it, though all others fail",
           "[promise][announcement]" ) {
    World world;
    world.oneGateway = true;
    world.play( [&]() -> net::Task<> {
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
    CHECK( world.record.mostInBackoff() <= mostCrossing );
}

TEST_CASE( "When all engines ask for a back-off a request is refused with when the first ends",
           "[promise][announcement]" ) {
    World world;
    world.oneGateway = true;
    int refused = 0;
    bool servedAgain = false;
    world.play( [&]() -> net::Task<> {
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
    CHECK( world.record.mostInBackoff() <= mostCrossing );
}

TEST_CASE( "A gateway that the store does not reach hears from upstreams that they leave",
           "[promise][announcement]" ) {
    World world;
    world.oneGateway = true;
    world.play( [&]() -> net::Task<> {
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
        const auto until = MonoClock::now() + drainBound + servesOn;
        while( MonoClock::now() < until ) {
            co_await world.askPlain();
        }
    } );
    CHECK( world.record.countOf( saidItLeaves ) == 1 );
    CHECK( world.record.countOf( cameAfterLeaving ) == 0 );
}
