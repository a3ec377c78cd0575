// SPDX-License-Identifier: BSL-1.0
#include "replay/latest_start_queue.hpp"
#include "replay/order_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

const MonoTime begin{ 1000s };

//! A route of each urgency; in the burst the least urgent sends 2.8 times its usual, which is more
//! than the engine can read.
std::vector<PromptStream> threeKinds() {
    return { { "urgent", "", 1, 20, 380, false, 0, 10, 0 },
             { "usual", "", 3, 165, 480, false, 0, 1.5, 0 },
             { "batch", "", 7, 400, 1000, false, 0, 1, 2.8 } };
}

//! Eight organisations of equal demand; in the burst the first sends 7.5 times its usual.
std::vector<PromptStream> organisations() {
    std::vector<PromptStream> out;
    for( int n = 0; n < 8; ++n ) {
        const auto name = "org" + std::to_string( n );
        out.push_back( { name, name, 3, 100, 400, false, 0, 0.9, n == 0 ? 0.9 * 7.5 : 0 } );
    }
    return out;
}

//! Part of the prompts that started in time, of all streams but one.
double inTimeOfOthers( const OrderRun& run, const std::string& name ) {
    StreamOutcome out;
    for( const auto& it : run.outcomes ) {
        if( it.first != name ) {
            out.asked += it.second.asked;
            out.inTime += it.second.inTime;
        }
    }
    return out.inTimeShare();
}

//! A prompt of a random size, urgency and organisation, that arrives now.
decide::ReadingRequest anyPrompt( std::uint64_t key, MonoTime now ) {
    decide::ReadingRequest out;
    out.key = key;
    out.workMs = *rc::gen::inRange( 5, 400 );
    out.startBy = now + Millis( *rc::gen::inRange( 50, 3000 ) );
    out.urgency = *rc::gen::inRange( 0, 10 );
    out.organisation = *rc::gen::element<std::string>( "", "a", "b", "c" );
    out.since = now;
    return out;
}

//! Sends what the queue releases until `to`, in steps of 1 ms, and calls `taken` for each.
template <typename Taken>
void advance( decide::ReadingQueue& queue, MonoTime from, MonoTime to, const Taken& taken ) {
    for( auto at = from; at < to; at += 1ms ) {
        while( const auto next = queue.takeNext( at ) ) {
            taken( *next, at );
        }
    }
}

} // namespace

TEST_CASE( "A burst of the least urgent prompts is not paid for by the most urgent",
           "[replay][order]" ) {
    const auto seed = GENERATE( std::uint64_t{ 1 }, std::uint64_t{ 2 }, std::uint64_t{ 3 } );
    const auto run = play( { threeKinds(), 20s, 2s, 18s, seed } );
    const auto& urgent = run.outcomes.at( "urgent" );
    const auto& batch = run.outcomes.at( "batch" );
    CAPTURE( seed, urgent.inTimeShare(), batch.inTimeShare(), run.readingMs );
    CHECK( urgent.inTimeShare() > 0.78 );
    CHECK( batch.inTimeShare() > 0.3 );
    CHECK( run.readingMs > 16000 );
}

TEST_CASE( "An organisation that sends many times its usual is not served instead of the others",
           "[replay][order]" ) {
    const auto seed = GENERATE( std::uint64_t{ 1 }, std::uint64_t{ 2 }, std::uint64_t{ 3 } );
    const auto run = play( { organisations(), 20s, 5s, 11500ms, seed } );
    CAPTURE( seed, run.outcomes.at( "org0" ).inTimeShare(), run.readingMs );
    CHECK( inTimeOfOthers( run, "org0" ) > 0.94 );
    // Spare reading goes to whoever asks.
    CHECK( run.outcomes.at( "org0" ).inTimeShare() > 0.6 );
    CHECK( run.readingMs > 15800 );
}

TEST_CASE( "Prompts of one urgency without organisations are decided by latest start alone",
           "[replay][order]" ) {
    rc::check( "the same verdicts, and the same order", [] {
        decide::ReadingQueue queue;
        LatestStartQueue reference;
        const auto urgency = *rc::gen::inRange( 0, 10 );
        auto at = begin;
        const auto count = *rc::gen::inRange( 1, 80 );
        for( int n = 0; n < count; ++n ) {
            auto prompt = anyPrompt( static_cast<std::uint64_t>( n ), at );
            prompt.urgency = urgency;
            prompt.organisation.clear();
            RC_ASSERT( queue.ask( prompt, at ).accepted == reference.ask( prompt, at ) );
            RC_ASSERT( queue.takeDisplaced().empty() );
            const auto until = at + Millis( *rc::gen::inRange( 0, 200 ) );
            for( ; at < until; at += 1ms ) {
                const auto next = queue.takeNext( at );
                const auto expected = reference.takeNext( at );
                RC_ASSERT( next.has_value() == expected.has_value() );
                RC_ASSERT( !next || next->key == *expected );
            }
        }
    } );
}

TEST_CASE( "A prompt that is accepted starts in time, or is told early enough to go elsewhere",
           "[replay][order]" ) {
    rc::check( "for any arrivals, while the engine keeps reading", [] {
        decide::ReadingQueue queue;
        std::map<std::uint64_t, decide::ReadingRequest> waiting;
        auto at = begin;
        const auto count = *rc::gen::inRange( 1, 80 );
        const auto taken = [&]( const decide::ReadingRequest& prompt, MonoTime now ) {
            RC_ASSERT( now <= prompt.startBy + 90ms );
            RC_ASSERT( waiting.erase( prompt.key ) == 1 );
        };
        for( int n = 0; n < count; ++n ) {
            const auto prompt = anyPrompt( static_cast<std::uint64_t>( n ), at );
            if( queue.ask( prompt, at ).accepted ) {
                waiting.emplace( prompt.key, prompt );
            }
            for( const auto& it : queue.takeDisplaced() ) {
                RC_ASSERT( at - it.since < it.startBy - at );
                RC_ASSERT( it.urgency >= prompt.urgency );
                RC_ASSERT( waiting.erase( it.key ) == 1 );
            }
            const auto until = at + Millis( *rc::gen::inRange( 0, 200 ) );
            advance( queue, at, until, taken );
            at = until;
        }
        advance( queue, at, at + 60s, taken );
        RC_ASSERT( waiting.empty() );
    } );
}

TEST_CASE( "A prompt that has lost its goal starts or is displaced early, and none is held longer",
           "[replay][order]" ) {
    rc::check( "for any arrivals, while the engine keeps reading", [] {
        decide::ReadingQueue queue;
        std::map<std::uint64_t, decide::ReadingRequest> waiting;
        auto at = begin;
        const auto count = *rc::gen::inRange( 1, 60 );
        const auto step = [&] {
            while( const auto next = queue.takeNext( at ) ) {
                RC_ASSERT( at <= next->startBy + 90ms );
                RC_ASSERT( waiting.erase( next->key ) == 1 );
            }
            for( const auto& it : queue.takeExpired( at ) ) {
                RC_ASSERT( !it.late || at - it.since < it.startBy - at );
                RC_ASSERT( waiting.erase( it.key ) == 1 );
            }
            for( const auto& it : queue.takeDisplaced() ) {
                RC_ASSERT( at - it.since < it.startBy - at );
                RC_ASSERT( waiting.erase( it.key ) == 1 );
            }
            at += 1ms;
        };
        for( int n = 0; n < count; ++n ) {
            auto prompt = anyPrompt( static_cast<std::uint64_t>( n ), at );
            prompt.late = *rc::gen::arbitrary<bool>();
            if( queue.ask( prompt, at ).accepted ) {
                waiting.emplace( prompt.key, prompt );
            }
            const auto until = at + Millis( *rc::gen::inRange( 1, 200 ) );
            while( at < until ) {
                step();
            }
        }
        const auto end = at + 20s;
        while( at < end && !waiting.empty() ) {
            step();
        }
        RC_ASSERT( waiting.empty() );
    } );
}

TEST_CASE( "A prompt that lost its goal starts within its limit, however many urgent ones come",
           "[replay][order]" ) {
    // The urgent prompts alone take more than the engine's time.
    const std::vector<PromptStream> streams{ { "urgent", "", 1, 20, 300, false, 0, 60, 0 },
                                             { "batch", "", 7, 300, 0, true, 6000, 0.3, 0 } };
    const auto seed = GENERATE( std::uint64_t{ 1 }, std::uint64_t{ 2 }, std::uint64_t{ 3 } );
    const auto run = play( { streams, 40s, 0s, 0s, seed } );
    const auto& batch = run.outcomes.at( "batch" );
    CAPTURE( seed, batch.asked, batch.refused, batch.displaced, batch.expired, batch.late );
    CHECK( batch.asked > 3 );
    CHECK( batch.displaced == 0 );
    CHECK( batch.expired == 0 );
    CHECK( batch.late + batch.inTime + 3 >= batch.asked - batch.refused );
}

TEST_CASE( "Prompts that a gateway was permitted and never sent make no other late",
           "[replay][order]" ) {
    decide::ReadingQueue queue;
    for( std::uint64_t n = 1; n <= 3; ++n ) {
        REQUIRE( queue.ask( { n, 100, begin + 900ms, 7 }, begin ).accepted );
        REQUIRE( queue.takeNext( begin + ( n - 1 ) * 100ms ) );
    }
    const auto reportAt = begin + 240ms;
    queue.noteUnread( 0, reportAt );
    const auto verdict = queue.ask( { 4, 100, reportAt + 10ms, 1 }, reportAt );
    CHECK( verdict.accepted );
    CHECK( verdict.wait == 0ms );
}
