// SPDX-License-Identifier: BSL-1.0
#include "sidecar/forecast.hpp"
#include "decide/replica_rule.hpp"
#include "gateway/estimate.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::sidecar;
using namespace std::chrono_literals;

namespace {

const MonoTime now{ 1000s };

//! An engine with three models, room for a fourth on request, some of the rest on its disk.
struct Fixture {
    gateway::EngineSpec spec;
    gateway::EngineReport report;
    Holdings holdings;

    Fixture() {
        spec.weightsMb = 220000;
        for( int n = 0; n < 6; ++n ) {
            spec.models.push_back(
                { "m" + std::to_string( n ), 70000, 0, 0, 5800ms, 1200ms, 400ms } );
        }
        report.residents = { { "m0", {} }, { "m1", {} }, { "m2", {} } };
        report.onDisk = { "m3" };
        holdings.engine = &spec;
        holdings.report = &report;
        for( const auto* it : { "m0", "m1", "m2" } ) {
            holdings.models[it].running = 1;
        }
    }
};

} // namespace

TEST_CASE( "A model wanted behind a long load is forecast after what is left of it",
           "[sidecar][forecast]" ) {
    Fixture f;
    f.report.residents.pop_back();
    f.holdings.models.erase( "m2" );
    f.report.ordering = true;
    const OrderUnderWay order{ StepKind::load, "m4", now - 800ms };
    const std::vector<Want> queue = { { "m3", "", false } };
    const auto out = forecast( f.holdings, order, queue, now );
    REQUIRE( out.coming.size() == 2 );
    CHECK( out.coming[0].model == "m4" );
    CHECK( out.coming[0].readyMs == 5000 );
    CHECK( out.coming[1].model == "m3" );
    // Beside m4 there is no room: a busy model has to make way first.
    CHECK( out.coming[1].readyMs > 5000 + 1200 + 1000 );
    CHECK( out.further.count() > out.coming[1].readyMs );
}

TEST_CASE( "An idle model makes way at once, a busy one when its streams have ended",
           "[sidecar][forecast]" ) {
    Fixture f;
    const std::vector<Want> queue = { { "m3", "", false } };
    const auto busy = forecast( f.holdings, std::nullopt, queue, now );
    f.holdings.models["m1"].running = 0;
    const auto idle = forecast( f.holdings, std::nullopt, queue, now );
    CHECK( busy.coming.at( 0 ).readyMs >= 2500 );
    CHECK( idle.coming.at( 0 ).readyMs < 1300 );
}

TEST_CASE( "An order that takes longer than it should is never forecast as done",
           "[sidecar][forecast]" ) {
    Fixture f;
    const OrderUnderWay order{ StepKind::load, "m4", now - 60s };
    CHECK( forecast( f.holdings, order, {}, now ).coming.at( 0 ).readyMs > 0 );
}

TEST_CASE( "An engine that is busy loading for seconds is no place for a model that is wanted now",
           "[gateway][estimate][forecast]" ) {
    Fixture f;
    gateway::Generation generation;
    generation.model = "m3";
    gateway::Need need;
    need.generation = &generation;
    const auto costAt = [&]( std::int64_t orderWaitMs, std::vector<gateway::ComingModel> coming ) {
        gateway::Node node( gateway::Upstream{} );
        node.engine = std::make_shared<gateway::EngineSpec>( f.spec );
        gateway::SidecarReport report;
        report.reachable = true;
        report.onDisk = { "m3" };
        report.load.orderWaitMs = orderWaitMs;
        report.load.comingModels = std::move( coming );
        node.takeReport( report, now );
        return gateway::estimate( node, need, gateway::ModelPace{}, "", now ).loadMs;
    };
    CHECK( costAt( 0, {} ) < 1500 );
    CHECK( costAt( 5000, { { "m4", 5000 } } ) > 6000 );
    // Where the model itself is on its way, nothing more has to be loaded.
    CHECK( costAt( 5000, { { "m3", 300 } } ) == Approx( 300 ) );
}

TEST_CASE( "A jump of demand calls for a copy by the requests that are turned away", "[replica]" ) {
    decide::ModelPressure jump;
    jump.copies = 1;
    jump.workMsPerS = 5;
    jump.turnedAway = 4;
    jump.sinceLastAdded = 10s;
    CHECK( decide::callsForCopy( jump, 100, 0.9 ) );
    jump.coming = true;
    CHECK_FALSE( decide::callsForCopy( jump, 100, 0.9 ) );
    jump.coming = false;
    jump.turnedAway = 1;
    CHECK_FALSE( decide::callsForCopy( jump, 100, 0.9 ) );
}

TEST_CASE( "Of many gateways that see the same load only a few add a copy", "[replica]" ) {
    decide::ModelPressure load;
    load.copies = 1;
    load.workMsPerS = 8;
    load.sinceLastAdded = 10s;
    CHECK( decide::callsForCopy( load, 100, 0.01 ) );
    CHECK_FALSE( decide::callsForCopy( load, 100, 0.5 ) );
    load.copies = 3;
    CHECK_FALSE( decide::callsForCopy( load, 100, 0.01 ) );
    load.copies = 1;
    load.sinceLastAdded = 500ms;
    CHECK_FALSE( decide::callsForCopy( load, 100, 0.01 ) );
}
