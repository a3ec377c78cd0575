// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// A store may come back from a copy some seconds old. Its revisions go back and are given out
// again, and what was written since the copy is gone until its writers write it again. Relays and
// gateways compared bare revisions: a relay's word below a gateway's own revision was dropped, so
// that gateways heard of nothing more until the count had caught up, and what the copy lacked was
// taken for withdrawn.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::StoreMode;
using support::World;

namespace {

constexpr int asks = 12;
//! Behind a bound: what was sent within it has arrived.
constexpr Millis arrival{ 200 };
//! Long enough for relays to see it.
constexpr Millis outage{ 600 };
//! Between two calls of everybody.
constexpr Millis unnoticed{ 0 };
//! Writes that the copy does not have.
constexpr int lostWrites = 200;

//! The store is away for so long and comes back from its copy.
net::Task<> restore( World& world, Millis away ) {
    auto& store = world.deployment->store();
    if( away.count() > 0 ) {
        store.setMode( StoreMode::busy );
        co_await net::pause( world.context, away );
    }
    store.restoreCopy();
    store.setMode( StoreMode::up );
}

} // namespace

TEST_CASE( "What is written after the store has come back older reaches every gateway",
           "[promise][store]" ) {
    const auto away = GENERATE( unnoticed, outage );
    World world;
    world.samePrompts = false;
    int sentEmptied = 0;
    int served = 0;
    world.play( [&]() -> net::Task<> {
        auto& store = world.deployment->store();
        store.keepCopy();
        for( int n = 0; n < lostWrites; ++n ) {
            store.put( "config", "lost-" + std::to_string( n ), n );
        }
        co_await world.askStreams( asks );
        co_await restore( world, away );
        co_await net::pause( world.context, contactBound );
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await net::pause( world.context, evacuationBound + arrival );
        const int before = world.record.runsIn( "hall-0" );
        served = co_await world.askStreams( asks );
        sentEmptied = world.record.runsIn( "hall-0" ) - before;
    } );
    CHECK( sentEmptied == 0 );
    CHECK( served == asks );
}

TEST_CASE( "A hall that was emptied just before the store came back older stays empty",
           "[promise][store]" ) {
    World world;
    world.samePrompts = false;
    int sentEmptied = 0;
    world.play( [&]() -> net::Task<> {
        auto& store = world.deployment->store();
        store.keepCopy();
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await net::pause( world.context, evacuationBound + arrival );
        const int before = world.record.runsIn( "hall-0" );
        co_await restore( world, outage );
        co_await world.askStreams( asks );
        store.put( "evacuations", "hall-0", nlohmann::json::object() );
        co_await world.askStreams( asks );
        sentEmptied = world.record.runsIn( "hall-0" ) - before;
    } );
    CHECK( sentEmptied == 0 );
}
