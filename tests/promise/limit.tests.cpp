// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// An upstream short of capacity names in its answers how many requests a second it takes from all
// gateways together. Guards against gateways that ignore the limit, or that each keep to it alone
// so that their sum exceeds it: engines that had named 1.4 and 1.1 a second got 14 and 12 requests
// within four seconds from gateways that knew the limit, each of which had sent 4 at the most. One
// process therefore counts for all gateways.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::limitWindow;
using support::World;
using support::WorldSize;

namespace {

constexpr double limitPerS = 1.5;
constexpr int callers = 8;
//! Refused callers retry after this pause, whatever Retry-After says.
constexpr Millis retryPause{ 25 };
//! The time until every gateway has to keep to the limits, plus two windows.
constexpr Millis observedTime = knowledgeBound + 2 * limitWindow;

enum class TrafficKind { plain, stream };

//! Results of the requests of all callers.
struct CallCounts {
    int served = 0;
    int refused = 0;
    int finishedCallers = 0; //!< callers that have sent their last request
};

net::Task<> runCaller( World& world, TrafficKind kind, MonoTime until, CallCounts& counts ) {
    while( MonoClock::now() < until ) {
        const auto status =
            kind == TrafficKind::plain ? co_await world.askPlain() : co_await world.askStream();
        counts.served += status == 200 ? 1 : 0;
        counts.refused += status == 503 ? 1 : 0;
        if( status != 200 ) {
            co_await net::pause( world.context, retryPause );
        }
    }
    ++counts.finishedCallers;
}

net::Task<CallCounts> runCallers( World& world, TrafficKind kind, Millis time ) {
    CallCounts counts;
    const auto until = MonoClock::now() + time;
    for( int n = 0; n < callers; ++n ) {
        auto task = runCaller( world, kind, until, counts );
        net::start( world.context, std::move( task ), "caller" );
    }
    while( counts.finishedCallers < callers ) {
        co_await net::pause( world.context, support::pollInterval );
    }
    co_return counts;
}

void nameLimits( World& world, TrafficKind kind, std::optional<double> perS ) {
    for( auto* it : world.runners( kind == TrafficKind::stream ) ) {
        it->nameLimit( perS );
    }
}

void checkLimits( World& world ) {
    for( const auto& it : world.deployment->upstreams() ) {
        INFO( ( it.runner->isEngine() ? "an engine" : "a plain upstream" ) );
        CHECK( it.runner->limit().mostInWindow() <= it.runner->limit().allowed() );
    }
}

//! Requests that all upstreams of this kind together accept under `limitPerS` within a time.
double acceptedUnderLimit( World& world, TrafficKind kind, Millis time ) {
    const auto count = static_cast<double>( world.runners( kind == TrafficKind::stream ).size() );
    return count * limitPerS * std::chrono::duration<double>( time ).count();
}

} // namespace

TEST_CASE( "Engines that name a limit get no more from all gateways together",
           "[promise][limit]" ) {
    World world;
    CallCounts counts;
    world.runScenario( [&]() -> net::Task<> {
        nameLimits( world, TrafficKind::stream, limitPerS );
        counts = co_await runCallers( world, TrafficKind::stream, observedTime );
    } );
    checkLimits( world );
    CHECK( counts.refused > 0 );
    CHECK( counts.served > acceptedUnderLimit( world, TrafficKind::stream, observedTime ) / 2 );
}

TEST_CASE( "Plain upstreams that name a limit get no more from all gateways together",
           "[promise][limit]" ) {
    World world;
    CallCounts counts;
    world.runScenario( [&]() -> net::Task<> {
        nameLimits( world, TrafficKind::plain, limitPerS );
        counts = co_await runCallers( world, TrafficKind::plain, observedTime );
    } );
    checkLimits( world );
    CHECK( counts.refused > 0 );
    CHECK( counts.served > acceptedUnderLimit( world, TrafficKind::plain, observedTime ) / 2 );
}

TEST_CASE( "A limit holds where gateways are connected to some of many sidecars",
           "[promise][limit][size]" ) {
    World world( WorldSize{ 3, 72, 3 } );
    CallCounts counts;
    world.runScenario( [&]() -> net::Task<> {
        nameLimits( world, TrafficKind::plain, limitPerS );
        counts = co_await runCallers( world, TrafficKind::plain, observedTime );
    } );
    checkLimits( world );
    CHECK( counts.served > acceptedUnderLimit( world, TrafficKind::plain, observedTime ) / 2 );
}

TEST_CASE( "A limit holds while no sidecar can be reached", "[promise][limit]" ) {
    World world;
    CallCounts counts;
    world.runScenario( [&]() -> net::Task<> {
        for( auto& it : world.deployment->sidecars() ) {
            it->toIt->setMode( LinkMode::silent );
        }
        nameLimits( world, TrafficKind::plain, limitPerS );
        counts = co_await runCallers( world, TrafficKind::plain, observedTime );
    } );
    checkLimits( world );
    CHECK( counts.served > 0 );
}

TEST_CASE( "What a limit kept away comes again once answers name none", "[promise][limit]" ) {
    constexpr Millis after{ 3000 };
    World world;
    CallCounts counts;
    world.runScenario( [&]() -> net::Task<> {
        nameLimits( world, TrafficKind::plain, limitPerS );
        co_await runCallers( world, TrafficKind::plain, knowledgeBound );
        nameLimits( world, TrafficKind::plain, std::nullopt );
        co_await runCallers( world, TrafficKind::plain, after );
        counts = co_await runCallers( world, TrafficKind::plain, after );
    } );
    CHECK( counts.refused == 0 );
    CHECK( counts.served > 2 * acceptedUnderLimit( world, TrafficKind::plain, after ) );
}
