// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/spec_text.hpp"
#include "gateway/messages.hpp"
#include "net/frame_channel.hpp"
#include "support/world.hpp"

#include "decide/link_choice.hpp"

#include <catch2/catch.hpp>

// The cost of each process has to stay the same while the fleet grows. Guards against costs that
// grow with it: with 356 gateways and 624 sidecars, all connected to each other, a gateway that got
// 1.4 requests a second took 60 MB and 348 KB a second. Each gateway called the store 32 times at
// its start, and each sidecar sent all gateways a complete report whenever another gateway
// connected.

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

//! A gateway's connection to a sidecar, made by the test.
struct FakeGateway {
    std::shared_ptr<net::FrameChannel> channel;
    int completeReports = 0;
    int specRequests = 0;
    int gatewaysSeen = 0;

    void receiveFrame( std::string_view frame ) {
        const auto message = gateway::decode( frame );
        REQUIRE( message );
        if( const auto* report = std::get_if<gateway::SidecarReport>( &*message ) ) {
            ++completeReports;
            gatewaysSeen = report->load.gateways;
        } else if( const auto* load = std::get_if<gateway::LoadReport>( &*message ) ) {
            gatewaysSeen = load->load.gateways;
        } else if( std::holds_alternative<gateway::SpecRequest>( *message ) ) {
            ++specRequests;
        }
    }
};

net::Task<> connectTo( World& world, const std::string& ip, FakeGateway& it, std::string name,
                       gateway::EngineSpecKey spec ) {
    net::Socket socket( world.context );
    net::ErrorCode ec;
    const auto to = net::endpointOf( ip, sidecarPort, ec );
    const auto connected = co_await net::connect( socket, to, Millis( 2000 ) );
    REQUIRE_FALSE( connected );
    it.channel =
        std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::client );
    net::FrameChannel::FrameHandler handler = [&it]( std::string_view frame ) {
        it.receiveFrame( frame );
    };
    net::start( world.context, it.channel->run( std::move( handler ) ), "fake gateway" );
    gateway::EngineUpdate update;
    update.gateway = std::move( name );
    update.configVersion = 1000000;
    update.spec = spec;
    it.channel->send( gateway::encode( gateway::Message( update ) ) );
}

net::Task<> waitUntil( World& world, const std::function<bool()>& condition ) {
    const auto limit = MonoClock::now() + 10s;
    while( !condition() && MonoClock::now() < limit ) {
        co_await net::pause( world.context, support::pollInterval );
    }
}

} // namespace

TEST_CASE( "A gateway before more sidecars than it needs is connected to some, and serves",
           "[promise][size]" ) {
    constexpr int engines = 72;
    constexpr int gateways = 2;
    constexpr int streams = 30;
    World world( WorldSize{ gateways, engines, 1 } );
    world.sharedPrefix = false;
    std::size_t before = 0;
    std::size_t after = 0;
    int served = 0;
    world.runScenario( [&]() -> net::Task<> {
        co_await waitUntil(
            world, [&] { return connections( world ) >= gateways * decide::targetLinks; } );
        before = connections( world );
        served = co_await world.askStreams( streams );
        co_await net::pause( world.context, Millis( 1000 ) );
        after = connections( world );
    } );
    CHECK( served == streams );
    // A gateway may also be connected to its relay and to the relay before that one.
    constexpr std::size_t relayConnections = 2;
    CHECK( before <= gateways * ( decide::targetLinks + relayConnections ) );
    CHECK( after <= gateways * ( decide::maxLinks + relayConnections ) );
}

TEST_CASE( "Gateways that start have the store listed for them, not each for itself",
           "[promise][size]" ) {
    constexpr int gateways = 10;
    World world( WorldSize{ gateways, 8, 1 } );
    std::uint64_t calls = 0;
    std::uint64_t staleLists = 0;
    world.runScenario( [&]() -> net::Task<> {
        staleLists = world.deployment->store().staleListCalls();
        calls = world.deployment->store().calls() - staleLists;
        co_return;
    } );
    // The relay lists and watches four kinds; each gateway finds the relay through lists that may
    // be old, which cost the store a tenth.
    INFO( "store calls of " << gateways << " gateways and eight sidecars at start: " << calls
                            << ", and lists that may be old: " << staleLists );
    CHECK( calls <= 20 );
    CHECK( staleLists <= 4 * gateways );
}

TEST_CASE( "Gateways that end all at once, with all sidecars, come back through relays too",
           "[promise][size]" ) {
    constexpr int gateways = 10;
    constexpr int engines = 8;
    World world( WorldSize{ gateways, engines, 1 } );
    std::uint64_t calls = 0;
    world.runScenario( [&]() -> net::Task<> {
        auto& store = world.deployment->store();
        const auto before = store.calls() - store.staleListCalls();
        world.restartAll();
        co_await net::pause( world.context, Millis( 500 ) );
        co_await world.waitUntilSettled();
        calls = store.calls() - store.staleListCalls() - before;
    } );
    // Each sidecar reads its fence; the relays list and watch four kinds.
    INFO( "store calls until " << gateways << " gateways are ready again: " << calls );
    CHECK( calls <= engines + 30 );
}

TEST_CASE( "A gateway that connects costs the others no whole report", "[promise][size]" ) {
    constexpr int gateways = 20;
    World world( WorldSize{ 1, 2, 1 } );
    std::vector<FakeGateway> fakeGateways( gateways );
    world.runScenario( [&]() -> net::Task<> {
        const auto ip = world.deployment->sidecars()[0]->reachedIp;
        for( std::size_t n = 0; n < fakeGateways.size(); ++n ) {
            co_await connectTo( world, ip, fakeGateways[n], "pretended-" + std::to_string( n ), 0 );
            co_await net::pause( world.context, Millis( 100 ) );
        }
        co_await waitUntil( world, [&] { return fakeGateways[0].gatewaysSeen > gateways; } );
        for( auto& it : fakeGateways ) {
            it.channel->close();
        }
    } );
    CHECK( fakeGateways[0].gatewaysSeen == gateways + 1 );
    CHECK( fakeGateways[0].completeReports <= 3 );
}

TEST_CASE( "What an engine is built like is told once, not by each gateway", "[promise][size]" ) {
    constexpr int gateways = 20;
    World world( WorldSize{ 1, 2, 1 } );
    std::vector<FakeGateway> fakeGateways( gateways );
    gateway::EngineSpec engine;
    engine.slots = 4;
    engine.cacheTokens = 1000;
    const auto spec = gateway::encodeSpec( engine );
    int initialSpecRequests = 0;
    int laterSpecRequests = 0;
    world.runScenario( [&]() -> net::Task<> {
        const auto ip = world.deployment->sidecars()[0]->reachedIp;
        for( std::size_t n = 0; n < fakeGateways.size(); ++n ) {
            co_await connectTo( world, ip, fakeGateways[n], "pretended-" + std::to_string( n ),
                                spec->key );
        }
        const auto countSpecRequests = [&] {
            int out = 0;
            for( const auto& it : fakeGateways ) {
                out += it.specRequests;
            }
            return out;
        };
        co_await waitUntil( world, [&] { return countSpecRequests() > 0; } );
        initialSpecRequests = countSpecRequests();
        for( auto& it : fakeGateways ) {
            if( it.specRequests > 0 ) {
                it.channel->send( spec->message );
            }
        }
        co_await net::pause( world.context, Millis( 500 ) );
        for( auto& it : fakeGateways ) {
            it.channel->send( gateway::encode( gateway::Message( gateway::DemandUpdate{} ) ) );
        }
        co_await net::pause( world.context, Millis( 500 ) );
        laterSpecRequests = countSpecRequests();
        for( auto& it : fakeGateways ) {
            it.channel->close();
        }
    } );
    CHECK( initialSpecRequests == 1 );
    CHECK( laterSpecRequests == initialSpecRequests );
}
