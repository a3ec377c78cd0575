// SPDX-License-Identifier: BSL-1.0
#include "decide/announcement.hpp"
#include "decide/backoff.hpp"
#include "decide/upstream_limit.hpp"
#include "platform/headers.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;
using platform::http::fields;

namespace {

//! The parsed head of a refusal with these Retry-After headers.
platform::ResponseHead refusal( std::initializer_list<const char*> backoffs, unsigned status = 503,
                                bool ran = false ) {
    fields head;
    if( !ran ) {
        head.set( "X-Not-Run", "1" );
    }
    for( const auto* it : backoffs ) {
        head.insert( "Retry-After", it );
    }
    return platform::readResponseHead( status, head );
}

constexpr MonoTime start{ 1000s };

Announcement backoffAnnouncement( Millis backoff ) {
    Announcement out;
    out.backoff = backoff;
    return out;
}

} // namespace

TEST_CASE( "A refusal's back-off is read in seconds, fractions allowed, the longest of several",
           "[announcement][platform]" ) {
    CHECK( refusal( { "3" } ).announcement.backoff == 3000ms );
    CHECK( refusal( { "0.25" } ).announcement.backoff == 250ms );
    CHECK( refusal( { "0" } ).announcement.backoff == 0ms );
    CHECK( refusal( { "2", "5", "1" } ).announcement.backoff == 5000ms );
    CHECK( refusal( { "3" }, 429 ).announcement.backoff == 3000ms );
    CHECK( refusal( { "3" }, 503, true ).announcement.backoff == 3000ms );
    CHECK( refusal( { "1000000000" } ).announcement.backoff == maxBackoff );
    CHECK( refusal( {} ).announcement.backoff == std::nullopt );
}

TEST_CASE( "A back-off in an answer that did not turn the request away is its client's",
           "[announcement][platform]" ) {
    CHECK( refusal( { "3" }, 200, true ).announcement.backoff == std::nullopt );
    CHECK( refusal( { "3" }, 429, true ).announcement.backoff == std::nullopt );
}

TEST_CASE( "A back-off that can't be read changes nothing, and is kept for the log",
           "[announcement][platform]" ) {
    for( const auto* it :
         { "-1", "soon", "", "nan", "inf", "3 s", "0x3", "Wed, 21 Oct 2026 07:28:00 GMT" } ) {
        INFO( it );
        const auto head = refusal( { it } );
        CHECK( head.announcement.backoff == std::nullopt );
        CHECK( head.unreadableField == std::string( "Retry-After: " ) + it );
    }
    CHECK( refusal( { "soon", "2" } ).announcement.backoff == 2000ms );
}

TEST_CASE( "How long an upstream stays cold is read in milliseconds", "[announcement][platform]" ) {
    const auto cold = []( const char* value ) {
        fields head;
        head.set( "X-Cold-Ms", value );
        return platform::readResponseHead( 200, head );
    };
    CHECK( cold( "1500" ).announcement.cold == 1500ms );
    CHECK( cold( "0" ).announcement.cold == 0ms );
    CHECK( cold( "999999999999" ).announcement.cold == maxColdTime );
    CHECK( platform::readResponseHead( 200, {} ).announcement.cold == std::nullopt );
    for( const auto* it : { "-5", "", "long", "1.5" } ) {
        INFO( it );
        CHECK( cold( it ).announcement.cold == std::nullopt );
        CHECK( cold( it ).unreadableField == std::string( "X-Cold-Ms: " ) + it );
    }
}

namespace {

platform::ResponseHead headWithLimits( std::initializer_list<const char*> limits ) {
    fields head;
    for( const auto* it : limits ) {
        head.insert( "Server-Limit", it );
    }
    return platform::readResponseHead( 200, head );
}

} // namespace

TEST_CASE( "A limit is read in requests a second, the lowest of several",
           "[announcement][limit][platform]" ) {
    const auto perS = []( std::initializer_list<const char*> limits ) {
        const auto announced = headWithLimits( limits ).announcement;
        CHECK( announced.limit == LimitAnnouncement::named );
        return announced.limitPerS;
    };
    CHECK( perS( { "1.4" } ) == 1.4 );
    CHECK( perS( { "0" } ) == 0 );
    CHECK( perS( { "12" } ) == 12 );
    CHECK( perS( { "1e308" } ) == 1e308 );
    CHECK( perS( { "3", "1.5", "2" } ) == 1.5 );
    CHECK( perS( { "many", "2" } ) == 2 );
    CHECK( perS( { "2", "many" } ) == 2 );
    CHECK( headWithLimits( {} ).announcement.limit == LimitAnnouncement::none );
}

TEST_CASE( "A limit that can't be read is none that is named, and none that has ended",
           "[announcement][limit][platform]" ) {
    for( const auto* it : { "-1", "few", "", "nan", "inf", "1.4 a second", "0x3", "1e999" } ) {
        INFO( it );
        const auto head = headWithLimits( { it } );
        CHECK( head.announcement.limit == LimitAnnouncement::unreadable );
        CHECK( head.unreadableField == std::string( "Server-Limit: " ) + it );
    }
}

TEST_CASE( "A limit holds until an answer to a later request names none", "[limit]" ) {
    UpstreamLimit upstreamLimit;
    CHECK_FALSE( upstreamLimit.perS() );
    CHECK_FALSE( upstreamLimit.noteNone( start, start + 4s ) );
    CHECK( upstreamLimit.noteNamed( 1.4, start + 1s ) );
    CHECK( upstreamLimit.perS() == 1.4 );
    // This answer is to a request sent before the limit was named; it may have crossed the answer
    // that named the limit.
    CHECK_FALSE( upstreamLimit.noteNone( start + 900ms, start + 4s ) );
    CHECK( upstreamLimit.perS() == 1.4 );
    CHECK_FALSE( upstreamLimit.noteNamed( 1.4, start + 2s ) );
    CHECK_FALSE( upstreamLimit.noteNone( start + 1500ms, start + 4s ) );
    CHECK( upstreamLimit.noteNone( start + 2500ms, start + 4s ) );
    CHECK_FALSE( upstreamLimit.perS() );
    CHECK( upstreamLimit.noteNamed( 0.7, start + 3s ) );
    CHECK( upstreamLimit.perS() == 0.7 );
}

TEST_CASE( "Of two limits the one that was named later holds, higher or lower", "[limit]" ) {
    UpstreamLimit upstreamLimit;
    upstreamLimit.noteNamed( 2, start );
    CHECK( upstreamLimit.noteNamed( 0.5, start + 1s ) );
    CHECK( upstreamLimit.perS() == 0.5 );
    CHECK( upstreamLimit.noteNamed( 3, start + 2s ) );
    CHECK_FALSE( upstreamLimit.noteNamed( 9, start + 1s ) );
    CHECK( upstreamLimit.perS() == 3. );
}

TEST_CASE( "An upstream that leaves says so in answers of any kind", "[announcement][platform]" ) {
    fields head;
    head.set( "Server-Leaving", "1" );
    CHECK( platform::readResponseHead( 200, head ).announcement.leaving );
    CHECK( platform::readResponseHead( 503, head ).announcement.leaving );
    head.set( "Server-Leaving", "0" );
    CHECK_FALSE( platform::readResponseHead( 200, head ).announcement.leaving );
    CHECK_FALSE( platform::readResponseHead( 200, {} ).announcement.leaving );
}

TEST_CASE( "A back-off lasts until its end, whatever answers that crossed it say",
           "[announcement]" ) {
    AnnouncedState state;
    CHECK( state.backoffLeft( start ) == 0ms );
    state.take( backoffAnnouncement( 3000ms ), start );
    CHECK( state.backoffLeft( start + 1s ) == 2000ms );
    state.take( backoffAnnouncement( 1000ms ), start + 1s );
    state.take( backoffAnnouncement( 0ms ), start + 1s );
    state.take( {}, start + 1s );
    CHECK( state.backoffLeft( start + 1s ) == 2000ms );
    CHECK( state.backoffLeft( start + 3s ) == 0ms );
    state.take( backoffAnnouncement( 3000ms ), start + 2s );
    CHECK( state.backoffLeft( start + 3s ) == 2000ms );
}

TEST_CASE( "Time that the VM was suspended counts as time of a back-off", "[announcement]" ) {
    AnnouncedState state;
    state.take( backoffAnnouncement( 3000ms ), start );
    CHECK( state.backoffLeft( start + 30s ) == 0ms );
}

TEST_CASE( "An upstream that has announced that it leaves does not stay", "[announcement]" ) {
    AnnouncedState state;
    Announcement departure;
    departure.leaving = true;
    state.take( departure, start );
    state.take( {}, start + 1h );
    CHECK( state.leaving() );
}

TEST_CASE( "Behind a back-off a gateway begins with half of its share and adds one for each served",
           "[announcement]" ) {
    SlowStart slowStart;
    CHECK( slowStart.admits( 1000 ) );
    constexpr int slots = 12;
    slowStart.begin( slots, 3 );
    CHECK( slowStart.admits( 1 ) );
    CHECK_FALSE( slowStart.admits( 2 ) );
    slowStart.noteServed();
    CHECK( slowStart.admits( 2 ) );
    CHECK_FALSE( slowStart.admits( 3 ) );
    for( int n = 0; n < slots; ++n ) {
        slowStart.noteServed();
    }
    CHECK( slowStart.admits( 1000 ) );
}

TEST_CASE( "Behind a back-off one request is let through whatever the sizes are",
           "[announcement]" ) {
    for( const int slots : { -1, 0, 1, 6 } ) {
        for( const int gateways : { -1, 0, 1, 400 } ) {
            INFO( slots << " slots, " << gateways << " gateways" );
            SlowStart slowStart;
            slowStart.begin( slots, gateways );
            CHECK( slowStart.admits( 0 ) );
        }
    }
}
