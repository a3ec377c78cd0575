// SPDX-License-Identifier: BSL-1.0
// 21 gateways receive an occasional long prompt for each of fifty rare models, and many for a few
// busy ones, as in a deployment with many more models than engines can hold. A gateway that
// extrapolates its own requests to all gateways takes a single prompt for a high load and adds
// copies of rare models.
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
//! Time to read the prompt of one review.
constexpr double reviewMs = 241;

enum class LoadSource {
    ownTimesGateways, //!< each gateway multiplies its own load by the number of gateways
    sum,              //!< sidecars sum up the load that gateways report, one tick late
};

//! Copies added for one model that receives `perS` requests a second and starts with `copies`.
int copiesAdded( double perS, int copies, LoadSource source, std::uint64_t seed ) {
    RandomSource random( seed );
    std::vector<double> ownWorkPerS( gateways, 0.0 );
    std::vector<MonoTime> lastAdded( gateways );
    double reportedSum = 0;
    int added = 0;
    for( Millis since{ 0 }; since < length; since += tick ) {
        const MonoTime now{ std::chrono::seconds( 100 ) + since };
        const double seconds = std::chrono::duration<double>( tick ).count();
        double sum = 0;
        for( auto& it : ownWorkPerS ) {
            // Poisson-distributed number of arrivals at one gateway in a tick.
            int arrivals = 0;
            for( double left = std::exp( -perS / gateways * seconds ), p = random.unit(); p > left;
                 p *= random.unit() ) {
                ++arrivals;
            }
            it += smoothing * ( arrivals * reviewMs / seconds - it );
            sum += it;
        }
        for( std::size_t n = 0; n < ownWorkPerS.size(); ++n ) {
            ModelLoad load;
            load.workPerS = source == LoadSource::sum ? reportedSum : ownWorkPerS[n] * gateways;
            load.reportedAt = now;
            load.copies = copies + added;
            load.lastReplica = lastAdded[n];
            if( shouldAddReplica( load, gateways, random.unit(), now ) ) {
                lastAdded[n] = now;
                ++added;
            }
        }
        reportedSum = sum;
    }
    return added;
}

} // namespace

TEST_CASE( "A rare model keeps its copy alone, however its prompts fall on the gateways",
           "[replay][replica]" ) {
    int addedBySum = 0;
    int addedByOwn = 0;
    for( std::uint64_t model = 1; model <= 50; ++model ) {
        addedBySum += copiesAdded( 0.27, 1, LoadSource::sum, model );
        addedByOwn += copiesAdded( 0.27, 1, LoadSource::ownTimesGateways, model );
    }
    INFO( "copies added to fifty rare models, by each gateway's own requests: "
          << addedByOwn << ", by the sum: " << addedBySum );
    CHECK( addedByOwn > 150 );
    CHECK( addedBySum < 25 );
}

TEST_CASE( "A busy model gets the copies that its load asks for", "[replay][replica]" ) {
    // Twenty reviews a second take the time of 4.8 engines, which is 13.8 copies at a load of 0.35.
    const int copies = 2 + copiesAdded( 20, 2, LoadSource::sum, 3 );
    CHECK( copies >= 13 );
    CHECK( copies <= 22 );
}

TEST_CASE( "An outdated load report adds no copy", "[replica]" ) {
    ModelLoad load;
    load.workPerS = 5000;
    load.copies = 1;
    load.reportedAt = MonoTime{ std::chrono::seconds( 100 ) };
    CHECK( shouldAddReplica( load, 1, 0, load.reportedAt + Millis( 1000 ) ) );
    CHECK_FALSE( shouldAddReplica( load, 1, 0, load.reportedAt + Millis( 2000 ) ) );
    load.copies = 0;
    CHECK_FALSE( shouldAddReplica( load, 1, 0, load.reportedAt ) );
}
