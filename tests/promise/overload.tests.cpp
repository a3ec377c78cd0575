// SPDX-License-Identifier: BSL-1.0
#include "coursehead/router/admission.hpp"
#include "coursehead/router/budget.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursehead;
using fleet::Fleet;

TEST_CASE( "Retries never exceed their share of the requests", "[promise][overload][property]" ) {
    rc::prop( "whatever fails", []( const std::vector<bool>& failures ) {
        router::RetryBudget budget;
        double requests = 0;
        double retries = 0;
        for( const bool failed : failures ) {
            router::earn( budget );
            ++requests;
            for( int n = 0; failed && n < 4; ++n ) {
                retries += router::spend( budget ) ? 1 : 0;
            }
            RC_ASSERT( retries <= requests * budget.share + 5.0 + 1e-9 );
        }
    } );
}

TEST_CASE( "Admission sheds low priorities first and what could not make its deadline",
           "[promise][overload]" ) {
    router::QueueView queue;
    queue.running = 8;
    queue.capacity = 8;
    queue.queueLimit = 20;
    queue.queued = 12;
    queue.serviceTime = Millis( 800 );
    CHECK( router::expectedWait( queue ) == Millis( 1300 ) );
    CHECK_FALSE( router::admit( queue, 0, Millis( 60000 ) ).admitted );
    CHECK( router::admit( queue, 9, Millis( 60000 ) ).admitted );
    const auto missesDeadline = router::admit( queue, 9, Millis( 1000 ) );
    CHECK_FALSE( missesDeadline.admitted );
    CHECK( missesDeadline.retryAfter == Millis( 1300 ) );
    queue.running = 3;
    queue.queued = 0;
    CHECK( router::admit( queue, 0, Millis( 1 ) ).admitted );
}

TEST_CASE( "Three times the load with one runner dead: goodput stays, retries stay few",
           "[promise][overload][process]" ) {
    Fleet fleet;
    for( const char* n : { "1", "2" } ) {
        auto& service = fleet.service( std::string( "s" ) + n );
        Fleet::setFaults( service, { { "slow_ms", 20 } } );
        fleet.agent( std::string( "a" ) + n, service.url,
                     { "--max-running", "4", "--queue-limit", "8" }, "service" );
    }
    auto& entry = fleet.entry( "entry" );
    fleet.waitForAgents( entry, 2 );
    Fleet::require( entry, "create service balance" );
    std::atomic<int> served{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> otherAnswers{ 0 };
    constexpr int callers = 24;
    constexpr int requestsPerCaller = 40;
    fleet.node( "a1" ).process->kill();
    {
        std::vector<std::jthread> threads;
        for( int n = 0; n < callers; ++n ) {
            threads.emplace_back( [&] {
                for( int k = 0; k < requestsPerCaller; ++k ) {
                    const auto got = fleet::call( entry.url, "GET", "/services/balance/1" );
                    if( got.response.status == 200 ) {
                        ++served;
                    } else if( got.response.status == 503 &&
                               got.response.headers.contains( "Retry-After" ) ) {
                        ++refused;
                        // Half of the retry delay that the answer names, so that the load stays far
                        // above capacity.
                        std::this_thread::sleep_for( Millis( 10 ) );
                    } else {
                        ++otherAnswers;
                    }
                }
            } );
        }
    }
    CHECK( served + refused == callers * requestsPerCaller );
    CHECK( otherAnswers == 0 );
    const auto text = fleet::call( entry.url, "GET", "/metrics" ).response.body;
    const auto at = text.find( "coursehead_retries_total{reason=\"standard\"} " );
    const auto retries =
        at == std::string::npos ? 0.0 : std::stod( text.substr( text.find( ' ', at ) + 1 ) );
    CHECK( retries <= callers * requestsPerCaller * 0.1 + 5 );
    // Every admitted request was served: the runs of the service equal the callers' answers.
    const auto runs = Fleet::get( fleet.node( "s2" ).url, "/runs" ).value( "none", 0 );
    CHECK( runs == served );
    CHECK( served > 0 );
}

TEST_CASE( "An entry without room answers at once", "[promise][overload][process]" ) {
    Fleet fleet;
    auto& service = fleet.service( "s" );
    Fleet::setFaults( service, { { "slow_ms", 3000 } } );
    fleet.agent( "a", service.url, {}, "service" );
    auto& entry = fleet.entry( "entry", { "--max-sessions", "2" } );
    fleet.waitForAgents( entry, 1 );
    Fleet::require( entry, "create service balance" );
    std::vector<std::jthread> threads;
    for( int n = 0; n < 2; ++n ) {
        threads.emplace_back( [&] { fleet::call( entry.url, "GET", "/services/balance/1" ); } );
    }
    fleet::waitUntil( "both in flight",
                      [&] { return Fleet::metric( entry.url, "coursehead_in_flight" ) == 2; } );
    const auto got = fleet::call( entry.url, "GET", "/services/balance/1" );
    CHECK( got.response.status == 503 );
    CHECK( got.response.headers.contains( "Retry-After" ) );
    CHECK( got.response.headers.at( "X-Coursehead-Outcome" ) == "not-run" );
    CHECK( Fleet::metric( entry.url, "coursehead_in_flight" ) == 2 );
}
