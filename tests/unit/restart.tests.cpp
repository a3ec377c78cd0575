// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/fleet.hpp"
#include "platform/wire.hpp"
#include "sidecar/engine_view.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursehead;
using namespace coursehead::gateway;
using namespace std::chrono_literals;

namespace {

constexpr MonoTime start{ 1000s };
constexpr StartTime firstStart = 1790000000000;

Upstream entry( StartTime born, UpstreamState state = UpstreamState::ready ) {
    Upstream out;
    out.id = "u";
    out.born = born;
    out.service = "s";
    out.ip = "127.0.0.1";
    out.port = 9;
    out.hall = "hall";
    out.state = state;
    return out;
}

//! A gateway's registry and fleet, fed with listings of the store.
struct GatewayFixture {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    Fleet fleet{ context, random, FleetSettings{ "vm", "hall", 1, 5000ms } };
    Registry registry{ Registry::Settings{} };

    void applyListing( StartTime born, MonoTime now ) {
        registry.applyListing( { entry( born ) }, now );
        fleet.sync( registry.members(), now );
    }
    Node& node() { return *fleet.nodes().at( "u" ); }
};

} // namespace

TEST_CASE( "Of several starts under one id the newest holds, however late the others are told",
           "[gateway][restart]" ) {
    rc::prop( "lists of three starts in any order, lost and repeated", [] {
        GatewayFixture gateway;
        const auto listedStarts = *rc::gen::container<std::vector<int>>( rc::gen::inRange( 0, 3 ) );
        StartTime newest = 0;
        auto now = start;
        for( const int it : listedStarts ) {
            const StartTime born = firstStart + it * 5000;
            gateway.applyListing( born, now += 300ms );
            newest = std::max( newest, born );
            RC_ASSERT( gateway.node().upstream.born == newest );
        }
    } );
}

TEST_CASE( "What was known of an upstream's earlier start does not outlive it",
           "[gateway][restart]" ) {
    GatewayFixture gateway;
    gateway.applyListing( firstStart, start );
    Node& node = gateway.node();
    noteUnreachable( node.health, start );
    node.replaced = true;
    node.engineReachable = false;
    node.leavesAt = start + 1s;
    node.loading["m"] = start;
    node.adaptersUsed.insert( "m/a" );
    node.sentParts.push_back( { 1, 100, "m" } );
    node.takeReadingWait( 5000, start );
    Generation generation;
    generation.model = "m";
    generation.parts = { { 1, 100 }, { 2, 100 } };
    const std::vector<std::uint64_t> keys{ 11, 12 };
    node.prefixes.setCapacity( 100000 );
    node.notePrompt( keys, generation );
    REQUIRE( node.prefixes.cachedTokens( keys, generation ) > 0 );
    node.inFlight = 3;
    gateway.applyListing( firstStart + 1, start + 1s );
    CHECK( node.takesRequests() );
    CHECK( node.engineReachable );
    CHECK( node.health.avoidUntil == MonoTime{} );
    CHECK_FALSE( node.leavesAt );
    CHECK( node.loading.empty() );
    CHECK( node.adaptersUsed.empty() );
    CHECK( node.sentParts.empty() );
    CHECK( node.readingWaitLeft( start + 1s ) == 0 );
    CHECK( node.prefixes.cachedTokens( keys, generation ) == 0 );
    // Requests to the earlier start are still in flight.
    CHECK( node.inFlight == 3 );
    CHECK( node.addedAt == start + 1s );
}

TEST_CASE( "An engine that starts again under its id has none of its orders under way",
           "[sidecar][restart]" ) {
    const std::set<sidecar::PeerPtr> peers;
    sidecar::EngineView view( peers );
    EngineSpec spec;
    spec.weightsMb = 100;
    view.setSpec( spec );
    EngineReport report;
    report.born = firstStart;
    report.residents = { { "m", {} } };
    CHECK_FALSE( view.applyReport( report, start ).restarted );
    view.noteUnload( { sidecar::StepKind::unload, "m", "" }, start );
    view.setRetiring( "m", start );
    CHECK( view.availableResidents().empty() );
    report.born = firstStart + 4000;
    const auto change = view.applyReport( report, start + 100ms );
    CHECK( change.restarted );
    CHECK( view.availableResidents().size() == 1 );
    CHECK_FALSE( view.applyReport( report, start + 200ms ).restarted );
}

TEST_CASE( "When an upstream was born is read where it is a whole number", "[platform][restart]" ) {
    const std::string jsonStart = R"({"service":"s","address":"10.0.0.1:80","zone":"h","slots":4,)"
                                  R"("state":"ready","born":)";
    std::string problem;
    const auto parsed = platform::readUpstream( "u", jsonStart + "1790000000123}", problem );
    REQUIRE( parsed );
    CHECK( parsed->born == 1790000000123 );
    for( const auto* it : { "\"1790000000123\"", "1.5", "null", "[]" } ) {
        INFO( it );
        CHECK_FALSE( platform::readUpstream( "u", jsonStart + it + "}", problem ) );
        CHECK( problem.starts_with( "born = " ) );
    }
    const auto report = platform::readEngineReport( R"({"born":1790000000123,"models":[]})" );
    REQUIRE( report );
    CHECK( report->born == 1790000000123 );
}

TEST_CASE( "Messages of relays and sidecars name the upstream's start that they are about",
           "[gateway][restart]" ) {
    StoreUpdate update;
    update.upstreams = { entry( firstStart ) };
    const auto relayed = decode( encode( Message( update ) ) );
    REQUIRE( relayed );
    CHECK( std::get<StoreUpdate>( *relayed ).upstreams[0].born == firstStart );
    SidecarReport report;
    report.born = firstStart;
    const auto reported = decode( encode( Message( report ) ) );
    REQUIRE( reported );
    CHECK( std::get<SidecarReport>( *reported ).born == firstStart );
}
