// SPDX-License-Identifier: BSL-1.0
#include "support/odd_entries.hpp"
#include "support/fleet.hpp"
#include "support/world.hpp"

// Guards against entries of another writer that stop the processes that read them.

using namespace coursehead;
using namespace coursehead::soak;
using support::putOddEntries;
using support::World;
using support::WorldSize;

namespace {

constexpr WorldSize worldSize{ .gateways = 3, .engines = 3, .services = 3 };
constexpr int requestCount = 12;

//! Requests of a client to all gateways, and how many of them were served.
struct Served {
    int plain = 0;
    int streams = 0;
};

net::Task<Served> askAll( World& world ) {
    Served out;
    for( int n = 0; n < requestCount; ++n ) {
        const auto status = co_await world.askPlain();
        out.plain += status == 200 ? 1 : 0;
    }
    out.streams = co_await world.askStreams( requestCount );
    co_return out;
}

//! True once each gateway serves the route of the newest configuration.
net::Task<> waitForConfiguration( World& world ) {
    const auto path = "/v" + std::to_string( world.deployment->version() ) + "/a";
    for( std::size_t n = 0; n < world.deployment->gateways().size(); ++n ) {
        for( unsigned status = 0; status != 200; ) {
            const auto id = "c" + std::to_string( ++world.sent );
            world.record.asked( id, Kind::safe );
            std::string text = "GET " + path + " HTTP/1.1\r\nHost: " + hostName +
                               "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\n\r\n";
            status = co_await world.exchange( n, std::move( text ) );
            co_await net::pause( world.context, support::pollInterval );
        }
    }
}

void restartUpstreams( World& world ) {
    for( auto& it : world.deployment->upstreams() ) {
        it.runner->crash();
    }
}

} // namespace

TEST_CASE( "Processes that start while odd entries stand in the store serve",
           "[promise][foreign]" ) {
    World world( worldSize );
    Served served;
    auto& store = world.deployment->store();
    store.setPageSize( 1 );
    putOddEntries( store );
    world.runScenario( [&]() -> net::Task<> { served = co_await askAll( world ); } );
    CHECK( served.plain == requestCount );
    CHECK( served.streams == requestCount );
    CHECK( world.record.breaches() == std::vector<std::string>{} );
}

TEST_CASE( "Processes hear of changes after odd entries were written", "[promise][foreign]" ) {
    World world( worldSize );
    Served served;
    auto& store = world.deployment->store();
    world.runScenario( [&]() -> net::Task<> {
        putOddEntries( store );
        world.deployment->changeConfiguration();
        co_await waitForConfiguration( world );
        restartUpstreams( world );
        co_await net::pause( world.context, contactBound );
        co_await world.waitUntilSettled();
        served = co_await askAll( world );
    } );
    CHECK( served.plain == requestCount );
    CHECK( served.streams == requestCount );
    CHECK( world.record.breaches() == std::vector<std::string>{} );
}

TEST_CASE( "Records of the older roles that another writer has overwritten end no process",
           "[promise][foreign]" ) {
    using fleet::Fleet;
    Fleet f;
    const auto put = []( const fleet::Node& store, const std::string& kind, const std::string& name,
                         const std::string& spec ) {
        const auto body = R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
        REQUIRE(
            fleet::call( store.url, "POST", "/apis/coursehead/v1/" + kind, body ).response.status ==
            201 );
    };
    put( f.store(), "epochs", "a1", R"({"epoch":"many"})" );
    put( f.store(), "leases", "planner-r1", R"({"holder":7,"epoch":"many","renewals":[]})" );
    auto& engine = f.engine( "e1" );
    auto& agent = f.agent( "a1", engine.url );
    auto& entry = f.entry( "n1" );
    Fleet::require( entry, fleet::defaultConfig() );
    f.waitForAgents( entry, 1 );
    CHECK( agent.process->wait( 2 ) == -1 );
    CHECK( entry.process->wait( 2 ) == -1 );
    const auto got = fleet::streamCall( entry.url, fleet::chatBody( "m", "hello", 4 ) );
    CHECK( got.done );
}
