// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// An upstream in need names in its answers how many requests a second it takes from all gateways
// together. Engines that had named 1.4 and 1.1 a second got 14 and 12 within four seconds from
// gateways that they had told, each of which had sent 4 at the most:
//
//     8.612 front-petone-2 event=send upstream=i-a4f603 send=1 cost_ms=70     (limit named
//     at 8.000) 9.548 front-thorndon-1 event=send upstream=i-a4f603 send=1 cost_ms=8 10.376
//     front-thorndon-2 event=send upstream=i-a4f603 send=1 cost_ms=42 10.803 front-porirua-1
//     event=send upstream=i-a4f603 send=1 cost_ms=10
//
// Nobody read the limit; and had each gateway kept to it by itself, the sum would have passed it
// all the same, since none alone did. Now one process counts for all.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::limitWindow;
using support::World;
using support::WorldSize;

namespace {

constexpr double limitPerS = 1.5;
constexpr int callers = 8;
//! Callers that were turned away come back after this, whatever they were told.
constexpr Millis comeBack{ 25 };
//! Until every gateway has to keep to the limits, and two windows.
constexpr Millis watched = knowledgeBound + 2 * limitWindow;

enum class Asked { plain, stream };

//! Requests of all callers until a moment.
struct Calls {
    int served = 0;
    int refused = 0;
    int ended = 0; //!< callers that have stopped
};

net::Task<> call( World& world, Asked what, MonoTime until, Calls& calls ) {
    while( MonoClock::now() < until ) {
        const auto status =
            what == Asked::plain ? co_await world.askPlain() : co_await world.askStream();
        calls.served += status == 200 ? 1 : 0;
        calls.refused += status == 503 ? 1 : 0;
        if( status != 200 ) {
            co_await net::pause( world.context, comeBack );
        }
    }
    ++calls.ended;
}

net::Task<Calls> callFor( World& world, Asked what, Millis time ) {
    Calls calls;
    const auto until = MonoClock::now() + time;
    for( int n = 0; n < callers; ++n ) {
        auto task = call( world, what, until, calls );
        net::start( world.context, std::move( task ), "caller" );
    }
    while( calls.ended < callers ) {
        co_await net::pause( world.context, support::look );
    }
    co_return calls;
}

void nameLimits( World& world, Asked what, std::optional<double> perS ) {
    for( auto* it : world.runners( what == Asked::stream ) ) {
        it->nameLimit( perS );
    }
}

void checkLimits( World& world ) {
    for( const auto& it : world.deployment->upstreams() ) {
        INFO( ( it.runner->isEngine() ? "an engine" : "a plain upstream" ) );
        CHECK( it.runner->limit().most() <= it.runner->limit().allowed() );
    }
}

//! Requests that upstreams with this limit take in a time.
double taken( World& world, Asked what, Millis time ) {
    const auto count = static_cast<double>( world.runners( what == Asked::stream ).size() );
    return count * limitPerS * std::chrono::duration<double>( time ).count();
}

} // namespace

TEST_CASE( "Engines that name a limit get no more from all gateways together",
           "[promise][limit]" ) {
    World world;
    Calls calls;
    world.play( [&]() -> net::Task<> {
        nameLimits( world, Asked::stream, limitPerS );
        calls = co_await callFor( world, Asked::stream, watched );
    } );
    checkLimits( world );
    CHECK( calls.refused > 0 );
    CHECK( calls.served > taken( world, Asked::stream, watched ) / 2 );
}

TEST_CASE( "Plain upstreams that name a limit get no more from all gateways together",
           "[promise][limit]" ) {
    World world;
    Calls calls;
    world.play( [&]() -> net::Task<> {
        nameLimits( world, Asked::plain, limitPerS );
        calls = co_await callFor( world, Asked::plain, watched );
    } );
    checkLimits( world );
    CHECK( calls.refused > 0 );
    CHECK( calls.served > taken( world, Asked::plain, watched ) / 2 );
}

TEST_CASE( "A limit holds where gateways are connected to some of many sidecars",
           "[promise][limit][size]" ) {
    World world( WorldSize{ 3, 72, 3 } );
    Calls calls;
    world.play( [&]() -> net::Task<> {
        nameLimits( world, Asked::plain, limitPerS );
        calls = co_await callFor( world, Asked::plain, watched );
    } );
    checkLimits( world );
    CHECK( calls.served > taken( world, Asked::plain, watched ) / 2 );
}

TEST_CASE( "A limit holds while no sidecar can be reached", "[promise][limit]" ) {
    World world;
    Calls calls;
    world.play( [&]() -> net::Task<> {
        for( auto& it : world.deployment->sidecars() ) {
            it->toIt->setMode( LinkMode::silent );
        }
        nameLimits( world, Asked::plain, limitPerS );
        calls = co_await callFor( world, Asked::plain, watched );
    } );
    checkLimits( world );
    CHECK( calls.served > 0 );
}

TEST_CASE( "What a limit kept away comes again once answers name none", "[promise][limit]" ) {
    constexpr Millis after{ 3000 };
    World world;
    Calls calls;
    world.play( [&]() -> net::Task<> {
        nameLimits( world, Asked::plain, limitPerS );
        co_await callFor( world, Asked::plain, knowledgeBound );
        nameLimits( world, Asked::plain, std::nullopt );
        co_await callFor( world, Asked::plain, after );
        calls = co_await callFor( world, Asked::plain, after );
    } );
    CHECK( calls.refused == 0 );
    CHECK( calls.served > 2 * taken( world, Asked::plain, after ) );
}
