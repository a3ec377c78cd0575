// SPDX-License-Identifier: BSL-1.0
#include "decide/allowed_regions.hpp"
#include "decide/cold_gate.hpp"
#include "decide/evacuation.hpp"
#include "gateway/choice/fleet.hpp"
#include "platform/wire.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <set>

using namespace coursehead;
using namespace coursehead::gateway;
using namespace std::chrono_literals;
using decide::ColdGate;
using decide::ColdRule;
using decide::EvacuationRule;
using decide::Evacuations;

namespace {

constexpr MonoTime start{ 1000s };
constexpr EvacuationRule rule{ 5000ms, 4000ms };

Upstream makeUpstream( std::string id, std::string hall, Millis cold = 0ms ) {
    Upstream out;
    out.id = std::move( id );
    out.service = "s";
    out.ip = "127.0.0.1";
    out.port = 9;
    out.hall = std::move( hall );
    out.cold = cold;
    return out;
}

//! A fleet of one upstream in each of two halls.
struct TwoHalls {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    Fleet fleet{ context, random, settings() };

    static FleetSettings settings() {
        FleetSettings out{ "vm", "a", 1, 5000ms };
        out.evacuation = rule;
        out.cold = { 1.5, 5 };
        out.regions = { { "a", "south" }, { "b", "north" } };
        return out;
    }
    TwoHalls() {
        Configuration configuration;
        Service service;
        service.name = "s";
        service.coldDuration = 3000ms;
        service.coldPerS = 6.5;
        configuration.services.emplace( "s", service );
        fleet.setConfiguration( std::make_shared<RouteTable>( std::move( configuration ) ), start );
        std::map<std::string, Member> members;
        members.emplace( "ua", Member{ makeUpstream( "ua", "a" ), false } );
        members.emplace( "ub", Member{ makeUpstream( "ub", "b" ), false } );
        fleet.sync( members, start );
    }
    std::string chosenId( MonoTime now, decide::AllowedRegions allowedRegions = {} ) {
        RequestNeeds need;
        need.service = "s";
        need.allowedRegions = allowedRegions;
        const auto choice = fleet.choose( need, {}, now );
        return choice.node ? choice.node->upstream.id : "";
    }
};

} // namespace

TEST_CASE( "A gateway that sees an evacuation begin may send to the hall a little longer",
           "[halls]" ) {
    Evacuations evacuations;
    CHECK( evacuations.begin( "a", true, rule, start ) );
    CHECK_FALSE( evacuations.begin( "a", true, rule, start + 1s ) );
    CHECK( evacuations.stopAt( "a" ) == start + 2s );
    // An evacuation found in a listing may have begun at any time before it: no grace.
    CHECK( evacuations.begin( "b", false, rule, start ) );
    CHECK( evacuations.stopAt( "b" ) == start );
    CHECK( evacuations.missingFrom( std::set<std::string>{ "b", "c" } ) ==
           std::vector<std::string>{ "a" } );
    CHECK( evacuations.end( "a" ) );
    CHECK_FALSE( evacuations.end( "a" ) );
    CHECK_FALSE( evacuations.stopAt( "a" ) );
    // The grace period is half of the rule's shorter bound.
    CHECK( decide::evacuationGrace( { 5000ms, 1000ms } ) == 500ms );
    CHECK( decide::evacuationGrace( { 0ms, 4000ms } ) == 0ms );
}

TEST_CASE( "Requests leave a hall that is emptied at once where they can, and for good at its stop",
           "[gateway][halls]" ) {
    TwoHalls f;
    CHECK( f.chosenId( start ) == "ua" );
    f.fleet.setEvacuation( "a", true, start );
    CHECK( f.chosenId( start + 1ms ) == "ub" );
    std::map<std::string, Member> hallAMembers;
    hallAMembers.emplace( "ua", Member{ makeUpstream( "ua", "a" ), false } );
    f.fleet.sync( hallAMembers, start + 2ms );
    CHECK( f.chosenId( start + 1s ) == "ua" );
    CHECK( f.chosenId( start + 2s ) == "" );
    // An upstream that joins the hall later is not chosen either.
    hallAMembers.emplace( "uc", Member{ makeUpstream( "uc", "a" ), false } );
    f.fleet.sync( hallAMembers, start + 3s );
    CHECK( f.chosenId( start + 3s ) == "" );
    f.fleet.setEvacuation( "a", false, start + 4s );
    CHECK_FALSE( f.chosenId( start + 4s ).empty() );
}

TEST_CASE( "Two halls that are emptied one over the other each wait for their own end",
           "[gateway][halls]" ) {
    TwoHalls f;
    f.fleet.setEvacuations( { "a" }, start );
    CHECK( f.chosenId( start ) == "ub" );
    f.fleet.setEvacuations( { "a", "b" }, start + 1s );
    CHECK( f.chosenId( start + 1s ) == "" );
    f.fleet.setEvacuations( { "b" }, start + 2s );
    CHECK( f.chosenId( start + 2s ) == "ua" );
    f.fleet.setEvacuations( {}, start + 3s );
    CHECK_FALSE( f.chosenId( start + 3s ).empty() );
}

TEST_CASE( "A hall that is taken back counts as cold until its entries say otherwise",
           "[gateway][halls][cold]" ) {
    TwoHalls f;
    f.fleet.setEvacuation( "a", true, start );
    f.fleet.setEvacuation( "a", false, start + 9s );
    const auto& node = *f.fleet.nodes().at( "ua" );
    CHECK( node.cold.isCold( start + 10s ) );
    CHECK_FALSE( node.cold.isCold( start + 13s ) );
    CHECK_FALSE( f.fleet.nodes().at( "ub" )->cold.isCold( start + 10s ) );
}

TEST_CASE( "An entry that turns cold makes its upstream cold, and one that only runs down does not",
           "[gateway][cold]" ) {
    TwoHalls f;
    std::map<std::string, Member> members;
    members.emplace( "ua", Member{ makeUpstream( "ua", "a", 3000ms ), false } );
    f.fleet.sync( members, start + 1s );
    CHECK( f.fleet.nodes().at( "ua" )->cold.left( start + 1s ) == 3000ms );
    members.at( "ua" ).upstream.cold = 2000ms;
    f.fleet.sync( members, start + 3s );
    CHECK( f.fleet.nodes().at( "ua" )->cold.left( start + 3s ) == 1000ms );
}

TEST_CASE( "An upstream that is listed before the configuration is known is cold all the same",
           "[gateway][cold]" ) {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    Fleet fleet{ context, random, TwoHalls::settings() };
    std::map<std::string, Member> members;
    members.emplace( "ua", Member{ makeUpstream( "ua", "a", 3000ms ), false } );
    fleet.sync( members, start );
    CHECK( fleet.nodes().at( "ua" )->cold.left( start + 1s ) == 2000ms );
}

TEST_CASE( "A cold upstream is sent no more within any second than it bears, by all together",
           "[cold]" ) {
    const ColdRule bounds{ 1.5, 5 };
    const double maxPerSecond = 6.5 * bounds.over + bounds.slack;
    const double allowed = decide::coldAllowance( bounds, 6.5 );
    CHECK( allowed < maxPerSecond );
    ColdGate gate;
    gate.noteCold( 3000ms, start );
    std::vector<MonoTime> sent;
    for( auto now = start; now < start + 3s; now += 1ms ) {
        if( gate.wait( allowed, now ).count() == 0 ) {
            gate.take( now );
            sent.push_back( now );
        }
    }
    CHECK( sent.size() >= 3 * 10 );
    for( const auto& first : sent ) {
        const auto sentWithinSecond =
            std::count_if( sent.begin(), sent.end(),
                           [&]( const auto& it ) { return it >= first && it < first + 1s; } );
        CHECK( static_cast<double>( sentWithinSecond ) <= allowed );
    }
    CHECK( gate.wait( allowed, start + 3s ).count() == 0 );
}

TEST_CASE( "Many gateways that count alone send no more together than a cold upstream bears",
           "[cold]" ) {
    constexpr int gateways = 24;
    const double share = decide::coldAllowance( { 1.5, 5 }, 6.5 ) / 2 / gateways;
    std::vector<MonoTime> sent;
    for( int gateway = 0; gateway < gateways; ++gateway ) {
        // Offsets are spread evenly, as hashes of the gateways would spread them.
        ColdGate gate( std::fmod( 0.618 * gateway, 1.0 ) );
        gate.noteCold( 10000ms, start );
        for( auto now = start; now < start + 10s; now += 10ms ) {
            if( gate.wait( share, now ).count() == 0 ) {
                gate.take( now );
                sent.push_back( now );
            }
        }
    }
    CHECK( sent.size() > 30 );
    constexpr double maxPerSecond = 6.5 * 1.5 + 5;
    for( const auto& first : sent ) {
        const auto sentWithinSecond =
            std::count_if( sent.begin(), sent.end(),
                           [&]( const auto& it ) { return it >= first && it < first + 1s; } );
        CHECK( static_cast<double>( sentWithinSecond ) <= maxPerSecond );
    }
}

// Guards against many gateways that use their allowance at the same moment. Each of 400 gateways
// may send a cold plain upstream one request every few minutes. When that request was allowed at
// any moment of the period, 9, 10 and 80 of the gateways sent at the same moment after 5, 10 and 50
// seconds without requests, to an upstream that bears 2 requests per second.
TEST_CASE( "What hundreds of gateways have not used of a cold upstream is not sent at once",
           "[cold]" ) {
    constexpr int gateways = 400;
    constexpr double maxPerSecond = 2;
    std::vector<ColdGate> gates;
    for( int gateway = 0; gateway < gateways; ++gateway ) {
        gates.emplace_back( std::fmod( 0.618 * gateway, 1.0 ) );
        gates.back().noteCold( 60000ms, start );
    }
    for( const auto idleTime : { 5s, 10s, 50s } ) {
        int sent = 0;
        for( auto& it : gates ) {
            if( it.wait( maxPerSecond / gateways, start + idleTime ).count() == 0 ) {
                it.take( start + idleTime );
                ++sent;
            }
        }
        CHECK( sent <= 2 * maxPerSecond );
    }
}

TEST_CASE( "A service that says nothing of its cold upstreams bears what the rule has on top",
           "[cold]" ) {
    CHECK( decide::coldAllowance( { 1.5, 5 }, 0 ) == Approx( 3.5 ) );
    // Without a rule the gate doesn't delay requests.
    CHECK( decide::coldAllowance( {}, 6.5 ) == 0 );
    ColdGate gate;
    gate.noteCold( 3000ms, start );
    for( int n = 0; n < 100; ++n ) {
        gate.take( start );
    }
    CHECK( gate.wait( 0, start ).count() == 0 );
}

TEST_CASE( "Homes of route and organisation both bind", "[halls][homes]" ) {
    const std::vector<std::string> south{ "south" };
    const std::vector<std::string> southAndNorth{ "south", "north" };
    CHECK( decide::mayServe( {}, "" ) );
    CHECK( decide::mayServe( { south, {} }, "south" ) );
    CHECK_FALSE( decide::mayServe( { south, {} }, "north" ) );
    CHECK_FALSE( decide::mayServe( { southAndNorth, south }, "north" ) );
    CHECK_FALSE( decide::mayServe( { {}, south }, "" ) );
    TwoHalls f;
    const std::vector<std::string> north{ "north" };
    CHECK( f.chosenId( start, { north, {} } ) == "ub" );
    CHECK( f.chosenId( start, { north, south } ) == "" );
}

TEST_CASE( "A request leaves its region only for what saves more than the way there costs",
           "[gateway][halls]" ) {
    TwoHalls f;
    Node& nearNode = *f.fleet.nodes().at( "ua" );
    nearNode.inFlight = 3;
    CHECK( f.chosenId( start ) == "ua" );
    nearNode.inFlight = 12;
    CHECK( f.chosenId( start ) == "ub" );
    // Between halls of one region only the cross-hall cost applies.
    Candidate sameHallCandidate;
    sameHallCandidate.workMs = 20;
    Candidate otherHallCandidate = sameHallCandidate;
    otherHallCandidate.otherHall = true;
    otherHallCandidate.crossHallMs = 15;
    Candidate otherRegionCandidate = otherHallCandidate;
    otherRegionCandidate.otherRegion = true;
    otherRegionCandidate.crossRegionMs = 120;
    CHECK( costOf( otherHallCandidate ) - costOf( sameHallCandidate ) == Approx( 15 ) );
    CHECK( costOf( otherRegionCandidate ) - costOf( otherHallCandidate ) == Approx( 120 ) );
}

TEST_CASE( "Homes and coldness of a configuration are read, and refused with field and value",
           "[platform][homes][cold]" ) {
    const auto configurationText = []( const std::string& route, const std::string& service ) {
        return R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe",)"
               R"("timeoutMs":1,"service":"s")" +
               route + R"(}],"services":[{"name":"s")" + service + "}]}";
    };
    std::string problem;
    const auto parsed = platform::readConfiguration(
        configurationText( R"(,"homeRegions":["north"])", R"(,"coldS":3.0,"coldPerS":6.5)" ),
        problem );
    REQUIRE( parsed );
    CHECK( parsed->routes[0].homeRegions == std::vector<std::string>{ "north" } );
    CHECK( parsed->services.at( "s" ).coldDuration == 3000ms );
    CHECK( parsed->services.at( "s" ).coldPerS == 6.5 );
    CHECK_FALSE(
        platform::readConfiguration( configurationText( "", R"(,"coldPerS":-1)" ), problem ) );
    CHECK( problem.find( "services.s.coldPerS = -1" ) == 0 );
    CHECK_FALSE(
        platform::readConfiguration( configurationText( R"(,"homeRegions":[5])", "" ), problem ) );
    CHECK( problem.find( "routes.r.homeRegions = [5]" ) == 0 );
}
