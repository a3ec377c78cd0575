// SPDX-License-Identifier: BSL-1.0
#include "sidecar/relay.hpp"
#include "gateway/links/relay_choice.hpp"
#include "gateway/links/relay_times.hpp"
#include "gateway/links/store_feed.hpp"
#include "support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace coursehead;
using namespace coursehead::gateway;
using namespace std::chrono_literals;
using support::ObjectStore;
using support::RelayFixture;
using support::runUntil;
using support::StoreMode;
using Json = nlohmann::json;

namespace {

RelayCandidate candidate( std::string_view id, bool connected = true, bool avoided = false ) {
    return { id, connected, avoided };
}

} // namespace

TEST_CASE( "All gateways choose the same relay, and the next one when it fails",
           "[gateway][relay]" ) {
    std::vector<RelayCandidate> candidates{ candidate( "a" ), candidate( "b" ), candidate( "c" ) };
    const auto first = chooseRelay( candidates, "gateway-1", 30 );
    REQUIRE( first );
    CHECK( chooseRelay( candidates, "gateway-2", 30 ) == first );
    candidates[*first].avoided = true;
    const auto second = chooseRelay( candidates, "gateway-1", 30 );
    REQUIRE( second );
    CHECK( *second != *first );
    CHECK( chooseRelay( candidates, "gateway-2", 30 ) == second );
    for( auto& it : candidates ) {
        it.connected = false;
    }
    CHECK_FALSE( chooseRelay( candidates, "gateway-1", 30 ) );
}

TEST_CASE( "Many gateways spread over several relays", "[gateway][relay]" ) {
    std::vector<std::string> names;
    for( int n = 0; n < 600; ++n ) {
        names.push_back( "engine-" + std::to_string( n ) );
    }
    std::vector<RelayCandidate> candidates;
    for( const auto& it : names ) {
        candidates.push_back( candidate( it ) );
    }
    std::map<std::size_t, int> gatewaysPerRelay;
    for( int n = 0; n < 400; ++n ) {
        ++gatewaysPerRelay[*chooseRelay( candidates, "gateway-" + std::to_string( n ), 400 )];
    }
    CHECK( gatewaysPerRelay.size() <= 13U );
    for( const auto& [relay, count] : gatewaysPerRelay ) {
        CHECK( count < 64 );
    }
}

TEST_CASE( "A relay gives all that exists first, then what changes", "[sidecar][relay]" ) {
    RelayFixture f;
    f.store.put( "servers", "u1", support::upstreamEntry( "ready" ) );
    f.store.put( "servers", "u2", support::upstreamEntry( "ready" ) );
    f.store.put( "config", "main", { { "version", 1 } } );
    f.subscribe();
    REQUIRE( f.receives( []( const auto& it ) { return it.whole && it.upstreams.size() == 2U; } ) );
    REQUIRE( f.receives( []( const auto& it ) {
        return it.part == StorePart::configuration && it.configuration == R"({"version":1})";
    } ) );
    for( const auto part : { StorePart::quarantines, StorePart::evacuations } ) {
        REQUIRE( f.receives( [part]( const auto& it ) { return it.part == part && it.whole; } ) );
    }
    f.updates.clear();
    f.store.put( "servers", "u1", support::upstreamEntry( "draining" ) );
    f.store.remove( "servers", "u2" );
    REQUIRE( f.receives( []( const auto& it ) {
        return it.upstreams.size() == 1U && it.upstreams[0].state == UpstreamState::draining;
    } ) );
    REQUIRE( f.receives(
        []( const auto& it ) { return it.gone == std::vector<std::string>{ "u2" }; } ) );
    CHECK( f.find( []( const auto& it ) { return it.whole; } ) == nullptr );
}

TEST_CASE( "Adapters that an engine loads are no news for a relay, models are",
           "[sidecar][relay]" ) {
    RelayFixture f;
    f.store.put( "servers", "u1", support::upstreamEntry( "ready" ) );
    f.subscribe();
    REQUIRE( f.receives( []( const auto& it ) { return it.whole; } ) );
    f.updates.clear();
    const auto entryWithAdapters = []( const Json& adapters ) {
        auto out = support::upstreamEntry( "ready" );
        out["models"] = { { { "name", "m" }, { "version", 1 }, { "adapters", adapters } } };
        return out;
    };
    f.store.put( "servers", "u1", entryWithAdapters( Json::array() ) );
    REQUIRE( f.receives( []( const auto& it ) {
        return it.upstreams.size() == 1U && it.upstreams[0].residents.size() == 1U;
    } ) );
    f.updates.clear();
    f.store.put( "servers", "u1", entryWithAdapters( { "a1" } ) );
    const auto revision = f.store.revision();
    REQUIRE( f.receives( [&]( const auto& it ) {
        return it.part == StorePart::upstreams && it.position.revision >= revision;
    } ) );
    CHECK( f.find( []( const auto& it ) { return !it.upstreams.empty(); } ) == nullptr );
}

TEST_CASE( "A relay without the store says so, and goes on when it is back", "[sidecar][relay]" ) {
    RelayFixture f;
    f.store.put( "servers", "u1", support::upstreamEntry( "ready" ) );
    f.subscribe();
    REQUIRE( f.receives( []( const auto& it ) { return it.whole; } ) );
    f.store.setMode( StoreMode::busy );
    REQUIRE( f.receives( []( const auto& it ) { return !it.reachable; } ) );
    f.store.remove( "servers", "u1" );
    f.store.discardHistory();
    f.updates.clear();
    f.store.setMode( StoreMode::up );
    REQUIRE( f.receives( []( const auto& it ) {
        return it.reachable && it.gone == std::vector<std::string>{ "u1" };
    } ) );
}

TEST_CASE( "A relay whose calls are cut once does not send its gateways to the store",
           "[sidecar][relay]" ) {
    constexpr int partCount = 4;
    RelayFixture f;
    f.store.put( "servers", "u1", support::upstreamEntry( "ready" ) );
    f.subscribe();
    for( const auto part : { StorePart::upstreams, StorePart::configuration, StorePart::quarantines,
                             StorePart::evacuations } ) {
        REQUIRE( f.receives( [part]( const auto& it ) { return it.part == part && it.whole; } ) );
    }
    f.updates.clear();
    // The store loses its history too. The relay retries each cut call once, without delay.
    f.store.discardHistory();
    f.store.cut( partCount );
    f.store.put( "servers", "u2", support::upstreamEntry( "ready" ) );
    REQUIRE( f.receives( []( const auto& it ) {
        return it.upstreams.size() == 1U && it.upstreams[0].id == "u2";
    } ) );
    CHECK( f.find( []( const auto& it ) { return !it.reachable; } ) == nullptr );
}

TEST_CASE( "A relay calls the store only while somebody asks", "[sidecar][relay]" ) {
    RelayFixture f;
    f.subscribe();
    REQUIRE( f.receives( []( const auto& it ) { return it.whole; } ) );
    f.relay.unsubscribe( &f );
    // Calls in progress may still complete; after them the relay makes no calls.
    const auto settledAt = MonoClock::now() + 2 * relaySilenceLimit( f.settings.bounds );
    runUntil( f.context, [&] { return MonoClock::now() > settledAt; } );
    const auto calls = f.store.calls();
    const auto observedUntil = MonoClock::now() + 2 * relaySilenceLimit( f.settings.bounds );
    runUntil( f.context, [&] { return MonoClock::now() > observedUntil; } );
    CHECK( f.store.calls() == calls );
}

TEST_CASE( "A follower makes no calls while a relay speaks, and goes on by itself when it stops",
           "[gateway][relay]" ) {
    net::asio::io_context context{ 1 };
    ObjectStore store{ context };
    RandomSource random{ 1 };
    std::vector<std::string> seenNames;
    FollowerHandlers handlers;
    handlers.listing = [&]( const auto& objects ) {
        for( const auto& it : objects ) {
            seenNames.push_back( it.name );
        }
    };
    handlers.event = [&]( const auto& event ) {
        seenNames.push_back( event.object.name );
    };
    handlers.reachable = []( bool ) {
    };
    FollowerSettings settings;
    settings.kind = "servers";
    settings.wait = 100ms;
    platform::Endpoint endpoint;
    endpoint.ip = "127.0.0.1";
    endpoint.port = store.port();
    Follower follower( context, endpoint, settings, random, handlers );
    store.put( "servers", "u1", support::upstreamEntry( "ready" ) );
    const auto position = [&store] {
        return decide::StorePosition{ store.era(), store.revision() };
    };
    REQUIRE( follower.acceptRelayed( position(), true, MonoTime::max() ) );
    auto task = follower.run();
    net::start( context, std::move( task ), "follower" );
    const auto quietEnd = MonoClock::now() + 300ms;
    runUntil( context, [&] { return MonoClock::now() > quietEnd; } );
    CHECK( store.calls() == 0U );
    store.put( "servers", "u2", support::upstreamEntry( "ready" ) );
    follower.relayLost( MonoClock::now() );
    REQUIRE( runUntil( context, [&] { return !seenNames.empty(); } ) );
    CHECK( seenNames == std::vector<std::string>{ "u2" } );
    // The follower rejects a relay whose position is older than its own.
    auto olderPosition = position();
    --olderPosition.revision;
    CHECK_FALSE( follower.acceptRelayed( olderPosition, true, MonoTime::max() ) );
    follower.stop();
}

TEST_CASE( "A watch that hangs since an outage has ended before its process counts as in touch",
           "[relay]" ) {
    for( const auto contact : { 1000ms, 2000ms, 3000ms, 4000ms, 10000ms } ) {
        platform::Bounds bounds;
        bounds.contact = contact;
        const auto wait = gateway::watchWait( bounds );
        INFO( contact.count() );
        CHECK( wait > 0ms );
        CHECK( wait + platform::watchSlack < contact );
    }
}
