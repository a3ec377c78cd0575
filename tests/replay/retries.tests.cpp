// SPDX-License-Identifier: BSL-1.0
#include "replay/retry_world.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>

// Guards against gateways whose retries together exceed the budget of a service: the allowance of a
// gateway began anew with its process, and it was divided by the number of gateways at the moment.

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 8;

RetryOutcome simulateSeeds( const RetryLoad& load, const std::vector<RetryEvent>& events,
                            RetryPolicy policy, const std::string& name ) {
    RetryOutcome out;
    out.maxExcess = -1000000;
    for( int n = 1; n <= seeds; ++n ) {
        const auto got = simulateRetries( load, events, policy, static_cast<std::uint64_t>( n ) );
        out.maxExcess = std::max( out.maxExcess, got.maxExcess );
        out.requests += got.requests;
        out.served += got.served;
        out.retries += got.retries;
    }
    std::cout << "retries, " << name << ": " << out.maxExcess << " above the budget at most, "
              << out.retries << " retries, served " << out.served << " of " << out.requests << "\n";
    return out;
}

void checkBudget( const RetryLoad& load, const std::vector<RetryEvent>& events,
                  const std::string& name ) {
    const auto got = simulateSeeds( load, events, RetryPolicy::window, name );
    INFO( name );
    CHECK( got.maxExcess <= 0 );
    CHECK( got.retries > 0 );
}

} // namespace

TEST_CASE( "Gateways that do not restart keep the retry budget together", "[replay][retries]" ) {
    checkBudget( {}, {}, "no restarts" );
}

TEST_CASE( "Restarted gateways do not spend the retry budget again", "[replay][retries]" ) {
    checkBudget( {}, { { RetryFault::kill, 6000ms, 6300ms } }, "all killed once" );
    checkBudget( {},
                 { { RetryFault::kill, 6000ms, 6300ms },
                   { RetryFault::kill, 8000ms, 8300ms },
                   { RetryFault::kill, 10000ms, 10300ms },
                   { RetryFault::kill, 12000ms, 12300ms } },
                 "all killed four times" );
    checkBudget(
        {},
        { { RetryFault::kill, 5000ms, 5300ms, 0.5 }, { RetryFault::kill, 9000ms, 14000ms, 0.75 } },
        "some killed" );
}

TEST_CASE( "Gateways that start do not spend the retry budget again", "[replay][retries]" ) {
    checkBudget( {}, { { RetryFault::add, 6000ms, 6000ms } }, "twice as many gateways" );
    checkBudget( {}, { { RetryFault::kill, 4000ms, 12000ms, 0.75 } },
                 "three of four gone for longer than their number is kept" );
}
