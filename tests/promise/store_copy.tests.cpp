// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// The store may be restored from a copy that is some seconds old. Its revisions then go back and
// are assigned again, and writes since the copy are missing until their writers repeat them. Guards
// against relays and gateways that compare bare revisions: they dropped updates of a relay whose
// revision was below their own, so that gateways received nothing more until the count had caught
// up, and took objects that the copy lacked for withdrawn.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::StoreMode;
using support::World;

namespace {

constexpr int requestCount = 12;
//! Added to a bound, so that requests sent within the bound have arrived.
constexpr Millis arrivalMargin{ 200 };
//! Long enough for relays to notice.
constexpr Millis outage{ 600 };
//! The store is restored between two calls of any caller, so that no call fails.
constexpr Millis unnoticed{ 0 };
//! Writes that the copy lacks.
constexpr int lostWrites = 200;

//! Makes the store unavailable for `outageTime`, if any, and restores it from its copy.
net::Task<> restore( World& world, Millis outageTime ) {
    auto& store = world.deployment->store();
    if( outageTime.count() > 0 ) {
        store.setMode( StoreMode::busy );
        co_await net::pause( world.context, outageTime );
    }
    store.restoreCopy();
    store.setMode( StoreMode::up );
}

} // namespace

TEST_CASE( "What is written after the store has come back older reaches every gateway",
           "[promise][store]" ) {
    const auto outageTime = GENERATE( unnoticed, outage );
    World world;
    world.sharedPrefix = false;
    int sentToEmptied = 0;
    int served = 0;
    world.runScenario( [&]() -> net::Task<> {
        auto& store = world.deployment->store();
        store.saveCopy();
        for( int n = 0; n < lostWrites; ++n ) {
            store.put( "config", "lost-" + std::to_string( n ), n );
        }
        co_await world.askStreams( requestCount );
        co_await restore( world, outageTime );
        co_await net::pause( world.context, contactBound );
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await net::pause( world.context, evacuationBound + arrivalMargin );
        const int before = world.record.runsIn( "hall-0" );
        served = co_await world.askStreams( requestCount );
        sentToEmptied = world.record.runsIn( "hall-0" ) - before;
    } );
    CHECK( sentToEmptied == 0 );
    CHECK( served == requestCount );
}

TEST_CASE( "A hall that was emptied just before the store came back older stays empty",
           "[promise][store]" ) {
    World world;
    world.sharedPrefix = false;
    int sentToEmptied = 0;
    world.runScenario( [&]() -> net::Task<> {
        auto& store = world.deployment->store();
        store.saveCopy();
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await net::pause( world.context, evacuationBound + arrivalMargin );
        const int before = world.record.runsIn( "hall-0" );
        co_await restore( world, outage );
        co_await world.askStreams( requestCount );
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await world.askStreams( requestCount );
        sentToEmptied = world.record.runsIn( "hall-0" ) - before;
    } );
    CHECK( sentToEmptied == 0 );
}
