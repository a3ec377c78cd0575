// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// Guards against gateways that exceed the retry budget of a service because a restarted gateway
// does not know which retries it has sent before.

using namespace coursehead;
using namespace coursehead::soak;
using support::World;

namespace {

constexpr int requestsPerRound = 30;
constexpr int rounds = 5;

net::Task<> askOnce( World& world, int& finished ) {
    co_await world.askPlain();
    ++finished;
}

net::Task<> askAtOnce( World& world, int count ) {
    int finished = 0;
    for( int n = 0; n < count; ++n ) {
        net::start( world.context, askOnce( world, finished ), "caller" );
    }
    while( finished < count ) {
        co_await net::pause( world.context, support::pollInterval );
    }
}

void killGateways( World& world ) {
    for( auto& it : world.deployment->gateways() ) {
        it->down = true;
        it->misses = 2;
        it->child->signal( SIGKILL );
    }
}

} // namespace

TEST_CASE( "Gateways that are killed together do not spend the retry budget again",
           "[promise][retries]" ) {
    World world;
    world.runScenario( [&]() -> net::Task<> {
        for( auto* it : world.runners( false ) ) {
            it->setMode( RunnerMode::full );
        }
        for( int n = 0; n < rounds; ++n ) {
            co_await askAtOnce( world, requestsPerRound );
            killGateways( world );
            co_await world.waitUntilSettled();
        }
    } );
    const auto& retries = world.record.retries( Kind::safe );
    INFO( "at most " << retries.mostInWindow() << " in one window" );
    CHECK( retries.maxExcess() <= 0 );
    CHECK( retries.total() > 0 );
}
