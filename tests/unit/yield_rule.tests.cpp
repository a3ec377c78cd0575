// SPDX-License-Identifier: BSL-1.0
#include "decide/yield_rule.hpp"
#include "decide/engine_room.hpp"
#include "decide/fair_share.hpp"
#include "decide/reading_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

const MonoTime now{ 1000s };

ReadingRequest prompt( std::uint64_t key, double workMs, Millis startBy, int urgency,
                       std::string organisation = "" ) {
    return { key, workMs, now + startBy, urgency, std::move( organisation ), now };
}

std::vector<std::uint64_t> keysOf( const std::vector<ReadingRequest>& prompts ) {
    std::vector<std::uint64_t> out;
    out.reserve( prompts.size() );
    for( const auto& it : prompts ) {
        out.push_back( it.key );
    }
    return out;
}

} // namespace

TEST_CASE( "A short urgent prompt displaces a long one that leaves it no time", "[order][yield]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 300, 500ms, 3 ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 165, 310ms, 3 ), now ).accepted );
    // Behind prompt 2 it would start at 465 ms; before it, prompt 2 would start at 360 ms.
    const auto verdict = queue.ask( prompt( 3, 60, 305ms, 1 ), now );
    CHECK( verdict.accepted );
    CHECK( verdict.wait == 300ms );
    CHECK( keysOf( queue.takeDisplaced() ) == std::vector<std::uint64_t>{ 2 } );
    CHECK( queue.waiting() == 1 );
    CHECK( queue.takeDisplaced().empty() );
}

TEST_CASE( "Nothing is displaced for a prompt that can't be in time even so", "[order][yield]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 300, 500ms, 3 ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 165, 310ms, 7 ), now ).accepted );
    const auto verdict = queue.ask( prompt( 3, 20, 200ms, 0 ), now );
    CHECK_FALSE( verdict.accepted );
    CHECK( verdict.refusal == PromptRefusal::reading );
    CHECK( queue.takeDisplaced().empty() );
    CHECK( queue.waiting() == 1 );
}

TEST_CASE( "No more prompts are displaced than have to be", "[order][yield]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 100, 500ms, 3 ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 10, 250ms, 9 ), now ).accepted );
    REQUIRE( queue.ask( prompt( 3, 150, 200ms, 7 ), now ).accepted );
    // Without prompt 3 there is time for prompt 2, though prompt 2 is the least urgent.
    CHECK( queue.ask( prompt( 4, 150, 180ms, 1 ), now ).accepted );
    CHECK( keysOf( queue.takeDisplaced() ) == std::vector<std::uint64_t>{ 3 } );
}

TEST_CASE( "A prompt that has waited for half of its time is not displaced", "[order][yield]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 400, 500ms, 3 ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 165, 410ms, 7 ), now ).accepted );
    const auto later = now + 210ms;
    const auto verdict = queue.ask( { 3, 100, later + 195ms, 1, std::string(), later }, later );
    CHECK_FALSE( verdict.accepted );
    CHECK( queue.takeDisplaced().empty() );
}

TEST_CASE( "A prompt that has lost its goal waits behind those that have not", "[order][yield]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 100, 500ms, 3 ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    auto late = prompt( 2, 100, 600ms, 1 );
    late.late = true;
    REQUIRE( queue.ask( late, now ).accepted );
    REQUIRE( queue.ask( prompt( 3, 100, 2000ms, 7 ), now ).accepted );
    CHECK( queue.takeNext( now + 100ms )->key == 3 );
    CHECK( queue.takeNext( now + 200ms )->key == 2 );
}

TEST_CASE( "When the engine is slower than expected the less urgent give way first",
           "[order][yield]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 100, 500ms, 3 ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 400, 500ms, 3 ), now + 90ms ).accepted );
    REQUIRE( queue.takeNext( now + 90ms ) );
    REQUIRE( queue.ask( prompt( 3, 200, 600ms, 7 ), now + 90ms ).accepted );
    REQUIRE( queue.ask( prompt( 4, 20, 790ms, 1 ), now + 90ms ).accepted );
    // Prompt 1 should have been read: the engine is free 190 ms later than expected.
    queue.noteUnread( 2, now + 240ms );
    CHECK( queue.takeExpired( now + 240ms ).empty() );
    CHECK( keysOf( queue.takeDisplaced() ) == std::vector<std::uint64_t>{ 3 } );
    CHECK( queue.waiting() == 1 );
}

TEST_CASE( "Among equals the organisation that waits for more gives way", "[order][share]" ) {
    ReadingQueue queue;
    REQUIRE( queue.ask( prompt( 1, 100, 500ms, 3, "busy" ), now ).accepted );
    REQUIRE( queue.takeNext( now ) );
    REQUIRE( queue.ask( prompt( 2, 100, 350ms, 3, "busy" ), now ).accepted );
    REQUIRE( queue.ask( prompt( 3, 100, 350ms, 3, "busy" ), now ).accepted );
    REQUIRE( queue.ask( prompt( 4, 100, 350ms, 3, "busy" ), now ).accepted );
    CHECK( queue.ask( prompt( 5, 100, 350ms, 3, "busy" ), now ).refusal == PromptRefusal::reading );
    CHECK( queue.ask( prompt( 6, 100, 300ms, 3, "small" ), now ).accepted );
    CHECK( queue.takeDisplaced().size() == 1 );
    CHECK( queue.ask( prompt( 7, 100, 300ms, 3, "busy" ), now ).refusal == PromptRefusal::share );
    CHECK( queue.takeDisplaced().empty() );
}

TEST_CASE( "Which prompt gives way first does not depend on its size", "[order][yield]" ) {
    rc::check( "the same order for any sizes", [] {
        std::vector<ReadingRequest> prompts;
        const ReadingAccounts accounts{ { "a", 100 }, { "b", 300 } };
        const auto count = *rc::gen::inRange( 1, 20 );
        for( int n = 0; n < count; ++n ) {
            auto it = prompt( static_cast<std::uint64_t>( n ), *rc::gen::inRange( 1, 400 ), 500ms,
                              *rc::gen::inRange( 0, 10 ),
                              *rc::gen::element<std::string>( "", "a", "b" ) );
            it.since = now - Millis( n );
            prompts.push_back( it );
        }
        auto others = prompts;
        for( auto& it : others ) {
            it.workMs = *rc::gen::inRange( 1, 400 );
        }
        sortByYield( prompts, accounts );
        sortByYield( others, accounts );
        RC_ASSERT( keysOf( prompts ) == keysOf( others ) );
    } );
}

TEST_CASE( "A new name starts with what the least served organisation has", "[order][share]" ) {
    FairShare share;
    share.noteServed( "a", 500, now );
    share.noteServed( "b", 300, now );
    CHECK( share.servedMs( "b" ) == Approx( 800 ) );
    share.noteAsk( "new", now );
    CHECK( share.servedMs( "new" ) == Approx( 500 ) );
}

TEST_CASE( "An organisation that asks for little is credited with a bounded part of the reading",
           "[order][share]" ) {
    FairShare share;
    share.noteAsk( "small", now );
    share.noteServed( "busy", 60000, now );
    share.noteAsk( "small", now );
    CHECK( share.servedMs( "small" ) == Approx( 59000 ) );
}

TEST_CASE( "An organisation that comes back is not charged for what it was served before",
           "[order][share]" ) {
    FairShare share;
    share.noteServed( "small", 10, now );
    share.noteServed( "burst", 5000, now );
    share.noteServed( "small", 10, now + 1900ms );
    share.noteAsk( "burst", now + 3s );
    CHECK( share.servedMs( "burst" ) == Approx( share.servedMs( "small" ) ) );
}

TEST_CASE( "Idle organisations are forgotten, and never more than a bound are known",
           "[order][share]" ) {
    FairShare share;
    share.noteServed( "old", 400, now );
    share.noteServed( "other", 100, now + 3s );
    CHECK( share.size() == 1 );
    for( int n = 0; n < 2000; ++n ) {
        share.noteAsk( "name" + std::to_string( n ), now + 3s );
    }
    CHECK( share.size() == 256 );
}

TEST_CASE( "An engine has room for what it can run beside what it has", "[order][room]" ) {
    const auto room = freeRoomOf( { 64, 60, 9000, 10000 } );
    CHECK( room.places == 4 );
    CHECK( room.tokens == 1000 );
    CHECK( room.fits( { 500, 300, 200 } ) );
    CHECK_FALSE( room.fits( { 500, 300, 201 } ) );
    CHECK_FALSE( freeRoomOf( { 64, 70, 0, 10000 } ).fits( { 1, 0, 1 } ) );
}

TEST_CASE( "An engine of which nothing is known has room", "[order][room]" ) {
    const auto room = freeRoomOf( {} );
    CHECK( room.places < 0 );
    CHECK( room.tokens < 0 );
    CHECK( room.fits( { 1000000, 0, 0 } ) );
}
