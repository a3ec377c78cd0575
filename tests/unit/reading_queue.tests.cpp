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
//! Upper bound on prompt reading within one gap target: its share of 0.7, and 1 ms for rounding.
constexpr double maxReadingMs = 0.7 * 600 + 1;

ReadingRequest readingRequest( std::uint64_t key, double workMs, Millis startBy ) {
    return { key, workMs, now + startBy };
}

//! A prompt that the queue released to the engine.
struct SentPrompt {
    std::uint64_t key;
    MonoTime at;
    double workMs;
};

//! Advances time in steps of 1 ms and collects the prompts that the queue releases.
std::vector<SentPrompt> takeDuring( ReadingQueue& queue, MonoTime from, Millis length ) {
    std::vector<SentPrompt> out;
    for( auto at = from; at < from + length; at += 1ms ) {
        while( const auto next = queue.takeNext( at ) ) {
            out.push_back( { next->key, at, next->workMs } );
        }
    }
    return out;
}

//! Reading time in milliseconds within the window that starts when the n-th prompt is sent,
//! provided that the engine starts to read each prompt when it is sent.
double readingMsInWindow( const std::vector<SentPrompt>& sent, std::size_t n, Millis window ) {
    double out = 0;
    for( std::size_t m = n; m < sent.size() && sent[m].at < sent[n].at + window; ++m ) {
        const auto remainingMs =
            std::chrono::duration<double, std::milli>( sent[n].at + window - sent[m].at ).count();
        out += std::min( sent[m].workMs, remainingMs );
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

sidecar::PromptRequest promptRequest( std::uint64_t key, gateway::PendingPrompt prompt ) {
    return { key, "m", "", std::move( prompt ), now, 500ms };
}

} // namespace

TEST_CASE( "A prompt for an engine that reads nothing goes at once", "[admission][reading]" ) {
    ReadingQueue queue;
    queue.setGapTarget( gapTarget );
    const auto verdict = queue.ask( readingRequest( 1, 240, 500ms ), now );
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
        std::vector<SentPrompt> sent;
        MonoTime at = now;
        const auto count = *rc::gen::inRange( 1, 60 );
        for( int n = 0; n < count; ++n ) {
            const auto workMs = static_cast<double>( *rc::gen::inRange( 1, 400 ) );
            const auto pause = Millis( *rc::gen::inRange( 0, 120 ) );
            queue.ask( { static_cast<std::uint64_t>( n ), workMs, at + 60s }, at );
            const auto now = takeDuring( queue, at, pause );
            sent.insert( sent.end(), now.begin(), now.end() );
            at += pause;
        }
        const auto remaining = takeDuring( queue, at, 60s );
        sent.insert( sent.end(), remaining.begin(), remaining.end() );
        RC_ASSERT( sent.size() == static_cast<std::size_t>( count ) );
        // The queue releases a prompt up to 15 ms before the engine is free, so the window is
        // shorter by that.
        for( std::size_t n = 0; n < sent.size(); ++n ) {
            RC_ASSERT( readingMsInWindow( sent, n, gapTarget - 15ms ) <= maxReadingMs );
        }
    } );
}

TEST_CASE( "A prompt that can't be read in time is rejected when it asks, with the expected wait",
           "[admission][reading]" ) {
    ReadingQueue queue;
    queue.setGapTarget( gapTarget );
    REQUIRE( queue.ask( readingRequest( 1, 400, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    const auto verdict = queue.ask( readingRequest( 2, 240, 300ms ), now );
    CHECK_FALSE( verdict.accepted );
    CHECK( verdict.wait > 400ms );
    CHECK( queue.waiting() == 0 );
    CHECK( queue.ask( readingRequest( 3, 240, verdict.wait ), now ).accepted );
}

TEST_CASE( "A prompt with less time goes first, unless it makes an accepted one late",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( readingRequest( 1, 100, 900ms ), now ).accepted );
    REQUIRE( queue.takeNext( now )->key == 1 );
    REQUIRE( queue.ask( readingRequest( 2, 100, 900ms ), now ).accepted );
    REQUIRE( queue.ask( readingRequest( 3, 100, 300ms ), now ).accepted );
    CHECK( queue.takeNext( now + 100ms )->key == 3 );
    REQUIRE( queue.ask( readingRequest( 4, 100, 250ms ), now + 100ms ).accepted );
    // Prompt 2 may start up to 800 ms from here; 700 ms more of reading ahead of it would make it
    // late.
    CHECK_FALSE( queue.ask( readingRequest( 5, 700, 400ms ), now + 100ms ).accepted );
}

TEST_CASE( "A prompt whose request has left makes room for the next", "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( readingRequest( 1, 300, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( readingRequest( 2, 300, 500ms ), now ).accepted );
    queue.withdraw( 2, now );
    CHECK( queue.waiting() == 0 );
    CHECK( queue.waitFor( 100, now ) == 300ms );
    queue.withdraw( 1, now );
    CHECK( queue.waitFor( 100, now ) == 0ms );
}

TEST_CASE( "An engine that is seen to read nothing is free, whatever was expected",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( readingRequest( 1, 300, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    queue.noteUnread( 0, now + 100ms );
    CHECK( queue.waitFor( 300, now + 100ms ) == 0ms );
}

TEST_CASE( "An engine that is seen with prompts it should have read is not free",
           "[admission][reading]" ) {
    ReadingQueue queue;
    for( const auto key : { 1, 2, 3 } ) {
        REQUIRE( queue.ask( readingRequest( key, 100, 900ms ), now ).accepted );
    }
    REQUIRE( takeDuring( queue, now, 250ms ).size() == 3 );
    const auto later = now + 320ms;
    CHECK( queue.waitFor( 100, later ) == 0ms );
    // The engine is reading the second prompt; the third waits behind it.
    queue.noteUnread( 2, later );
    CHECK( queue.waitFor( 100, later ) == 150ms );
}

TEST_CASE( "A long prompt that is read as expected leaves the engine free when it ends",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( readingRequest( 1, 400, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    queue.noteUnread( 1, now + 350ms );
    CHECK( queue.waitFor( 100, now + 350ms ) == 50ms );
}

TEST_CASE( "Long prompts that are read as fast as stated are expected to take that long",
           "[admission][reading]" ) {
    ReadingQueue queue;
    constexpr Millis work = 400ms;
    constexpr Millis reportInterval = 25ms;
    for( int n = 0; n < 5; ++n ) {
        const auto begin = now + n * work;
        REQUIRE(
            queue.ask( { static_cast<std::uint64_t>( n ), 400, begin + 500ms }, begin ).accepted );
        REQUIRE( queue.takeNext( begin ) );
        for( auto at = begin; at < begin + work; at += reportInterval ) {
            queue.noteUnread( 1, at );
            CHECK( queue.waitFor( 100, at ) <= begin + work - at + reportInterval );
        }
    }
}

TEST_CASE( "A prompt that becomes late because the engine is slower than expected is told so",
           "[admission][reading]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( readingRequest( 1, 100, 500ms ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( readingRequest( 2, 100, 150ms ), now ).accepted );
    REQUIRE( queue.ask( readingRequest( 3, 100, 900ms ), now ).accepted );
    CHECK( queue.takeExpired( now + 90ms ).empty() );
    // The engine has not finished the first prompt, and is expected to need 50 ms more for it.
    queue.noteUnread( 1, now + 200ms );
    const auto expired = queue.takeExpired( now + 200ms );
    REQUIRE( expired.size() == 1 );
    CHECK( expired[0].key == 2 );
    CHECK( queue.waiting() == 1 );
}

TEST_CASE( "A prompt that may be late keeps its place when its goal is lost",
           "[admission][gate]" ) {
    sidecar::PromptGate gate;
    gate.setEngine( 100000, 0ms );
    gate.ask( promptRequest( 1, describePrompt( { { 1, 1000 } } ) ), now );
    REQUIRE( gate.takeAdmitted( now ).size() == 1 );
    auto second = promptRequest( 2, describePrompt( { { 2, 1000 } } ) );
    second.prompt.goalMs = 110;
    second.prompt.mayStartLate = true;
    second.limit = 2000ms;
    REQUIRE( gate.ask( second, now ).accepted );
    gate.noteUnread( 1, now + 140ms );
    CHECK( gate.takeRefused( now + 140ms ).empty() );
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
        // The second report falls into the middle of the pause; the engine reads prompts all the
        // time.
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
    gate.ask( promptRequest( 1, describePrompt( { { 7, 1000 }, { 8, 100 } } ) ), now );
    const auto first = gate.takeAdmitted( now );
    REQUIRE( first.size() == 1 );
    CHECK( first[0].workMs == Approx( 110 ) );
    gate.ask( promptRequest( 2, describePrompt( { { 7, 1000 }, { 9, 100 } } ) ), now );
    const auto second = gate.takeAdmitted( now + 110ms );
    REQUIRE( second.size() == 1 );
    CHECK( second[0].workMs == Approx( 10 ) );
    gate.dropModel( "m" );
    gate.ask( promptRequest( 3, describePrompt( { { 7, 1000 }, { 9, 100 } } ) ), now + 200ms );
    CHECK( gate.takeAdmitted( now + 200ms ).at( 0 ).workMs == Approx( 110 ) );
}

TEST_CASE( "A prompt that may be late is queued where it can't be in time", "[admission][gate]" ) {
    sidecar::PromptGate gate;
    gate.setEngine( 100000, gapTarget );
    gate.ask( promptRequest( 1, describePrompt( { { 1, 4000 } } ) ), now );
    REQUIRE( gate.takeAdmitted( now ).size() == 1 );
    auto second = promptRequest( 2, describePrompt( { { 2, 4000 } } ) );
    second.limit = 2000ms;
    CHECK_FALSE( gate.ask( second, now ).accepted );
    second.prompt.mayStartLate = true;
    CHECK( gate.ask( second, now ).accepted );
    CHECK( gate.waiting() == 1 );
}
