// SPDX-License-Identifier: BSL-1.0
// Clients that are refused together return together, unless they are told different times; who
// returns at once and often takes the room of those who return as told, unless a place is held.
#include "decide/return_places.hpp"
#include "decide/return_time.hpp"
#include "sidecar/admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

const MonoTime start{ 1000s };

RefusedPrompt refused( Fingerprint content, Millis wait = 400ms ) {
    RefusedPrompt out;
    out.content = content;
    out.key = content;
    out.urgency = 3;
    out.workMs = 100;
    out.wait = wait;
    return out;
}

} // namespace

TEST_CASE( "Clients refused together are told different times, none before an engine could serve",
           "[returns]" ) {
    const RefusalTimes times{ 400ms, 6000ms, std::nullopt };
    CHECK( returnTime( times, 0.0 ) == 400ms );
    CHECK( returnTime( times, 0.5 ) == 450ms );
    CHECK( returnTime( times, 0.99 ) < 500ms );
}

TEST_CASE( "A time beyond a third of what the client has left is not told", "[returns]" ) {
    CHECK_FALSE( returnTime( { 2100ms, 6000ms, std::nullopt }, 0.5 ) );
    CHECK( returnTime( { 1990ms, 6000ms, std::nullopt }, 0.99 ) <= 2000ms );
}

TEST_CASE( "A client with a place is told a time within it", "[returns]" ) {
    const auto told = returnTime( { 1200ms, 9000ms, 250ms }, 0.99 );
    REQUIRE( told );
    CHECK( *told >= 1200ms );
    CHECK( *told <= 1325ms );
}

TEST_CASE( "Places open one behind the other", "[returns][places]" ) {
    ReturnPlaces places;
    const auto first = places.hold( refused( 1 ), start );
    const auto second = places.hold( refused( 2 ), start );
    const auto third = places.hold( refused( 3 ), start );
    CHECK( first.wait == 400ms );
    CHECK( second.wait > first.wait );
    CHECK( third.wait > second.wait );
    CHECK( third.held.count() > 0 );
}

TEST_CASE( "Who returns as told takes up the place, from whichever gateway", "[returns][places]" ) {
    ReturnPlaces places;
    const auto place = places.hold( refused( 1 ), start );
    CHECK( places.arrive( 1, start + place.wait ) == ReturnVerdict::inTime );
    CHECK( places.arrive( 1, start + place.wait ) == ReturnVerdict::unknown );
}

TEST_CASE( "Who returns early and often keeps the place, and moves nothing", "[returns][places]" ) {
    ReturnPlaces places;
    const auto place = places.hold( refused( 1 ), start );
    for( auto at = start; at < start + place.wait - 20ms; at += 10ms ) {
        CHECK( places.arrive( 1, at ) == ReturnVerdict::early );
        const auto again = places.hold( refused( 1, 5ms ), at );
        CHECK( at + again.wait >= start + place.wait );
        CHECK( at + again.wait + again.held <= start + place.wait + place.held );
    }
    CHECK( places.size() == 1 );
    CHECK( places.arrive( 1, start + place.wait ) == ReturnVerdict::inTime );
}

TEST_CASE( "A place that is not taken up in time is given to others", "[returns][places]" ) {
    ReturnPlaces places;
    const auto place = places.hold( refused( 1 ), start );
    const auto end = start + place.wait + place.held;
    CHECK( places.reservedMs( 3, start + place.wait ) > 0 );
    CHECK( places.expire( end ) == 1 );
    CHECK( places.reservedMs( 3, end ) == 0 );
    CHECK( places.arrive( 1, end ) == ReturnVerdict::unknown );
}

TEST_CASE( "A new prompt that is more urgent leaves no room for a place", "[returns][places]" ) {
    ReturnPlaces places;
    const auto place = places.hold( refused( 1 ), start );
    const auto open = start + place.wait;
    CHECK( places.reservedMs( 2, open ) == 0 );
    CHECK( places.reservedMs( 3, open ) > 0 );
    CHECK( places.reservedMs( 3, start ) == 0 );
}

TEST_CASE( "Places that clients do not take up hold little back", "[returns][places]" ) {
    ReturnPlaces places;
    auto now = start;
    for( Fingerprint n = 1; n <= 30; ++n ) {
        const auto place = places.hold( refused( n ), now );
        now += place.wait + place.held;
        places.expire( now );
    }
    const auto place = places.hold( refused( 99 ), now );
    CHECK( places.reservedMs( 3, now + place.wait ) < 5 );
}

TEST_CASE( "A place is given back by its ask, and all are lost with the engine",
           "[returns][places]" ) {
    ReturnPlaces places;
    places.hold( refused( 1 ), start );
    places.hold( refused( 2 ), start );
    places.release( 1 );
    CHECK( places.size() == 1 );
    places.clear();
    CHECK( places.arrive( 2, start + 450ms ) == ReturnVerdict::unknown );
}

TEST_CASE( "A prompt without a stated content gets a time but no place", "[returns][places]" ) {
    ReturnPlaces places;
    const auto place = places.hold( refused( 0 ), start );
    CHECK( place.wait == 400ms );
    CHECK( place.held.count() == 0 );
}

TEST_CASE( "Places stay bounded in number and time, whoever comes whenever",
           "[returns][places][property]" ) {
    CHECK( rc::check( [] {
        ReturnPlaces places;
        auto now = start;
        std::map<Fingerprint, MonoTime> openAt;
        const auto steps = *rc::gen::inRange( 50, 400 );
        for( int n = 0; n < steps; ++n ) {
            now += Millis( *rc::gen::inRange( 0, 40 ) );
            const auto content = static_cast<Fingerprint>( *rc::gen::inRange( 1, 120 ) );
            if( places.arrive( content, now ) == ReturnVerdict::inTime ) {
                RC_ASSERT( now + 15ms >= openAt.at( content ) );
                continue;
            }
            const auto wait = Millis( *rc::gen::inRange( 0, 3000 ) );
            places.expire( now );
            const auto before = places.size();
            const auto place = places.hold( refused( content, wait ), now );
            RC_ASSERT( places.size() <= 64U );
            RC_ASSERT( place.held <= 1000ms );
            if( places.size() > before ) {
                // A later refusal does not move the place.
                openAt[content] = now + place.wait;
            }
        }
        places.expire( now + 20s );
        RC_ASSERT( places.size() == 0U );
    } ) );
}

namespace {

//! An Admission that records its answers.
struct AdmissionFixture {
    struct Answer {
        std::uint64_t key;
        gateway::EnsureOutcome outcome;
        Millis wait;
        Millis placeHeld;
    };
    net::asio::io_context context{ 1 };
    std::vector<Answer> answers;
    sidecar::Admission admission{ context, callbacks() };

    AdmissionFixture() { admission.setEngine( 100000, 600ms ); }

    sidecar::Admission::Callbacks callbacks() {
        sidecar::Admission::Callbacks out;
        out.isResident = []( const sidecar::RequiredModel& ) {
            return true;
        };
        out.answer = [this]( const sidecar::PendingEnsure& it, gateway::EnsureOutcome outcome,
                             Millis wait, double ) {
            answers.push_back( { it.key, outcome, wait, it.placeHeld } );
        };
        out.notResident = []( const sidecar::PendingEnsure& ) {
        };
        out.admitted = []( const sidecar::PendingEnsure& ) {
        };
        return out;
    }

    //! A request for a prompt with 400 ms of reading; one such prompt fits into the gap target.
    static sidecar::PendingEnsure ensure( std::uint64_t key, Fingerprint content, Millis goal ) {
        sidecar::PendingEnsure out;
        out.key = key;
        out.required.model = "m";
        out.prompt.tokens = 4000;
        out.prompt.msPerToken = 0.1;
        out.prompt.goalMs = goal.count();
        out.prompt.content = content;
        out.since = MonoClock::now();
        out.limit = goal;
        return out;
    }
};

} // namespace

TEST_CASE( "A refused prompt is told its place, and loses it with the engine",
           "[returns][admission]" ) {
    AdmissionFixture f;
    f.admission.admit( AdmissionFixture::ensure( 1, 11, 500ms ) );
    f.admission.admit( AdmissionFixture::ensure( 2, 22, 100ms ) );
    REQUIRE( f.answers.size() == 2 );
    CHECK( f.answers[1].outcome == gateway::EnsureOutcome::tooLate );
    CHECK( f.answers[1].wait.count() > 0 );
    CHECK( f.answers[1].placeHeld.count() > 0 );
    f.admission.failAll();
    f.admission.admit( AdmissionFixture::ensure( 3, 22, 500ms ) );
    REQUIRE( f.answers.size() == 3 );
    CHECK( f.answers[2].outcome == gateway::EnsureOutcome::ready );
}
