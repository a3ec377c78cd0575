// SPDX-License-Identifier: BSL-1.0
// Twenty-one gateways are asked for fifty rare models, each by a long prompt now and then, and for
// a few busy ones: the mix of a deployment with many more models than places.
#include "coursehead/kernel/random.hpp"
#include "decide/replica_rule.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <vector>

using namespace coursehead;
using namespace coursehead::decide;

namespace {

constexpr int gateways = 21;
constexpr Millis tick{ 400 };
constexpr Millis length{ 34000 };
constexpr double smoothing = 0.2;
//! Reading of one review, in milliseconds.
constexpr double reviewMs = 241;

enum class Known {
    ownTimesGateways, //!< each gateway takes its own requests for an even part of all
    sum,              //!< sidecars sum up what gateways tell them, a tick late
};

//! Copies that are added for one model with `perS` requests a second and `copies` to begin with.
int added( double perS, int copies, Known known, std::uint64_t seed ) {
    RandomSource random( seed );
    std::vector<double> own( gateways, 0.0 );
    std::vector<MonoTime> last( gateways );
    double told = 0;
    int out = 0;
    for( Millis since{ 0 }; since < length; since += tick ) {
        const MonoTime now{ std::chrono::seconds( 100 ) + since };
        const double seconds = std::chrono::duration<double>( tick ).count();
        double sum = 0;
        for( auto& it : own ) {
            // Arrivals of a tick at one gateway.
            int arrivals = 0;
            for( double left = std::exp( -perS / gateways * seconds ), p = random.unit(); p > left;
                 p *= random.unit() ) {
                ++arrivals;
            }
            it += smoothing * ( arrivals * reviewMs / seconds - it );
            sum += it;
        }
        for( std::size_t n = 0; n < own.size(); ++n ) {
            ModelLoad load;
            load.workPerS = known == Known::sum ? told : own[n] * gateways;
            load.reportedAt = now;
            load.copies = copies + out;
            load.lastReplica = last[n];
            if( shouldAddReplica( load, gateways, random.unit(), now ) ) {
                last[n] = now;
                ++out;
            }
        }
        told = sum;
    }
    return out;
}

} // namespace

TEST_CASE( "A rare model keeps its copy alone, however its prompts fall on the gateways",
           "[replay][replica]" ) {
    int bySum = 0;
    int byOwn = 0;
    for( std::uint64_t model = 1; model <= 50; ++model ) {
        bySum += added( 0.27, 1, Known::sum, model );
        byOwn += added( 0.27, 1, Known::ownTimesGateways, model );
    }
    INFO( "copies added to fifty rare models: " << byOwn << " by own requests, " << bySum );
    CHECK( byOwn > 150 );
    CHECK( bySum < 25 );
}

TEST_CASE( "A busy model gets the copies that its load asks for", "[replay][replica]" ) {
    // Twenty reviews a second are 4.8 engines' time, and 13.8 copies at 0.35 each.
    const int copies = 2 + added( 20, 2, Known::sum, 3 );
    CHECK( copies >= 13 );
    CHECK( copies <= 22 );
}

TEST_CASE( "What was said long ago adds no copy", "[replica]" ) {
    ModelLoad load;
    load.workPerS = 5000;
    load.copies = 1;
    load.reportedAt = MonoTime{ std::chrono::seconds( 100 ) };
    CHECK( shouldAddReplica( load, 1, 0, load.reportedAt + Millis( 1000 ) ) );
    CHECK_FALSE( shouldAddReplica( load, 1, 0, load.reportedAt + Millis( 2000 ) ) );
    load.copies = 0;
    CHECK_FALSE( shouldAddReplica( load, 1, 0, load.reportedAt ) );
}
