// SPDX-License-Identifier: BSL-1.0
#include "sidecar/pause_meter.hpp"
#include "sidecar/residency.hpp"
#include "sidecar/sent_parts.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace coursehead;
using namespace coursehead::sidecar;
using namespace std::chrono_literals;

namespace {

const MonoTime now{ 1000s };

gateway::EngineSpec engine() {
    gateway::EngineSpec out;
    out.weightsMb = 220000;
    out.adapterSlots = 2;
    for( int n = 0; n < 5; ++n ) {
        out.models.push_back( { "m" + std::to_string( n ), 72700, 66, 4, 4200ms, 840ms, 400ms } );
    }
    return out;
}

struct Fixture {
    gateway::EngineSpec spec = engine();
    gateway::EngineReport report;
    ResidencyState residency;

    Fixture() {
        report.residents = { { "m0", {} }, { "m1", {} }, { "m2", {} } };
        report.onDisk = { "m0", "m1", "m2", "m3" };
        residency.engine = &spec;
        residency.report = &report;
    }
    void setUsage( const std::string& model, double perS, int copies ) {
        Usage out;
        out.perS = perS;
        out.copies = copies;
        residency.models[model] = out;
    }
};

} // namespace

TEST_CASE( "A model that is there needs no order", "[sidecar][residency]" ) {
    Fixture f;
    CHECK( nextStep( f.residency, { "m1", "", false }, now ).kind == StepKind::ready );
}

TEST_CASE( "The copy that is missed least makes way: one of many before a last one",
           "[sidecar][residency]" ) {
    Fixture f;
    f.setUsage( "m0", 26, 18 );
    f.setUsage( "m1", 0.16, 1 );
    f.setUsage( "m2", 5, 2 );
    const auto step = nextStep( f.residency, { "m3", "", false }, now );
    CHECK( step.kind == StepKind::unload );
    CHECK( step.model == "m0" );
}

TEST_CASE( "A model loaded just now does not make way", "[sidecar][residency]" ) {
    Fixture f;
    for( const auto* it : { "m0", "m1", "m2" } ) {
        f.residency.models[it].loadedAt = now - 100ms;
    }
    CHECK( nextStep( f.residency, { "m3", "", false }, now ).kind == StepKind::noCapacity );
}

TEST_CASE( "A model that only the weight store has waits for leave to use it",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.residents.pop_back();
    CHECK( nextStep( f.residency, { "m4", "", false }, now ).kind == StepKind::needsWeightStore );
    CHECK( nextStep( f.residency, { "m4", "", true }, now ).kind == StepKind::load );
}

TEST_CASE( "While an unload waits for its runs, nobody is let in, and its memory stays taken",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.orderInProgress = true;
    f.residency.unloads = { { "m0", "", now } };
    // Twenty gateways repeat their requests, and the report still lists the model.
    for( int n = 0; n < 20; ++n ) {
        const auto at = now + n * 40ms;
        removeFinishedUnloads( f.residency.unloads, f.report, at );
        CHECK( nextStep( f.residency, { "m0", "", false }, at ).kind == StepKind::unloading );
        CHECK( nextStep( f.residency, { "m0", "a1", false }, at ).kind == StepKind::unloading );
        // A load requested meanwhile waits, because the memory is not free yet.
        CHECK( nextStep( f.residency, { "m3", "", false }, at ).kind == StepKind::wait );
    }
    CHECK( usedMb( f.spec, f.report ) == Approx( 3 * 72700 ) );
    const auto available = availableResidents( f.report.residents, f.residency.unloads, "" );
    REQUIRE( available.size() == 2 );
    CHECK( available[0].model == "m1" );
}

TEST_CASE( "An unload is forgotten when a report shows that it is done, or was lost",
           "[sidecar][residency]" ) {
    Fixture f;
    std::vector<PendingUnload> unloads{ { "m0", "", now } };
    f.report.orderInProgress = true;
    removeFinishedUnloads( unloads, f.report, now + 2s );
    CHECK( unloads.size() == 1 );
    auto reportAfterUnload = f.report;
    reportAfterUnload.residents.erase( reportAfterUnload.residents.begin() );
    auto remainingUnloads = unloads;
    removeFinishedUnloads( remainingUnloads, reportAfterUnload, now + 2s );
    CHECK( remainingUnloads.empty() );
    f.report.orderInProgress = false;
    removeFinishedUnloads( unloads, f.report, now + 2s );
    CHECK( unloads.empty() );
    // An adapter's unload is not reported as an order in progress.
    f.report.residents[1].adapters = { "a1", "a2" };
    unloads = { { "m1", "a1", now } };
    removeFinishedUnloads( unloads, f.report, now + 100ms );
    CHECK( unloads.size() == 1 );
    CHECK( availableResidents( f.report.residents, unloads, "" )[1].adapters ==
           std::vector<std::string>{ "a2" } );
    removeFinishedUnloads( unloads, f.report, now + 1100ms );
    CHECK( unloads.empty() );
}

TEST_CASE( "While a model's order is under way no other order is given", "[sidecar][residency]" ) {
    Fixture f;
    f.report.orderInProgress = true;
    CHECK( nextStep( f.residency, { "m3", "", false }, now ).kind == StepKind::wait );
    CHECK( nextStep( f.residency, { "m1", "a1", false }, now ).kind == StepKind::wait );
}

TEST_CASE( "An adapter takes a free slot, or that of the one unused longest",
           "[sidecar][residency]" ) {
    Fixture f;
    CHECK( nextStep( f.residency, { "m1", "a1", false }, now ).kind == StepKind::load );
    f.report.residents[0].adapters = { "a1" };
    f.report.residents[2].adapters = { "a2" };
    f.residency.adapters["m0/a1"].lastUsed = now - 2s;
    f.residency.adapters["m2/a2"].lastUsed = now - 5s;
    const auto step = nextStep( f.residency, { "m1", "a1", false }, now );
    CHECK( step.kind == StepKind::unload );
    CHECK( step.model == "m2" );
    CHECK( step.adapter == "a2" );
}

TEST_CASE( "Adapters in use keep their slots, and those on their way count",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.residents[0].adapters = { "a1" };
    f.report.loadingAdapters = { "m1/a4" };
    f.residency.adapters["m0/a1"].lastUsed = now - 10ms;
    CHECK( nextStep( f.residency, { "m1", "a1", false }, now ).kind == StepKind::noCapacity );
    CHECK( nextStep( f.residency, { "m1", "a4", false }, now ).kind == StepKind::wait );
}

TEST_CASE( "An adapter that requests run with keeps its slot, however long ago it was asked for",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.residents[0].adapters = { "a1" };
    f.report.residents[2].adapters = { "a2" };
    f.residency.adapters["m0/a1"] = { 0, 1, 1, now - 9s, {} };
    f.residency.adapters["m2/a2"] = { 0, 1, 0, now - 2s, {} };
    const auto step = nextStep( f.residency, { "m1", "a1", false }, now );
    CHECK( step.kind == StepKind::unload );
    CHECK( step.adapter == "a2" );
    CHECK( hasAdapterCapacity( f.residency, now ) );
    f.residency.adapters["m2/a2"].running = 3;
    CHECK( nextStep( f.residency, { "m1", "a1", false }, now ).kind == StepKind::noCapacity );
    CHECK_FALSE( hasAdapterCapacity( f.residency, now ) );
}

TEST_CASE( "A model with running requests retires before it is unloaded", "[sidecar][residency]" ) {
    Fixture f;
    f.setUsage( "m0", 26, 18 );
    f.setUsage( "m1", 40, 3 );
    f.setUsage( "m2", 50, 3 );
    f.residency.models["m0"].running = 4;
    const RequiredModel required{ "m3", "", false };
    const auto first = nextStep( f.residency, required, now );
    CHECK( first.kind == StepKind::retire );
    CHECK( first.model == "m0" );
    f.residency.retiring = "m0";
    f.residency.retiringSince = now;
    SECTION( "while they run nothing is unloaded, and the choice stays" ) {
        f.setUsage( "m1", 0, 3 );
        const auto step = nextStep( f.residency, required, now + 1s );
        CHECK( step.kind == StepKind::retire );
        CHECK( step.model == "m0" );
    }
    SECTION( "when they have ended it is unloaded" ) {
        f.residency.models["m0"].running = 0;
        CHECK( nextStep( f.residency, required, now + 1s ).kind == StepKind::unload );
    }
    SECTION( "it does not wait for the longest for ever" ) {
        CHECK( nextStep( f.residency, required, now + 5s ).kind == StepKind::unload );
    }
}

TEST_CASE( "An engine never holds more than its room, whatever is wanted in whatever order",
           "[sidecar][residency]" ) {
    rc::check( [] {
        Fixture f;
        f.report.residents.clear();
        MonoTime at = now;
        const auto requirements = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair( rc::gen::inRange( 0, 5 ), rc::gen::inRange( 0, 4 ) ) );
        for( const auto& [model, adapter] : requirements ) {
            RequiredModel required{ "m" + std::to_string( model ), "", true };
            if( adapter > 0 ) {
                required.adapter = "a" + std::to_string( adapter );
            }
            for( int round = 0; round < 10; ++round ) {
                at += 2s;
                const auto step = nextStep( f.residency, required, at );
                if( step.kind != StepKind::load && step.kind != StepKind::unload ) {
                    break;
                }
                auto& residents = f.report.residents;
                const auto it =
                    std::find_if( residents.begin(), residents.end(),
                                  [&]( const auto& r ) { return r.model == step.model; } );
                if( step.adapter.empty() && step.kind == StepKind::load ) {
                    RC_ASSERT( it == residents.end() );
                    residents.push_back( { step.model, {} } );
                } else if( step.adapter.empty() ) {
                    residents.erase( it );
                } else if( step.kind == StepKind::load ) {
                    it->adapters.push_back( step.adapter );
                } else {
                    std::erase( it->adapters, step.adapter );
                }
                std::size_t adapters = 0;
                for( const auto& r : residents ) {
                    adapters += r.adapters.size();
                }
                RC_ASSERT( usedMb( f.spec, f.report ) <= f.spec.weightsMb );
                RC_ASSERT( adapters <= 2U );
            }
            RC_ASSERT( nextStep( f.residency, required, at ).kind == StepKind::ready );
        }
    } );
}

TEST_CASE( "An engine whose streams pause too long is told apart from one that streams well",
           "[sidecar][pauses]" ) {
    PauseMeter stalledMeter;
    PauseMeter flowingMeter;
    MonoTime at = now;
    std::vector<gateway::EngineRun> stalledRuns;
    std::vector<gateway::EngineRun> flowingRuns;
    for( int n = 0; n < 6; ++n ) {
        stalledRuns.push_back( { "r" + std::to_string( n ), 1 } );
        flowingRuns.push_back( { "r" + std::to_string( n ), 1 } );
    }
    for( int round = 0; round < 6; ++round ) {
        for( auto& it : flowingRuns ) {
            ++it.events;
        }
        stalledMeter.update( stalledRuns, 400ms, at );
        flowingMeter.update( flowingRuns, 400ms, at );
        at += 150ms;
    }
    flowingMeter.update( {}, 400ms, at );
    CHECK( stalledMeter.lateShare( at ) > 0.6 );
    CHECK( flowingMeter.lateShare( at ) == 0 );
    SECTION( "the judgement fades, so that it is tried again" ) {
        stalledMeter.update( {}, 400ms, at );
        CHECK( stalledMeter.lateShare( at + 12s ) < 0.1 );
    }
}

TEST_CASE( "Reading a prompt is no pause, and one late stream is no verdict",
           "[sidecar][pauses]" ) {
    PauseMeter meter;
    std::vector<gateway::EngineRun> reading{ { "r1", 0 } };
    meter.update( reading, 400ms, now );
    meter.update( reading, 400ms, now + 2s );
    CHECK( meter.lateShare( now + 2s ) == 0 );
    reading[0].events = 1;
    meter.update( reading, 400ms, now + 3s );
    meter.update( reading, 400ms, now + 4s );
    CHECK( meter.lateShare( now + 4s ) < 0.4 );
}

TEST_CASE( "Sent parts are told once, and again when they were used again", "[sidecar][prefix]" ) {
    SentParts parts;
    const std::vector<gateway::SentPart> sentParts{ { 1, 100, "m" }, { 2, 200, "m" } };
    parts.add( sentParts );
    CHECK( parts.takeUnpublished().size() == 2U );
    CHECK( parts.takeUnpublished().empty() );
    parts.add( std::span( sentParts ).first( 1 ) );
    const auto unpublished = parts.takeUnpublished();
    REQUIRE( unpublished.size() == 1U );
    CHECK( unpublished[0].key == 1U );
    // A gateway that connects later receives all parts, the last used one at the end.
    CHECK( parts.all().back().key == 1U );
    CHECK( parts.all().size() == 2U );
}
