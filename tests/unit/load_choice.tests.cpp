// SPDX-License-Identifier: BSL-1.0
// When all holders of a model are busy, a request that waits for a load elsewhere is late, and
// then stands in that engine's queue behind all others that waited.
#include "decide/load_choice.hpp"
#include "coursehead/kernel/random.hpp"
#include "decide/load_waiters.hpp"
#include "decide/model_shortage.hpp"
#include "gateway/choice/fleet.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::decide;
using namespace coursehead::gateway;
using namespace std::chrono_literals;

TEST_CASE( "A request waits for a load only if it can then be in time", "[load_choice]" ) {
    const FirstEventLimits limits{ 500, 3000 };
    CHECK( chooseLoadOrHolder( { 900, 900 }, { 450, 450 }, limits ) == LoadChoice::load );
    CHECK( chooseLoadOrHolder( { 900, 900 }, { 750, 750 }, limits ) == LoadChoice::holder );
    CHECK( chooseLoadOrHolder( { 400, 400 }, { 750, 750 }, limits ) == LoadChoice::holder );
    CHECK( chooseLoadOrHolder( { 400, 700 }, { 300, 300 }, limits ) == LoadChoice::load );
}

TEST_CASE( "A request waits for a late load if no holder can serve it before its client leaves",
           "[load_choice]" ) {
    const FirstEventLimits limits{ 500, 3000 };
    CHECK( chooseLoadOrHolder( { 3500, 3500 }, { 750, 750 }, limits ) == LoadChoice::load );
    CHECK( chooseLoadOrHolder( { 3500, 3500 }, { 6000, 6000 }, limits ) == LoadChoice::holder );
}

TEST_CASE( "A burst that is shorter than the load starts none", "[load_choice]" ) {
    ModelShortage shortage;
    const MonoTime start{ 1000s };
    for( auto at = start; at < start + 600ms; at += 20ms ) {
        CHECK_FALSE( noteShortage( shortage, 600ms, at ) );
    }
    CHECK( noteShortage( shortage, 600ms, start + 600ms ) );
    CHECK_FALSE( noteShortage( shortage, 600ms, start + 620ms ) );
    CHECK( noteShortage( shortage, 600ms, start + 1200ms ) );
}

TEST_CASE( "Two bursts with a break between them are not one shortage", "[load_choice]" ) {
    ModelShortage shortage;
    const MonoTime start{ 1000s };
    CHECK_FALSE( noteShortage( shortage, 600ms, start ) );
    CHECK_FALSE( noteShortage( shortage, 600ms, start + 1100ms ) );
    CHECK_FALSE( noteShortage( shortage, 600ms, start + 1600ms ) );
    CHECK( noteShortage( shortage, 600ms, start + 1700ms ) );
}

TEST_CASE( "Of the prompts that waited for a load those that can be in time go first",
           "[load_choice]" ) {
    const MonoTime now{ 1000s };
    const LoadWaiter pressing{ now + 50ms, now + 2000ms };
    const LoadWaiter easy{ now + 900ms, now + 5000ms };
    const LoadWaiter late{ now - 10ms, now + 100ms };
    CHECK( goesBefore( pressing, easy, now ) );
    CHECK( goesBefore( easy, late, now ) );
    CHECK_FALSE( goesBefore( late, pressing, now ) );
}

namespace {

//! Two engines of one service: "holder" holds the model m, "other" has its weights in memory.
struct FleetFixture {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    Fleet fleet{ context, random, FleetSettings{ "vm", "hall", 1, 5000ms } };
    MonoTime now = MonoClock::now();
    Generation generation;

    FleetFixture() {
        auto engine = std::make_shared<EngineSpec>();
        engine->slots = 64;
        engine->weightsMb = 220000;
        engine->adapterSlots = 8;
        engine->cacheTokens = 200000;
        engine->models.push_back( { "m", 72000, 66, 4, 6000ms, 1300ms, 600ms } );
        engine->models.push_back( { "other", 72000, 66, 4, 6000ms, 1300ms, 600ms } );
        Configuration configuration;
        configuration.version = 1;
        Service service;
        service.name = "s";
        service.engine = engine;
        configuration.services.emplace( "s", service );
        fleet.setConfiguration( std::make_shared<RouteTable>( std::move( configuration ) ), now );
        std::map<std::string, Member> members;
        members.emplace( "holder", Member{ upstream( "holder", 1 ), false } );
        members.emplace( "other", Member{ upstream( "other", 2 ), false } );
        fleet.sync( members, now );
        SidecarReport report;
        report.reachable = true;
        report.inMemory = { "m", "other" };
        report.residents = { { "m", {} } };
        node( "holder" ).takeReport( report, now );
        report.residents = { { "other", {} } };
        node( "other" ).takeReport( report, now );
        generation.model = "m";
        generation.promptTokens = 1000;
    }

    static Upstream upstream( std::string id, int port ) {
        Upstream out;
        out.id = std::move( id );
        out.service = "s";
        out.ip = "127.0.0.1";
        out.port = port;
        out.hall = "hall";
        out.slots = 64;
        return out;
    }

    Node& node( const std::string& id ) { return *fleet.nodes().at( id ); }

    Choice choose( std::optional<FirstEventLimits> limits ) {
        RequestNeeds need;
        need.service = "s";
        need.generation = &generation;
        need.firstEvent = limits;
        return fleet.choose( need, {}, now );
    }
};

constexpr FirstEventLimits shortGoal{ 480, 3000 };

} // namespace

TEST_CASE( "Forty requests at once for a model with one holder leave no other engine to load it",
           "[load_choice][replay]" ) {
    FleetFixture f;
    constexpr int requests = 40;
    constexpr double workMs = 60;
    int loadsByCost = 0;
    int loads = 0;
    for( int n = 0; n < requests; ++n ) {
        f.node( "holder" ).prefillMs = n * workMs;
        loadsByCost += f.choose( std::nullopt ).holdsModel ? 0 : 1;
        const auto choice = f.choose( shortGoal );
        loads += choice.holdsModel ? 0 : 1;
        CHECK( ( choice.avoidedLoad == nullptr ) == f.choose( std::nullopt ).holdsModel );
    }
    CHECK( loadsByCost > 20 );
    CHECK( loads == 0 );
}

TEST_CASE( "A request does not wait for a load that is under way and ends after its goal",
           "[load_choice]" ) {
    FleetFixture f;
    f.node( "holder" ).prefillMs = 1200;
    f.node( "other" ).loading["m"] = f.now - 50ms;
    CHECK( f.choose( shortGoal ).holdsModel );
    f.node( "other" ).loading["m"] = f.now - 400ms;
    CHECK_FALSE( f.choose( shortGoal ).holdsModel );
}

TEST_CASE( "A load at an engine with an order in progress counts what is left of the order",
           "[load_choice]" ) {
    FleetFixture f;
    f.node( "holder" ).report->residents.clear();
    f.node( "other" ).report->load.orderInProgress = true;
    f.node( "other" ).report->load.orderLeftMs = 5200;
    f.node( "holder" ).report->load.orderInProgress = true;
    f.node( "holder" ).report->load.orderLeftMs = 900;
    const auto choice = f.choose( shortGoal );
    REQUIRE( choice.node );
    CHECK( choice.node->upstream.id == "holder" );
    CHECK( choice.loadMs > 1400 );
    f.now += 500ms;
    CHECK( f.choose( shortGoal ).loadMs < choice.loadMs - 400 );
}

TEST_CASE( "An adapter goes to the holder whose order ends first", "[load_choice]" ) {
    FleetFixture f;
    f.generation.adapter = "a";
    f.node( "other" ).report->residents = { { "m", {} } };
    f.node( "holder" ).report->load.orderInProgress = true;
    f.node( "holder" ).report->load.orderLeftMs = 4000;
    f.node( "other" ).prefillMs = 700;
    CHECK( f.choose( shortGoal ).node->upstream.id == "other" );
    f.node( "holder" ).report->load.orderLeftMs = 60;
    CHECK( f.choose( shortGoal ).node->upstream.id == "holder" );
}
