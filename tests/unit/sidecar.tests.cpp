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
    ResidencyState holdings;

    Fixture() {
        report.residents = { { "m0", {} }, { "m1", {} }, { "m2", {} } };
        report.onDisk = { "m0", "m1", "m2", "m3" };
        holdings.engine = &spec;
        holdings.report = &report;
    }
    void use( const std::string& model, double perS, int copies ) {
        Usage out;
        out.perS = perS;
        out.copies = copies;
        holdings.models[model] = out;
    }
};

} // namespace

TEST_CASE( "A model that is there needs no order", "[sidecar][residency]" ) {
    Fixture f;
    CHECK( nextStep( f.holdings, { "m1", "", false }, now ).kind == StepKind::ready );
}

TEST_CASE( "The copy that is missed least makes way: one of many before a last one",
           "[sidecar][residency]" ) {
    Fixture f;
    f.use( "m0", 26, 18 );
    f.use( "m1", 0.16, 1 );
    f.use( "m2", 5, 2 );
    const auto step = nextStep( f.holdings, { "m3", "", false }, now );
    CHECK( step.kind == StepKind::unload );
    CHECK( step.model == "m0" );
}

TEST_CASE( "A model loaded just now does not make way", "[sidecar][residency]" ) {
    Fixture f;
    for( const auto* it : { "m0", "m1", "m2" } ) {
        f.holdings.models[it].loadedAt = now - 100ms;
    }
    CHECK( nextStep( f.holdings, { "m3", "", false }, now ).kind == StepKind::noCapacity );
}

TEST_CASE( "A model that only the weight store has waits for leave to use it",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.residents.pop_back();
    CHECK( nextStep( f.holdings, { "m4", "", false }, now ).kind == StepKind::needsWeightStore );
    CHECK( nextStep( f.holdings, { "m4", "", true }, now ).kind == StepKind::load );
}

TEST_CASE( "While an unload waits for its runs, nobody is let in, and its memory stays taken",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.orderInProgress = true;
    f.holdings.unloads = { { "m0", "", now } };
    // Twenty gateways ask on, and the report goes on listing the model.
    for( int n = 0; n < 20; ++n ) {
        const auto at = now + n * 40ms;
        removeFinishedUnloads( f.holdings.unloads, f.report, at );
        CHECK( nextStep( f.holdings, { "m0", "", false }, at ).kind == StepKind::unloading );
        CHECK( nextStep( f.holdings, { "m0", "a1", false }, at ).kind == StepKind::unloading );
        // A load that is wanted meanwhile waits: the room is not there yet.
        CHECK( nextStep( f.holdings, { "m3", "", false }, at ).kind == StepKind::wait );
    }
    CHECK( usedMb( f.spec, f.report ) == Approx( 3 * 72700 ) );
    const auto shown = availableResidents( f.report.residents, f.holdings.unloads, "" );
    REQUIRE( shown.size() == 2 );
    CHECK( shown[0].model == "m1" );
}

TEST_CASE( "An unload is forgotten when a report shows that it is done, or was lost",
           "[sidecar][residency]" ) {
    Fixture f;
    std::vector<PendingUnload> unloads{ { "m0", "", now } };
    f.report.orderInProgress = true;
    removeFinishedUnloads( unloads, f.report, now + 2s );
    CHECK( unloads.size() == 1 );
    auto done = f.report;
    done.residents.erase( done.residents.begin() );
    auto after = unloads;
    removeFinishedUnloads( after, done, now + 2s );
    CHECK( after.empty() );
    f.report.orderInProgress = false;
    removeFinishedUnloads( unloads, f.report, now + 2s );
    CHECK( unloads.empty() );
    // An adapter's unload does not show as an order under way.
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
    CHECK( nextStep( f.holdings, { "m3", "", false }, now ).kind == StepKind::wait );
    CHECK( nextStep( f.holdings, { "m1", "a1", false }, now ).kind == StepKind::wait );
}

TEST_CASE( "An adapter takes a free slot, or that of the one unused longest",
           "[sidecar][residency]" ) {
    Fixture f;
    CHECK( nextStep( f.holdings, { "m1", "a1", false }, now ).kind == StepKind::load );
    f.report.residents[0].adapters = { "a1" };
    f.report.residents[2].adapters = { "a2" };
    f.holdings.adapters["m0/a1"].lastUsed = now - 2s;
    f.holdings.adapters["m2/a2"].lastUsed = now - 5s;
    const auto step = nextStep( f.holdings, { "m1", "a1", false }, now );
    CHECK( step.kind == StepKind::unload );
    CHECK( step.model == "m2" );
    CHECK( step.adapter == "a2" );
}

TEST_CASE( "Adapters in use keep their slots, and those on their way count",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.residents[0].adapters = { "a1" };
    f.report.loadingAdapters = { "m1/a4" };
    f.holdings.adapters["m0/a1"].lastUsed = now - 10ms;
    CHECK( nextStep( f.holdings, { "m1", "a1", false }, now ).kind == StepKind::noCapacity );
    CHECK( nextStep( f.holdings, { "m1", "a4", false }, now ).kind == StepKind::wait );
}

TEST_CASE( "An adapter that requests run with keeps its slot, however long ago it was asked for",
           "[sidecar][residency]" ) {
    Fixture f;
    f.report.residents[0].adapters = { "a1" };
    f.report.residents[2].adapters = { "a2" };
    f.holdings.adapters["m0/a1"] = { 0, 1, 1, now - 9s, {} };
    f.holdings.adapters["m2/a2"] = { 0, 1, 0, now - 2s, {} };
    const auto step = nextStep( f.holdings, { "m1", "a1", false }, now );
    CHECK( step.kind == StepKind::unload );
    CHECK( step.adapter == "a2" );
    CHECK( hasAdapterCapacity( f.holdings, now ) );
    f.holdings.adapters["m2/a2"].running = 3;
    CHECK( nextStep( f.holdings, { "m1", "a1", false }, now ).kind == StepKind::noCapacity );
    CHECK_FALSE( hasAdapterCapacity( f.holdings, now ) );
}

TEST_CASE( "A model with running requests retires before it is unloaded", "[sidecar][residency]" ) {
    Fixture f;
    f.use( "m0", 26, 18 );
    f.use( "m1", 40, 3 );
    f.use( "m2", 50, 3 );
    f.holdings.models["m0"].running = 4;
    const RequiredModel required{ "m3", "", false };
    const auto first = nextStep( f.holdings, required, now );
    CHECK( first.kind == StepKind::retire );
    CHECK( first.model == "m0" );
    f.holdings.retiring = "m0";
    f.holdings.retiringSince = now;
    SECTION( "while they run nothing is unloaded, and the choice stays" ) {
        f.use( "m1", 0, 3 );
        const auto step = nextStep( f.holdings, required, now + 1s );
        CHECK( step.kind == StepKind::retire );
        CHECK( step.model == "m0" );
    }
    SECTION( "when they have ended it is unloaded" ) {
        f.holdings.models["m0"].running = 0;
        CHECK( nextStep( f.holdings, required, now + 1s ).kind == StepKind::unload );
    }
    SECTION( "it does not wait for the longest for ever" ) {
        CHECK( nextStep( f.holdings, required, now + 5s ).kind == StepKind::unload );
    }
}

TEST_CASE( "An engine never holds more than its room, whatever is wanted in whatever order",
           "[sidecar][residency]" ) {
    rc::check( [] {
        Fixture f;
        f.report.residents.clear();
        MonoTime at = now;
        const auto wants = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair( rc::gen::inRange( 0, 5 ), rc::gen::inRange( 0, 4 ) ) );
        for( const auto& [model, adapter] : wants ) {
            RequiredModel required{ "m" + std::to_string( model ), "", true };
            if( adapter > 0 ) {
                required.adapter = "a" + std::to_string( adapter );
            }
            for( int round = 0; round < 10; ++round ) {
                at += 2s;
                const auto step = nextStep( f.holdings, required, at );
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
            RC_ASSERT( nextStep( f.holdings, required, at ).kind == StepKind::ready );
        }
    } );
}

TEST_CASE( "An engine whose streams pause too long is told apart from one that streams well",
           "[sidecar][pauses]" ) {
    PauseMeter slow;
    PauseMeter quick;
    MonoTime at = now;
    std::vector<gateway::EngineRun> stalled;
    std::vector<gateway::EngineRun> flowing;
    for( int n = 0; n < 6; ++n ) {
        stalled.push_back( { "r" + std::to_string( n ), 1 } );
        flowing.push_back( { "r" + std::to_string( n ), 1 } );
    }
    for( int round = 0; round < 6; ++round ) {
        for( auto& it : flowing ) {
            ++it.events;
        }
        slow.update( stalled, 400ms, at );
        quick.update( flowing, 400ms, at );
        at += 150ms;
    }
    quick.update( {}, 400ms, at );
    CHECK( slow.lateShare( at ) > 0.6 );
    CHECK( quick.lateShare( at ) == 0 );
    SECTION( "the judgement fades, so that it is tried again" ) {
        slow.update( {}, 400ms, at );
        CHECK( slow.lateShare( at + 12s ) < 0.1 );
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
    const std::vector<gateway::SentPart> both{ { 1, 100, "m" }, { 2, 200, "m" } };
    parts.add( both );
    CHECK( parts.takeUnpublished().size() == 2U );
    CHECK( parts.takeUnpublished().empty() );
    parts.add( std::span( both ).first( 1 ) );
    const auto again = parts.takeUnpublished();
    REQUIRE( again.size() == 1U );
    CHECK( again[0].key == 1U );
    // A gateway that comes later hears of all, the one used last at the end.
    CHECK( parts.all().back().key == 1U );
    CHECK( parts.all().size() == 2U );
}
