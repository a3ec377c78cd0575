// SPDX-License-Identifier: BSL-1.0
#include "simulation.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

// Prints the policy tables; --check FILE compares the figures with their bounds; --curve prints the
// trade-off of attainment against moves.

namespace {

using bench::Deployment;
using bench::Figures;
using bench::Policy;

constexpr std::uint64_t seed = 20261202;

Policy named( const char* name ) {
    Policy out;
    out.name = name;
    return out;
}

//! The product's policy, the baselines, and the product's policy with one part switched off.
std::vector<Policy> policies() {
    auto fixed = named( "static" );
    fixed.planner = false;
    fixed.onDemand = false;
    fixed.fixedPlacement = true;
    auto lru = named( "lru" );
    lru.planner = false;
    lru.affinity = false;
    auto noAffinity = named( "no-affinity" );
    noAffinity.affinity = false;
    auto leastLoaded = named( "least-loaded" );
    leastLoaded.affinity = false;
    leastLoaded.twoChoices = false;
    auto noDistance = named( "no-distance" );
    noDistance.distance = false;
    auto noPlanner = named( "no-planner" );
    noPlanner.planner = false;
    auto noRetiring = named( "no-retiring" );
    noRetiring.retiring = false;
    auto noShedding = named( "no-shedding" );
    noShedding.shedding = false;
    auto oracle = named( "oracle" );
    oracle.oracle = true;
    oracle.movesWeight = 0;
    return { named( "coursehead" ),
             fixed,
             lru,
             leastLoaded,
             noAffinity,
             noDistance,
             noPlanner,
             noShedding,
             noRetiring,
             oracle };
}

void printHeader() {
    std::printf( "%-12s %-14s %9s %9s %8s %10s %9s %8s %8s %8s %8s %8s\n", "deployment", "policy",
                 "requests", "attained", "per-acc", "moves/h", "worst", "first95", "betw95", "cold",
                 "refused", "breaches" );
}

void print( const Deployment& deployment, const std::string& policy, const Figures& it ) {
    std::printf( "%-12s %-14s %9lu %8.2f%% %8.4f %10.1f %8.1f%% %7.0fms %7.1fms %8lu %8lu %8lu\n",
                 std::string( deployment.name ).c_str(), policy.c_str(), it.requests,
                 100 * it.attainment(), it.attainment() / it.accelerators, it.movesPerHour(),
                 100 * it.worstModel, 1000 * it.p95FirstToken, 1000 * it.p95Between, it.coldWaits,
                 it.refused, it.breaches );
}

void printTables() {
    printHeader();
    for( const auto& deployment : bench::deployments ) {
        for( const auto& policy : policies() ) {
            print( deployment, policy.name, simulate( deployment, policy, {}, seed ) );
        }
    }
    std::printf( "\nlag between load reports\n" );
    printHeader();
    for( const double lag : { 0.1, 0.3, 1.0, 3.0, 10.0 } ) {
        auto policy = named( "coursehead" );
        policy.lagSeconds = lag;
        std::ostringstream name;
        name << "lag-" << lag << "s";
        print( bench::deployments[0], name.str(),
               simulate( bench::deployments[0], policy, {}, seed ) );
    }
}

void printCurve() {
    std::printf( "# deployment weight attainment moves_per_hour\n" );
    for( const auto& deployment : bench::deployments ) {
        for( const double weight :
             { 0.0, 1.0, 3.0, 10.0, 30.0, 60.0, 100.0, 300.0, 1000.0, 10000.0 } ) {
            auto policy = named( "coursehead" );
            policy.movesWeight = weight;
            const auto it = simulate( deployment, policy, {}, seed );
            std::printf( "%s %g %.4f %.1f\n", std::string( deployment.name ).c_str(), weight,
                         it.attainment(), it.movesPerHour() );
        }
        std::printf( "\n\n" );
    }
}

//! A bound: DEPLOYMENT FIGURE at-least|at-most VALUE.
struct Bound {
    std::string deployment;
    std::string figure;
    std::string side;
    double value = 0;
};

double figureOf( const Figures& it, const std::string& name ) {
    if( name == "attainment" ) {
        return it.attainment();
    }
    if( name == "moves-per-hour" ) {
        return it.movesPerHour();
    }
    if( name == "worst-model" ) {
        return it.worstModel;
    }
    if( name == "breaches" ) {
        return static_cast<double>( it.breaches );
    }
    return -1;
}

//! The figures of the product's policy for a deployment; simulated once and cached.
const Figures& figuresOf( const Deployment& deployment ) {
    static std::map<std::string_view, Figures> cache;
    const auto found = cache.find( deployment.name );
    if( found != cache.end() ) {
        return found->second;
    }
    return cache[deployment.name] = simulate( deployment, named( "coursehead" ), {}, seed );
}

int check( const std::string& path ) {
    std::ifstream file( path );
    int passed = 0;
    int failed = 0;
    for( std::string line; std::getline( file, line ); ) {
        std::istringstream words( line );
        Bound bound;
        if( line.empty() || line[0] == '#' ||
            !( words >> bound.deployment >> bound.figure >> bound.side >> bound.value ) ) {
            continue;
        }
        for( const auto& deployment : bench::deployments ) {
            if( deployment.name != bound.deployment ) {
                continue;
            }
            const auto& figures = figuresOf( deployment );
            const double measured = figureOf( figures, bound.figure );
            const bool good =
                bound.side == "at-least" ? measured >= bound.value : measured <= bound.value;
            ( good ? passed : failed ) += 1;
            std::printf( "%s %s %s: %.4f, %s %.4f\n", good ? "ok  " : "FAIL",
                         bound.deployment.c_str(), bound.figure.c_str(), measured,
                         bound.side.c_str(), bound.value );
        }
    }
    std::printf( "%d passed, %d failed\n", passed, failed );
    return failed == 0 && passed > 0 ? 0 : 1;
}

} // namespace

int main( int argc, char** argv ) {
    const std::string mode = argc > 1 ? argv[1] : "";
    if( mode == "--product" ) {
        printHeader();
        for( const auto& deployment : bench::deployments ) {
            print( deployment, "coursehead",
                   simulate( deployment, named( "coursehead" ), {}, seed ) );
        }
        return 0;
    }
    if( mode == "--check" && argc > 2 ) {
        return check( argv[2] );
    }
    if( mode == "--curve" ) {
        printCurve();
    } else {
        printTables();
    }
    return 0;
}
