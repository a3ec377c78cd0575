// SPDX-License-Identifier: BSL-1.0
#include "decide/engine_speed.hpp"
#include "decide/speed_meter.hpp"
#include "gateway/choice/estimate.hpp"
#include "gateway/choice/node.hpp"
#include "gateway/choice/pace.hpp"
#include "gateway/choice/selection.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

const MonoTime start{ 1000s };

//! An engine whose streams have an event every `eventMs`, reported every 50 ms.
class Reported {
public:
    SpeedMeter meter;
    MonoTime now = start;
    double eventMs = 25;
    int streams = 1;

    void idle( Millis time ) { pass( time, 0 ); }
    //! Reads a prompt that states `workMs` in `time`.
    void read( double workMs, Millis time ) {
        meter.notePrompt( ++m_lastKey, workMs, now );
        pass( time, 1 );
        report( 0, 50ms );
    }
    void report( std::uint32_t prefilling, Millis passed, std::uint32_t queued = 0 ) {
        now += passed;
        m_events += static_cast<double>( passed.count() ) / eventMs;
        gateway::EngineReport out;
        out.prefilling = prefilling;
        out.queued = queued;
        out.running = static_cast<std::uint32_t>( streams ) + prefilling;
        for( int n = 0; n < streams; ++n ) {
            out.runs.push_back(
                { "s" + std::to_string( n ), 1 + static_cast<std::int64_t>( m_events ) } );
        }
        meter.takeReport( out, now );
    }
    EngineSpeed speed() const { return meter.speed( now ); }

private:
    void pass( Millis time, std::uint32_t prefilling ) {
        for( Millis left = time; left > 0ms; left -= 50ms ) {
            report( prefilling, std::min( left, 50ms ) );
        }
    }

    double m_events = 0;
    std::uint64_t m_lastKey = 0;
};

//! Reads prompts for `time`, each of 200 ms by its request, in `factor` times that.
void readFor( Reported& engine, Millis time, double factor ) {
    const auto end = engine.now + time;
    while( engine.now < end ) {
        engine.streams = 0;
        engine.read( 200, Millis( static_cast<std::int64_t>( 200 * factor ) ) );
        engine.idle( 200ms );
    }
}

EngineSpeed measured( double ratio, double certainty = 1 ) {
    return { ratio, 0, certainty, 0, 0 };
}

} // namespace

TEST_CASE( "The time between a stream's events is measured, whatever the number of streams",
           "[speed]" ) {
    Reported engine;
    CHECK( engine.speed().stepMs == 0 );
    engine.streams = GENERATE( 1, 5, 40 );
    engine.idle( 2000ms );
    CHECK( engine.speed().stepMs == Approx( 25 ).epsilon( 0.1 ) );
    engine.eventMs = 100;
    engine.idle( 1500ms );
    CHECK( engine.speed().stepMs > 50 );
    engine.eventMs = 25;
    engine.idle( 1500ms );
    CHECK( engine.speed().stepMs < 35 );
}

TEST_CASE( "An engine that needs longer than stated shows within a second, and as fast when it no "
           "longer does",
           "[speed]" ) {
    Reported engine;
    readFor( engine, 3000ms, 1 );
    CHECK( engine.speed().timeRatio == Approx( 1 ).epsilon( 0.15 ) );
    CHECK( engine.speed().certainty > 0.6 );
    readFor( engine, 1000ms, 4 );
    CHECK( engine.speed().timeRatio > 2 );
    readFor( engine, 2000ms, 1 );
    CHECK( engine.speed().timeRatio < 1.4 );
}

TEST_CASE( "An engine that is faster than stated is measured so", "[speed]" ) {
    Reported engine;
    readFor( engine, 3000ms, 0.5 );
    CHECK( engine.speed().timeRatio < 0.7 );
}

TEST_CASE( "The steps of an engine with many streams do not count as reading", "[speed]" ) {
    Reported engine;
    engine.streams = 40;
    engine.idle( 1000ms );
    // In 400 ms the streams have four events instead of sixteen: 100 ms of steps, 300 of reading.
    engine.eventMs = 100;
    for( int n = 0; n < 3; ++n ) {
        engine.read( 288, 400ms );
    }
    CHECK( engine.speed().timeRatio == Approx( 1 ).epsilon( 0.1 ) );
}

TEST_CASE( "Prompts that wait in the engine for a place do not make it slow", "[speed]" ) {
    Reported engine;
    readFor( engine, 2000ms, 1 );
    for( int n = 0; n < 20; ++n ) {
        engine.report( 0, 50ms, 3 );
    }
    readFor( engine, 400ms, 1 );
    CHECK( engine.speed().timeRatio < 1.3 );
}

TEST_CASE( "A process that stood still forgets what it measured, and the report from before",
           "[speed]" ) {
    Reported engine;
    readFor( engine, 2000ms, 4 );
    engine.streams = 1;
    engine.idle( 1000ms );
    CHECK( engine.speed().certainty > 0.2 );
    const auto old = engine.speed();
    // The first report after it may have been made before; the next one shows all that happened.
    engine.now += 5s;
    engine.report( 0, 0ms );
    CHECK( engine.speed().certainty == 0 );
    engine.report( 0, 2000ms );
    engine.now -= 1960ms;
    CHECK( engine.speed().stepMs == 0 );
    CHECK( certaintyNow( old, 5s ) < 0.1 );
}

TEST_CASE( "A prompt whose request is withdrawn is not taken for read", "[speed]" ) {
    SpeedMeter meter;
    meter.takeReport( {}, start );
    meter.notePrompt( 1, 500, start );
    meter.withdraw( 1 );
    meter.takeReport( {}, start + 900ms );
    meter.takeReport( {}, start + 1800ms );
    CHECK( meter.speed( start + 1800ms ).certainty == 0 );
}

TEST_CASE( "The usual speed is the median of the engines measured with certainty", "[speed]" ) {
    CHECK( usualTimeRatio( {} ) == 1 );
    const std::vector<EngineSpeed> speeds{ measured( 1.2 ), measured( 1.3 ), measured( 1.25 ),
                                           measured( 2.7 ), measured( 9, 0.1 ) };
    CHECK( usualTimeRatio( speeds ) == Approx( 1.275 ) );
}

TEST_CASE( "An engine's factor follows its measured ratio as far as it is certain", "[speed]" ) {
    CHECK( timeFactor( measured( 2.4 ), 1.2, 1 ) == Approx( 2 ) );
    CHECK( timeFactor( measured( 2.4 ), 1.2, 0.5 ) == Approx( 1.5 ) );
    CHECK( timeFactor( measured( 2.4 ), 1.2, 0 ) == 1 );
    CHECK( timeFactor( measured( 0.6 ), 1.2, 1 ) == Approx( 0.5 ) );
    CHECK( timeFactor( measured( 1.5 ), 1.2, 1 ) == 1 );
    CHECK( timeFactor( measured( 1.1 ), 1.2, 1 ) == 1 );
}

TEST_CASE( "Streams are expected to be late where the time between events exceeds the gap target",
           "[speed]" ) {
    CHECK( expectedLateShare( {}, 300ms ) == 0 );
    CHECK( expectedLateShare( { 1, 50, 1, 0, 200 }, 300ms ) == 0 );
    CHECK( expectedLateShare( { 4, 400, 1, 0, 0 }, 300ms ) == 1 );
    CHECK( expectedLateShare( { 4, 100, 1, 0, 900 }, 300ms ) > 0.4 );
    // Reading is limited to a part of the gap target, however long it would take.
    CHECK( expectedLateShare( { 1, 25, 1, 0, 900 }, 300ms ) == 0 );
    CHECK( expectedLateShare( { 4, 400, 1, 0, 0 }, 0ms ) == 0 );
}

TEST_CASE( "An engine is found slow, and usual again, when that lasts", "[speed]" ) {
    SlowState state;
    CHECK_FALSE( state.note( 2, start ) );
    CHECK_FALSE( state.note( 1, start + 400ms ) );
    CHECK_FALSE( state.note( 2, start + 800ms ) );
    CHECK( state.note( 2, start + 1900ms ) );
    CHECK( state.slow() );
    CHECK_FALSE( state.note( 1.4, start + 4s ) );
    CHECK_FALSE( state.note( 1, start + 5s ) );
    CHECK( state.note( 1, start + 6s ) );
    CHECK_FALSE( state.slow() );
}

TEST_CASE( "A node's speed fades with its report's age and is none when the report is old",
           "[speed][gateway]" ) {
    gateway::Node node( {}, start );
    CHECK( node.timeFactor( start ) == 1 );
    gateway::SidecarReport report;
    report.load.speed = measured( 3 );
    node.takeReport( report, start );
    CHECK( node.timeFactor( start ) == Approx( 3 ) );
    CHECK( node.timeFactor( start + 1s ) < 2.5 );
    CHECK( node.timeFactor( start + 2s ) == 1 );
    // A sidecar that wakes tells how old its figures are.
    report.load.speed.ageMs = 10000;
    node.takeReport( report, start + 3s );
    CHECK( node.timeFactor( start + 3s ) == Approx( 1 ).margin( 0.1 ) );
}

TEST_CASE( "A model's usual pace is learnt from slow engines too", "[speed][gateway]" ) {
    gateway::ModelPace pace;
    for( int n = 0; n < 200; ++n ) {
        pace.note( "m", 4000, 12 + 4000.0 / 40 * 2, 2 );
    }
    CHECK( pace.readingMs( "m", 4000 ) == Approx( 100 ).epsilon( 0.02 ) );
}

TEST_CASE( "Of engines with the same wait the faster one reads a prompt first",
           "[speed][gateway]" ) {
    std::vector<gateway::Candidate> candidates( 2 );
    candidates[0].backlogMs = 40;
    candidates[0].workMs = 100;
    candidates[0].timeFactor = 2;
    candidates[0].affinity = 9;
    candidates[1].backlogMs = 100;
    candidates[1].workMs = 100;
    CHECK( gateway::choose( candidates ) == 1 );
    candidates[0].timeFactor = 0.5;
    CHECK( gateway::choose( candidates ) == 0 );
}

TEST_CASE( "Only where speeds differ a choice is spread, over those with as much cached",
           "[speed][gateway]" ) {
    std::vector<gateway::Candidate> candidates( 4 );
    for( auto& it : candidates ) {
        it.workMs = 100;
        it.uncachedTokens = 4000;
    }
    const auto random = GENERATE( 0.0, 0.3, 0.6, 0.999 );
    CHECK( gateway::spread( candidates, 2, random ) == 2 );
    candidates[0].timeFactor = 2;
    candidates[1].uncachedTokens = 5000;
    CHECK( gateway::spread( candidates, 2, random ) == ( random < 0.5 ? 2U : 3U ) );
    candidates[3].avoided = true;
    CHECK( gateway::spread( candidates, 2, random ) == 2 );
}

TEST_CASE( "A gateway's own measurement counts as far as the measured speed does not explain it",
           "[speed][gateway]" ) {
    gateway::Health health;
    health.slowness = 3;
    health.slownessAt = start;
    CHECK( gateway::unexplainedSlowness( health, 1, start ) == Approx( 3 ) );
    CHECK( gateway::unexplainedSlowness( health, 2, start ) == Approx( 1.5 ) );
    CHECK( gateway::unexplainedSlowness( health, 4, start ) == 1 );
    CHECK( gateway::unexplainedSlowness( health, 0.5, start ) == Approx( 3 ) );
}

TEST_CASE( "An estimate counts reading, and the pauses to expect, at the engine's speed",
           "[speed][gateway]" ) {
    gateway::Node node( {}, start );
    gateway::EngineSpec spec;
    spec.models.push_back( { "m", 72700, 66, 4, 4200ms, 840ms, 400ms } );
    node.engine = std::make_shared<const gateway::EngineSpec>( spec );
    node.gapTarget = 300ms;
    gateway::SidecarReport report;
    report.residents = { { "m", {} } };
    node.takeReport( report, start );
    node.prefillMs = 40;
    gateway::Generation generation;
    generation.model = "m";
    generation.promptTokens = 3800;
    gateway::RequestNeeds need;
    need.generation = &generation;
    const auto usual = estimate( node, need, {}, {}, start );
    CHECK( usual.timeFactor == 1 );
    CHECK( usual.latePauseShare == 0 );
    report.load.speed = { 2.4, 400, 1, 0, 0 };
    node.usualTimeRatio = 1.2;
    node.takeReport( report, start );
    const auto slow = estimate( node, need, {}, {}, start );
    CHECK( slow.timeFactor == Approx( 2 ) );
    CHECK( slow.workMs == Approx( usual.workMs ) );
    CHECK( slow.backlogMs == Approx( usual.backlogMs + 40 ) );
    CHECK( slow.latePauseShare == 1 );
    // An old sidecar tells no speed.
    report.load.speed = {};
    node.takeReport( report, start );
    CHECK( costOf( estimate( node, need, {}, {}, start ) ) == Approx( costOf( usual ) ) );
}
