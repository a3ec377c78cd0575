// SPDX-License-Identifier: BSL-1.0
#include "decide/reading_queue.hpp"
#include "decide/event_pace.hpp"
#include "sidecar/prompt_gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

const MonoTime now{ 1000s };
constexpr Millis gapTarget = 600ms;
//! What any gap target may give to reading, with a little for rounding.
constexpr double mostReadingMs = 0.7 * 600 + 1;

ReadingRequest prompt( std::uint64_t key, double workMs, Millis startBy ) {
    return { key, workMs, now + startBy };
}

//! Takes what is due as time passes in steps of a millisecond.
struct Sent {
    std::uint64_t key;
    MonoTime at;
    double workMs;
};
std::vector<Sent> drain( ReadingQueue& queue, MonoTime from, Millis length ) {
    std::vector<Sent> out;
    for( auto at = from; at < from + length; at += 1ms ) {
        while( const auto next = queue.takeNext( at ) ) {
            out.push_back( { next->key, at, next->workMs } );
        }
    }
    return out;
}

//! Reading within the window that begins with the n-th prompt, when each is read as it is sent.
double readIn( const std::vector<Sent>& sent, std::size_t n, Millis window ) {
    double out = 0;
    for( std::size_t m = n; m < sent.size() && sent[m].at < sent[n].at + window; ++m ) {
        const auto left =
            std::chrono::duration<double, std::milli>( sent[n].at + window - sent[m].at ).count();
        out += std::min( sent[m].workMs, left );
    }
    return out;
}

gateway::PendingPrompt describePrompt( std::vector<gateway::PendingPromptPart> parts ) {
    gateway::PendingPrompt out;
    out.msPerToken = 0.1;
    out.goalMs = 500;
    for( const auto& it : parts ) {
        out.tokens += it.tokens;
    }
    out.parts = std::move( parts );
    return out;
}

sidecar::PromptRequest ask( std::uint64_t key, gateway::PendingPrompt prompt ) {
    return { key, "m", "", std::move( prompt ), now, 500ms };
}

} // namespace

TEST_CASE( "A prompt for an engine that reads nothing goes at once", "[admission][reading]" ) {
    ReadingQueue queue;
    queue.setGapTarget( gapTarget );
    const auto verdict = queue.ask( prompt( 1, 240, 500ms ), now );
    CHECK( verdict.accepted );
    CHECK( verdict.wait == 0ms );
    CHECK( queue.takeNext( now )->key == 1 );
    CHECK( queue.waiting() == 0 );
}

TEST_CASE( "Prompts of many gateways leave the streams a part of every gap target",
           "[admission][reading]" ) {
    rc::check( "reading within any gap target stays under its part", [] {
        ReadingQueue queue;
        queue.setGapTarget( gapTarget );
        std::vector<Sent> sent;
        MonoTime at = now;
        const auto count = *rc::gen::inRange( 1, 60 );
        for( int n = 0; n < count; ++n ) {
            const auto workMs = static_cast<double>( *rc::gen::inRange( 1, 400 ) );
            const auto pause = Millis( *rc::gen::inRange( 0, 120 ) );
            queue.ask( { static_cast<std::uint64_t>( n ), workMs, at + 60s }, at );
            const auto now = drain( queue, at, pause );
            sent.insert( sent.end(), now.begin(), now.end() );
            at += pause;
        }
        const auto rest = drain( queue, at, 60s );
        sent.insert( sent.end(), rest.begin(), rest.end() );
        RC_ASSERT( sent.size() == static_cast<std::size_t>( count ) );
        // A prompt is sent a little before the engine is free for it.
        for( std::size_t n = 0; n < sent.size(); ++n ) {
            RC_ASSERT( readIn( sent, n, gapTarget - 15ms ) <= mostReadingMs );
        }
    } );
}

TEST_CASE( "What can't be read in time is told so when it asks, with the time that it takes",
           "[admission][reading]" ) {
    ReadingQueue queue;
    queue.setGapTarget( gapTarget );
    REQUIRE( queue.ask( prompt( 1, 400, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    const auto verdict = queue.ask( prompt( 2, 240, 300ms ), now );
    CHECK_FALSE( verdict.accepted );
    CHECK( verdict.wait > 400ms );
    CHECK( queue.waiting() == 0 );
    CHECK( queue.ask( prompt( 3, 240, verdict.wait ), now ).accepted );
}

TEST_CASE( "A prompt with less time goes first, unless it makes an accepted one late",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 100, 900ms ), now ).accepted );
    REQUIRE( queue.takeNext( now )->key == 1 );
    REQUIRE( queue.ask( prompt( 2, 100, 900ms ), now ).accepted );
    REQUIRE( queue.ask( prompt( 3, 100, 300ms ), now ).accepted );
    CHECK( queue.takeNext( now + 100ms )->key == 3 );
    REQUIRE( queue.ask( prompt( 4, 100, 250ms ), now + 100ms ).accepted );
    // The one with 900 ms could still begin at 800 ms, but not behind 700 ms more.
    CHECK_FALSE( queue.ask( prompt( 5, 700, 400ms ), now + 100ms ).accepted );
}

TEST_CASE( "A prompt whose request has left makes room for the next", "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 300, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 300, 500ms ), now ).accepted );
    queue.withdraw( 2, now );
    CHECK( queue.waiting() == 0 );
    CHECK( queue.waitFor( 100, now ) == 300ms );
    queue.withdraw( 1, now );
    CHECK( queue.waitFor( 100, now ) == 0ms );
}

TEST_CASE( "An engine that is seen to read nothing is free, whatever was expected",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 300, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    queue.noteUnread( 0, now + 100ms );
    CHECK( queue.waitFor( 300, now + 100ms ) == 0ms );
}

TEST_CASE( "An engine that is seen with prompts it should have read is not free",
           "[admission][reading]" ) {
    ReadingQueue queue;
    for( const auto key : { 1, 2, 3 } ) {
        REQUIRE( queue.ask( prompt( key, 100, 900ms ), now ).accepted );
    }
    REQUIRE( drain( queue, now, 250ms ).size() == 3 );
    const auto later = now + 320ms;
    CHECK( queue.waitFor( 100, later ) == 0ms );
    // The second is being read, the third waits behind it.
    queue.noteUnread( 2, later );
    CHECK( queue.waitFor( 100, later ) == 150ms );
}

TEST_CASE( "A prompt that becomes late because the engine is slower than expected is told so",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 100, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 100, 150ms ), now ).accepted );
    REQUIRE( queue.ask( prompt( 3, 100, 900ms ), now ).accepted );
    CHECK( queue.takeExpired( now + 90ms ).empty() );
    // The engine still has the first one, and is expected to need 50 ms more.
    queue.noteUnread( 1, now + 200ms );
    const auto late = queue.takeExpired( now + 200ms );
    REQUIRE( late.size() == 1 );
    CHECK( late[0].key == 2 );
    CHECK( queue.waiting() == 1 );
}

TEST_CASE( "A prompt that may be late keeps its place when its goal is lost",
           "[admission][gate]" ) {
    sidecar::PromptGate gate;
    gate.setEngine( 100000, 0ms );
    gate.ask( ask( 1, describePrompt( { { 1, 1000 } } ) ), now );
    REQUIRE( gate.takeAdmitted( now ).size() == 1 );
    auto second = ask( 2, describePrompt( { { 2, 1000 } } ) );
    second.prompt.goalMs = 110;
    second.prompt.late = true;
    second.limit = 2000ms;
    REQUIRE( gate.ask( second, now ).accepted );
    gate.noteUnread( 1, now + 140ms );
    CHECK( gate.takeExpired( now + 140ms ).empty() );
    CHECK( gate.waiting() == 1 );
}

TEST_CASE( "How long events pause while prompts are read is learnt from an engine's reports",
           "[admission][pace]" ) {
    EventPace pace;
    const auto report = [&]( std::int64_t events, Millis at, bool reading ) {
        const std::vector<gateway::EngineRun> runs = { { "r", events } };
        pace.update( runs, reading, now + at );
    };
    for( int n = 0; n < 20; ++n ) {
        report( n, n * 40ms, false );
    }
    CHECK_FALSE( pace.pauseWhileReading() );
    for( int n = 0; n < 40; ++n ) {
        // A report in the middle of each pause, while prompts are read all the time.
        report( 20 + n, 800ms + n * 300ms, true );
        report( 20 + n, 950ms + n * 300ms, true );
    }
    REQUIRE( pace.pauseWhileReading() );
    CHECK( *pace.pauseWhileReading() > 280ms );
    CHECK( *pace.pauseWhileReading() < 320ms );
}

TEST_CASE( "Of two prompts with the same shared part only the first has it read",
           "[admission][gate]" ) {
    sidecar::PromptGate gate;
    gate.setEngine( 100000, gapTarget );
    gate.ask( ask( 1, describePrompt( { { 7, 1000 }, { 8, 100 } } ) ), now );
    const auto first = gate.takeAdmitted( now );
    REQUIRE( first.size() == 1 );
    CHECK( first[0].workMs == Approx( 110 ) );
    gate.ask( ask( 2, describePrompt( { { 7, 1000 }, { 9, 100 } } ) ), now );
    const auto second = gate.takeAdmitted( now + 110ms );
    REQUIRE( second.size() == 1 );
    CHECK( second[0].workMs == Approx( 10 ) );
    gate.dropModel( "m" );
    gate.ask( ask( 3, describePrompt( { { 7, 1000 }, { 9, 100 } } ) ), now + 200ms );
    CHECK( gate.takeAdmitted( now + 200ms ).at( 0 ).workMs == Approx( 110 ) );
}

TEST_CASE( "A prompt that may be late is queued where it can't be in time", "[admission][gate]" ) {
    sidecar::PromptGate gate;
    gate.setEngine( 100000, gapTarget );
    gate.ask( ask( 1, describePrompt( { { 1, 4000 } } ) ), now );
    REQUIRE( gate.takeAdmitted( now ).size() == 1 );
    auto second = ask( 2, describePrompt( { { 2, 4000 } } ) );
    second.limit = 2000ms;
    CHECK_FALSE( gate.ask( second, now ).accepted );
    second.prompt.late = true;
    CHECK( gate.ask( second, now ).accepted );
    CHECK( gate.waiting() == 1 );
}
