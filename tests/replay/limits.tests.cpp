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
//! Of the plays with hundreds of gateways, each of which takes half a second.
constexpr int largeSeeds = 2;

struct Sum {
    int mostBeyond = -1000;
    int most = 0;
    int broken = 0; //!< plays in which an upstream got too much
    int asked = 0;
    int served = 0;
    int unaware = 0;
    double taken = 0;
    double after = 0;
};

Sum playAll( const LimitLoad& load, const std::vector<LimitEvent>& events, LimitWay way,
             const std::string& name ) {
    Sum out;
    const int plays = load.gateways > 100 ? largeSeeds : seeds;
    for( int n = 1; n <= plays; ++n ) {
        const auto got = playLimits( load, events, way, static_cast<std::uint64_t>( n ) );
        out.mostBeyond = std::max( out.mostBeyond, got.mostBeyond );
        out.most = std::max( out.most, got.most );
        out.broken += got.mostBeyond > 0 ? 1 : 0;
        out.asked += got.asked;
        out.served += got.served;
        out.unaware += got.unaware;
        out.taken += got.taken / plays;
        out.after += static_cast<double>( got.servedAfter ) / std::max( got.askedAfter, 1 ) / plays;
    }
    std::cout << "limits, " << name << ": " << out.most << " in one window at the most ("
              << out.mostBeyond << " beyond what is borne), broken in " << out.broken << " of "
              << plays << "; served " << out.served << " of " << out.asked << ", " << out.taken
              << " of what could be; " << out.unaware << " unaware; behind its end " << out.after
              << "\n";
    return out;
}

LimitLoad manyGateways() {
    LimitLoad out;
    out.gateways = 400;
    out.holders = 10;
    out.endsAt = 17000ms;
    out.length = 21000ms;
    out.limitPerS = 2;
    out.askedPerS = 40;
    return out;
}

struct Ways {
    Sum alone;
    Sum parts;
    Sum turns;
    Sum holder;
};

Ways compare( const LimitLoad& load, const std::string& name ) {
    playAll( load, {}, LimitWay::ignored, name + ", not heard" );
    return { playAll( load, {}, LimitWay::alone, name + ", each the whole" ),
             playAll( load, {}, LimitWay::equalParts, name + ", equal parts" ),
             playAll( load, {}, LimitWay::turns, name + ", turns" ),
             playAll( load, {}, LimitWay::holder, name + ", holder" ) };
}

} // namespace

TEST_CASE( "Five gateways keep a limit together, and use it", "[replay][limit]" ) {
    const auto got = compare( {}, "5 gateways" );
    CHECK( got.alone.mostBeyond > 0 );
    CHECK( got.holder.mostBeyond <= 0 );
    CHECK( got.holder.taken > 0.85 );
    CHECK( got.holder.taken < 1.15 );
    CHECK( got.turns.taken < 0.7 );
    CHECK( got.holder.after > 0.99 );
}

TEST_CASE( "Four hundred gateways keep a limit together, and use it", "[replay][limit]" ) {
    const auto got = compare( manyGateways(), "400 gateways" );
    CHECK( got.holder.mostBeyond <= 0 );
    CHECK( got.turns.mostBeyond <= 0 );
    // What each hears for itself comes too late: most requests are first ones.
    CHECK( got.turns.taken > 3 );
    CHECK( got.holder.taken > 0.85 );
    CHECK( got.holder.taken < 1.15 );
    CHECK( got.holder.after > 0.99 );
}

TEST_CASE( "A burst behind a quiet time does not pass the limit, though nobody has used its part",
           "[replay][limit]" ) {
    auto load = manyGateways();
    load.limitPerS = 1;
    load.askedPerS = 400;
    load.quietUntil = 8000ms;
    const auto got = compare( load, "burst" );
    CHECK( got.holder.mostBeyond <= 0 );
    CHECK( got.turns.mostBeyond <= 0 );
}

TEST_CASE( "A limit far above what is asked for costs next to nothing", "[replay][limit]" ) {
    LimitLoad load;
    load.limitPerS = 200;
    const auto got = playAll( load, {}, LimitWay::holder, "wide" );
    CHECK( got.taken > 0.98 );
    load.limitPerS = 0;
    load.recovery = 5000ms; // a request every four seconds asks whether it has ended
    const auto none = playAll( load, {}, LimitWay::holder, "nothing" );
    CHECK( none.mostBeyond <= 0 );
    CHECK( none.after > 0.99 );
}

TEST_CASE( "Limits hold through cuts, freezes, kills and starts of gateways and holders",
           "[replay][limit]" ) {
    const auto at = []( LimitTrouble kind, double part, Millis from = 8000ms,
                        Millis to = 14000ms ) {
        return LimitEvent{ kind, from, to, part };
    };
    const std::vector<std::pair<std::string, std::vector<LimitEvent>>> troubles = {
        { "two of five cut off", { at( LimitTrouble::cutOff, 0.4 ) } },
        { "all cut off", { at( LimitTrouble::cutOff, 1 ) } },
        { "split", { at( LimitTrouble::split, 0.4 ) } },
        { "freeze", { at( LimitTrouble::freeze, 0.4 ) } },
        { "all start anew", { at( LimitTrouble::killAll, 1 ) } },
        { "holders start anew", { at( LimitTrouble::holderKill, 1 ) } },
        { "holders freeze", { at( LimitTrouble::holderFreeze, 1 ) } },
        { "one after the other",
          { at( LimitTrouble::holderFreeze, 0.5, 6000ms, 9000ms ),
            at( LimitTrouble::cutOff, 0.4, 8000ms, 12000ms ),
            at( LimitTrouble::holderKill, 1, 10000ms, 10000ms ),
            at( LimitTrouble::split, 0.6, 12000ms, 16000ms ),
            at( LimitTrouble::holderKill, 0.5, 14000ms, 14000ms ) } },
    };
    for( const auto& [name, events] : troubles ) {
        INFO( name );
        CHECK( playAll( {}, events, LimitWay::holder, "5 gateways, " + name ).mostBeyond <= 0 );
        CHECK( playAll( manyGateways(), events, LimitWay::holder, "400 gateways, " + name )
                   .mostBeyond <= 0 );
    }
}
