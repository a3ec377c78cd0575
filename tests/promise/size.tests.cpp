// SPDX-License-Identifier: BSL-1.0
#include "gateway/messages.hpp"
#include "gateway/spec_text.hpp"
#include "net/frame_channel.hpp"
#include "support/world.hpp"

#include "decide/link_choice.hpp"

#include <catch2/catch.hpp>

// What each process costs has to stay the same while the fleet grows. 356 gateways before 624
// sidecars were all connected to each other: 60 MB and 348 KB a second for a gateway that saw 1.4
// requests a second. At start each called the store 32 times, and each sidecar told all gateways
// everything whenever one more had connected.

using namespace coursehead;
using namespace coursehead::soak;
using support::World;
using support::WorldSize;
using namespace std::chrono_literals;

namespace {

constexpr int sidecarPort = 7380;

std::size_t connections( World& world ) {
    std::size_t out = 0;
    for( const auto& it : world.deployment->sidecars() ) {
        out += it->toIt->connections();
    }
    return out;
}

//! A gateway as a sidecar sees it.
struct PretendedGateway {
    std::shared_ptr<net::FrameChannel> channel;
    int wholeReports = 0;
    int specAsks = 0;
    int gatewaysSeen = 0;

    void take( std::string_view frame ) {
        const auto message = gateway::decode( frame );
        REQUIRE( message );
        if( const auto* report = std::get_if<gateway::SidecarReport>( &*message ) ) {
            ++wholeReports;
            gatewaysSeen = report->load.gateways;
        } else if( const auto* load = std::get_if<gateway::LoadReport>( &*message ) ) {
            gatewaysSeen = load->load.gateways;
        } else if( std::holds_alternative<gateway::SpecRequest>( *message ) ) {
            ++specAsks;
        }
    }
};

net::Task<> connectTo( World& world, const std::string& ip, PretendedGateway& it, std::string name,
                       gateway::EngineSpecKey spec ) {
    net::Socket socket( world.context );
    net::ErrorCode ec;
    const auto to = net::endpointOf( ip, sidecarPort, ec );
    const auto connected = co_await net::connect( socket, to, Millis( 2000 ) );
    REQUIRE_FALSE( connected );
    it.channel =
        std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::client );
    net::FrameChannel::FrameHandler handler = [&it]( std::string_view frame ) {
        it.take( frame );
    };
    net::start( world.context, it.channel->run( std::move( handler ) ), "pretended gateway" );
    gateway::EngineUpdate news;
    news.gateway = std::move( name );
    news.configVersion = 1000000;
    news.spec = spec;
    it.channel->send( gateway::encode( gateway::Message( news ) ) );
}

net::Task<> waitUntil( World& world, const std::function<bool()>& condition ) {
    const auto limit = MonoClock::now() + 10s;
    while( !condition() && MonoClock::now() < limit ) {
        co_await net::pause( world.context, support::look );
    }
}

} // namespace

TEST_CASE( "A gateway before more sidecars than it needs is connected to some, and serves",
           "[promise][size]" ) {
    constexpr int engines = 72;
    constexpr int gateways = 2;
    constexpr int streams = 30;
    World world( WorldSize{ gateways, engines, 1 } );
    world.samePrompts = false;
    std::size_t before = 0;
    std::size_t after = 0;
    int served = 0;
    world.play( [&]() -> net::Task<> {
        co_await waitUntil(
            world, [&] { return connections( world ) >= gateways * decide::targetLinks; } );
        before = connections( world );
        served = co_await world.askStreams( streams );
        co_await net::pause( world.context, Millis( 1000 ) );
        after = connections( world );
    } );
    CHECK( served == streams );
    // Beside them a relay's, and that of the one before it.
    constexpr std::size_t relays = 2;
    CHECK( before <= gateways * ( decide::targetLinks + relays ) );
    CHECK( after <= gateways * ( decide::maxLinks + relays ) );
}

TEST_CASE( "Gateways that start have the store listed for them, not each for itself",
           "[promise][size]" ) {
    constexpr int gateways = 10;
    World world( WorldSize{ gateways, 8, 1 } );
    std::uint64_t calls = 0;
    std::uint64_t old = 0;
    world.play( [&]() -> net::Task<> {
        old = world.deployment->store().oldLists();
        calls = world.deployment->store().calls() - old;
        co_return;
    } );
    // The relay lists and watches four kinds; each gateway looks for it in lists that cost a tenth.
    INFO( "store calls of " << gateways << " gateways and eight sidecars at start: " << calls
                            << ", and lists that may be old: " << old );
    CHECK( calls <= 20 );
    CHECK( old <= 4 * gateways );
}

TEST_CASE( "Gateways that end all at once, with all sidecars, come back through relays too",
           "[promise][size]" ) {
    constexpr int gateways = 10;
    constexpr int engines = 8;
    World world( WorldSize{ gateways, engines, 1 } );
    std::uint64_t calls = 0;
    world.play( [&]() -> net::Task<> {
        auto& store = world.deployment->store();
        const auto before = store.calls() - store.oldLists();
        world.restartAll();
        co_await net::pause( world.context, Millis( 500 ) );
        co_await world.waitUntilSettled();
        calls = store.calls() - store.oldLists() - before;
    } );
    // Each sidecar reads its fence; the relays list four kinds and watch them.
    INFO( "store calls until " << gateways << " gateways are ready again: " << calls );
    CHECK( calls <= engines + 30 );
}

TEST_CASE( "A gateway that connects costs the others no whole report", "[promise][size]" ) {
    constexpr int gateways = 20;
    World world( WorldSize{ 1, 2, 1 } );
    std::vector<PretendedGateway> pretended( gateways );
    world.play( [&]() -> net::Task<> {
        const auto ip = world.deployment->sidecars()[0]->reachedIp;
        for( std::size_t n = 0; n < pretended.size(); ++n ) {
            co_await connectTo( world, ip, pretended[n], "pretended-" + std::to_string( n ), 0 );
            co_await net::pause( world.context, Millis( 100 ) );
        }
        co_await waitUntil( world, [&] { return pretended[0].gatewaysSeen > gateways; } );
        for( auto& it : pretended ) {
            it.channel->close();
        }
    } );
    CHECK( pretended[0].gatewaysSeen == gateways + 1 );
    CHECK( pretended[0].wholeReports <= 3 );
}

TEST_CASE( "What an engine is built like is told once, not by each gateway", "[promise][size]" ) {
    constexpr int gateways = 20;
    World world( WorldSize{ 1, 2, 1 } );
    std::vector<PretendedGateway> pretended( gateways );
    gateway::EngineSpec engine;
    engine.slots = 4;
    engine.cacheTokens = 1000;
    const auto spec = gateway::encodeSpec( engine );
    int asked = 0;
    int askedLater = 0;
    world.play( [&]() -> net::Task<> {
        const auto ip = world.deployment->sidecars()[0]->reachedIp;
        for( std::size_t n = 0; n < pretended.size(); ++n ) {
            co_await connectTo( world, ip, pretended[n], "pretended-" + std::to_string( n ),
                                spec->key );
        }
        const auto asks = [&] {
            int out = 0;
            for( const auto& it : pretended ) {
                out += it.specAsks;
            }
            return out;
        };
        co_await waitUntil( world, [&] { return asks() > 0; } );
        asked = asks();
        for( auto& it : pretended ) {
            if( it.specAsks > 0 ) {
                it.channel->send( spec->message );
            }
        }
        co_await net::pause( world.context, Millis( 500 ) );
        for( auto& it : pretended ) {
            it.channel->send( gateway::encode( gateway::Message( gateway::DemandUpdate{} ) ) );
        }
        co_await net::pause( world.context, Millis( 500 ) );
        askedLater = asks();
        for( auto& it : pretended ) {
            it.channel->close();
        }
    } );
    CHECK( asked == 1 );
    CHECK( askedLater == asked );
}
