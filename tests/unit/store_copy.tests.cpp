// SPDX-License-Identifier: BSL-1.0
#include "decide/store_position.hpp"
#include "gateway/links/registry.hpp"
#include "gateway/links/store_feed.hpp"
#include "platform/store_wire.hpp"
#include "support/object_store.hpp"
#include "support/run_until.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>

using namespace coursehead;
using namespace coursehead::gateway;
using namespace std::chrono_literals;
using decide::Continuity;
using decide::continuityOf;
using decide::StorePosition;
using support::ObjectStore;

namespace {

constexpr MonoTime start{ 1000s };

Upstream makeUpstream( const std::string& id, UpstreamState state, StorePosition created,
                       StartTime startTime = 0 ) {
    Upstream out;
    out.id = id;
    out.ip = "127.0.0.1";
    out.port = 80;
    out.state = state;
    out.created = created;
    out.born = startTime;
    return out;
}

//! A follower of one object kind, with an object store on the same event loop.
struct FollowerFixture {
    net::asio::io_context context{ 1 };
    ObjectStore store{ context };
    RandomSource random{ 1 };
    std::set<std::string> names;
    int restorations = 0;
    std::unique_ptr<Follower> follower;

    FollowerFixture() {
        FollowerHandlers handlers;
        handlers.listing = [this]( const auto& objects ) {
            names.clear();
            for( const auto& it : objects ) {
                names.insert( it.name );
            }
        };
        handlers.event = [this]( const auto& event ) {
            if( event.removed ) {
                names.erase( event.object.name );
            } else {
                names.insert( event.object.name );
            }
        };
        handlers.reachable = []( bool ) {
        };
        handlers.restored = [this] {
            ++restorations;
        };
        FollowerSettings settings;
        settings.kind = "things";
        settings.wait = 100ms;
        platform::Endpoint endpoint;
        endpoint.ip = "127.0.0.1";
        endpoint.port = store.port();
        follower = std::make_unique<Follower>( context, endpoint, settings, random,
                                               std::move( handlers ) );
    }

    bool runUntil( const std::function<bool()>& condition ) {
        return support::runUntil( context, condition );
    }
};

} // namespace

TEST_CASE( "A position of a newer era is newer whatever its revision, and no continuation",
           "[store]" ) {
    CHECK( continuityOf( { 1, 9 }, { 1, 9 } ) == Continuity::follows );
    CHECK( continuityOf( { 1, 9 }, { 1, 12 } ) == Continuity::follows );
    CHECK( continuityOf( { 1, 9 }, { 1, 8 } ) == Continuity::former );
    CHECK( continuityOf( { 2, 3 }, { 1, 900 } ) == Continuity::former );
    CHECK( continuityOf( { 1, 900 }, { 2, 3 } ) == Continuity::otherHistory );
    CHECK( continuityOf( { 0, 9 }, { 0, 12 } ) == Continuity::follows );
}

TEST_CASE( "Fencing tokens rise over the store's copies", "[store]" ) {
    CHECK( decide::fencingToken( { 0, 41 } ) == 41U );
    CHECK( decide::fencingToken( { 1, 900 } ) > decide::fencingToken( { 1, 899 } ) );
    CHECK( decide::fencingToken( { 2, 3 } ) > decide::fencingToken( { 1, 4000000000 } ) );
}

TEST_CASE( "An era is a whole number and nothing else", "[store][platform]" ) {
    CHECK( platform::readEra( "17" ) == 17U );
    for( const auto* it : { "", "-1", "1.5", "two", "1 ", "99999999999999999999" } ) {
        INFO( it );
        CHECK( platform::readEra( it ) == std::nullopt );
    }
}

TEST_CASE( "A follower knows what the store holds after any course of writes and copies",
           "[store][property]" ) {
    rc::check( [] {
        FollowerFixture f;
        auto task = f.follower->run();
        net::start( f.context, std::move( task ), "follower" );
        std::set<std::string> expectedNames;
        std::set<std::string> copiedNames;
        f.store.saveCopy();
        const auto steps = *rc::gen::container<std::vector<int>>( 12, rc::gen::inRange( 0, 10 ) );
        for( const int step : steps ) {
            const auto name = std::string( "n" ) + std::to_string( step % 4 );
            if( step == 9 ) {
                f.store.restoreCopy();
                expectedNames = copiedNames;
            } else if( step == 8 ) {
                f.store.saveCopy();
                copiedNames = expectedNames;
            } else if( step < 5 ) {
                f.store.put( "things", name, f.store.revision() );
                expectedNames.insert( name );
            } else {
                f.store.remove( "things", name );
                expectedNames.erase( name );
            }
            f.context.run_one_for( 1ms );
        }
        RC_ASSERT( f.runUntil( [&] {
            return f.names == expectedNames && f.follower->position().era == f.store.era();
        } ) );
        f.follower->stop();
    } );
}

TEST_CASE( "A follower hears that the store has come back from a copy, before it takes its listing",
           "[store]" ) {
    FollowerFixture f;
    f.store.put( "things", "old", 1 );
    f.store.saveCopy();
    f.store.put( "things", "new", 1 );
    auto task = f.follower->run();
    net::start( f.context, std::move( task ), "follower" );
    REQUIRE( f.runUntil( [&] { return f.names.size() == 2; } ) );
    CHECK( f.restorations == 0 );
    f.store.restoreCopy();
    f.store.restoreCopy();
    REQUIRE( f.runUntil( [&] { return f.names == std::set<std::string>{ "old" }; } ) );
    CHECK( f.restorations == 1 );
    // The follower drops relayed updates of the former era, and changes of an era that it does not
    // know. It accepts a complete snapshot of a newer era.
    CHECK_FALSE( f.follower->acceptRelayed( { 1, 9000 }, true, MonoTime::max() ) );
    CHECK_FALSE( f.follower->acceptRelayed( { 9, 1 }, false, MonoTime::max() ) );
    CHECK( f.follower->acceptRelayed( { 9, 1 }, true, MonoTime::max() ) );
    CHECK( f.restorations == 2 );
    f.follower->stop();
}

TEST_CASE( "An upstream that the store's copy lacks stays until it had time to write again",
           "[store][registry]" ) {
    Registry registry{ Registry::Settings{ 2000ms } };
    registry.storeReachable( true, start );
    registry.applyListing( { makeUpstream( "u1", UpstreamState::ready, { 1, 5 } ) }, start );
    const auto restoredAt = start + 60s;
    registry.storeRestored( restoredAt );
    registry.applyListing( {}, restoredAt );
    registry.expire( restoredAt + 1900ms );
    CHECK( registry.members().contains( "u1" ) );
    SECTION( "written again it stays" ) {
        registry.put( makeUpstream( "u1", UpstreamState::ready, { 2, 3 } ), restoredAt + 1900ms );
        registry.expire( restoredAt + 2100ms );
        CHECK( registry.members().contains( "u1" ) );
    }
    SECTION( "otherwise it is gone" ) {
        registry.expire( restoredAt + 2100ms );
        CHECK_FALSE( registry.members().contains( "u1" ) );
    }
}

TEST_CASE( "An upstream that leaves does not stay because the store's copy is older than its word",
           "[store][registry]" ) {
    Registry registry{ Registry::Settings{ 2000ms } };
    registry.storeReachable( true, start );
    registry.applyListing( { makeUpstream( "u1", UpstreamState::draining, { 1, 5 } ) }, start );
    registry.storeRestored( start + 1s );
    registry.applyListing( { makeUpstream( "u1", UpstreamState::ready, { 2, 5 } ) }, start + 1s );
    CHECK( registry.members().at( "u1" ).upstream.state == UpstreamState::draining );
    registry.remove( "u1", start + 2s );
    CHECK_FALSE( registry.members().contains( "u1" ) );
    SECTION( "nor does it come back when it has gone" ) {
        registry.applyListing( { makeUpstream( "u1", UpstreamState::ready, { 3, 5 } ) },
                               start + 3s );
        CHECK_FALSE( registry.members().contains( "u1" ) );
    }
    SECTION( "a later start under its id does" ) {
        registry.put( makeUpstream( "u1", UpstreamState::ready, { 3, 5 }, 1700000000000 ),
                      start + 3s );
        CHECK( registry.members().at( "u1" ).upstream.state == UpstreamState::ready );
    }
}

TEST_CASE( "Of two upstreams at one address the one of the newer history holds",
           "[store][registry]" ) {
    Registry registry{ Registry::Settings{} };
    registry.applyListing( { makeUpstream( "lost", UpstreamState::ready, { 1, 900 } ) }, start );
    registry.put( makeUpstream( "present", UpstreamState::ready, { 2, 3 } ), start );
    CHECK( registry.members().contains( "present" ) );
    CHECK_FALSE( registry.members().contains( "lost" ) );
}
