// SPDX-License-Identifier: BSL-1.0
#include "replay/limit_world.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>

using namespace coursehead;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 8;
//! For loads with hundreds of gateways, of which each run takes half a second.
constexpr int largeSeeds = 2;

struct Summary {
    int excess = -1000;
    int maxInWindow = 0;
    int violations = 0; //!< runs in which an upstream received more than it bears
    int requests = 0;
    int served = 0;
    int unawareRequests = 0;
    double utilisation = 0;
    double servedFractionAfterEnd = 0;
};

Summary simulateSeeds( const LimitLoad& load, const std::vector<LimitEvent>& events,
                       LimitPolicy policy, const std::string& name ) {
    Summary out;
    const int runs = load.gateways > 100 ? largeSeeds : seeds;
    for( int n = 1; n <= runs; ++n ) {
        const auto got = simulateLimits( load, events, policy, static_cast<std::uint64_t>( n ) );
        out.excess = std::max( out.excess, got.excess );
        out.maxInWindow = std::max( out.maxInWindow, got.maxInWindow );
        out.violations += got.excess > 0 ? 1 : 0;
        out.requests += got.requests;
        out.served += got.served;
        out.unawareRequests += got.unawareRequests;
        out.utilisation += got.utilisation / runs;
        out.servedFractionAfterEnd +=
            static_cast<double>( got.servedAfterEnd ) / std::max( got.requestsAfterEnd, 1 ) / runs;
    }
    std::cout << "limits, " << name << ": " << out.maxInWindow << " at most in one window ("
              << out.excess << " above what an upstream bears), exceeded in " << out.violations
              << " of " << runs << "; served " << out.served << " of " << out.requests << ", "
              << out.utilisation << " of what was possible; " << out.unawareRequests
              << " unaware; served after its end " << out.servedFractionAfterEnd << "\n";
    return out;
}

LimitLoad manyGateways() {
    LimitLoad out;
    out.gateways = 400;
    out.holders = 10;
    out.limitEndsAt = 17000ms;
    out.length = 21000ms;
    out.limitPerS = 2;
    out.requestsPerS = 40;
    return out;
}

struct Comparison {
    Summary independent;
    Summary equalParts;
    Summary scheduled;
    Summary holder;
};

Comparison compare( const LimitLoad& load, const std::string& name ) {
    simulateSeeds( load, {}, LimitPolicy::ignored, name + ", ignored" );
    return { simulateSeeds( load, {}, LimitPolicy::independent, name + ", whole limit each" ),
             simulateSeeds( load, {}, LimitPolicy::equalParts, name + ", equal parts" ),
             simulateSeeds( load, {}, LimitPolicy::scheduled, name + ", send schedule" ),
             simulateSeeds( load, {}, LimitPolicy::holder, name + ", holder" ) };
}

} // namespace

TEST_CASE( "Five gateways keep a limit together, and use it", "[replay][limit]" ) {
    const auto got = compare( {}, "5 gateways" );
    CHECK( got.independent.excess > 0 );
    CHECK( got.holder.excess <= 0 );
    CHECK( got.holder.utilisation > 0.85 );
    CHECK( got.holder.utilisation < 1.15 );
    CHECK( got.scheduled.utilisation < 0.7 );
    CHECK( got.holder.servedFractionAfterEnd > 0.99 );
}

TEST_CASE( "Four hundred gateways keep a limit together, and use it", "[replay][limit]" ) {
    const auto got = compare( manyGateways(), "400 gateways" );
    CHECK( got.holder.excess <= 0 );
    CHECK( got.scheduled.excess <= 0 );
    // A gateway that learns the limit only from its own answers learns it too late: most requests
    // are their gateway's first.
    CHECK( got.scheduled.utilisation > 3 );
    CHECK( got.holder.utilisation > 0.85 );
    CHECK( got.holder.utilisation < 1.15 );
    CHECK( got.holder.servedFractionAfterEnd > 0.99 );
}

TEST_CASE( "A burst behind a quiet time does not pass the limit, though nobody has used its part",
           "[replay][limit]" ) {
    auto load = manyGateways();
    load.limitPerS = 1;
    load.requestsPerS = 400;
    load.quietUntil = 8000ms;
    const auto got = compare( load, "burst" );
    CHECK( got.holder.excess <= 0 );
    CHECK( got.scheduled.excess <= 0 );
}

TEST_CASE( "A limit far above what is asked for costs next to nothing", "[replay][limit]" ) {
    LimitLoad load;
    load.limitPerS = 200;
    const auto got = simulateSeeds( load, {}, LimitPolicy::holder, "wide" );
    CHECK( got.utilisation > 0.98 );
    load.limitPerS = 0;
    // One request every four seconds finds out whether the limit has ended.
    load.recoveryTime = 5000ms;
    const auto none = simulateSeeds( load, {}, LimitPolicy::holder, "zero limit" );
    CHECK( none.excess <= 0 );
    CHECK( none.servedFractionAfterEnd > 0.99 );
}

TEST_CASE( "Limits hold through cuts, freezes, kills and starts of gateways and holders",
           "[replay][limit]" ) {
    const auto fault = []( LimitFault kind, double fraction, Millis from = 8000ms,
                           Millis to = 14000ms ) {
        return LimitEvent{ kind, from, to, fraction };
    };
    const std::vector<std::pair<std::string, std::vector<LimitEvent>>> faults = {
        { "two of five cut off", { fault( LimitFault::cutOff, 0.4 ) } },
        { "all cut off", { fault( LimitFault::cutOff, 1 ) } },
        { "split", { fault( LimitFault::split, 0.4 ) } },
        { "freeze", { fault( LimitFault::freeze, 0.4 ) } },
        { "all restart", { fault( LimitFault::killAll, 1 ) } },
        { "holders restart", { fault( LimitFault::holderKill, 1 ) } },
        { "holders freeze", { fault( LimitFault::holderFreeze, 1 ) } },
        { "one after the other",
          { fault( LimitFault::holderFreeze, 0.5, 6000ms, 9000ms ),
            fault( LimitFault::cutOff, 0.4, 8000ms, 12000ms ),
            fault( LimitFault::holderKill, 1, 10000ms, 10000ms ),
            fault( LimitFault::split, 0.6, 12000ms, 16000ms ),
            fault( LimitFault::holderKill, 0.5, 14000ms, 14000ms ) } },
    };
    for( const auto& [name, events] : faults ) {
        INFO( name );
        CHECK( simulateSeeds( {}, events, LimitPolicy::holder, "5 gateways, " + name ).excess <=
               0 );
        CHECK( simulateSeeds( manyGateways(), events, LimitPolicy::holder, "400 gateways, " + name )
                   .excess <= 0 );
    }
}
