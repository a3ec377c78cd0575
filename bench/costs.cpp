// SPDX-License-Identifier: BSL-1.0
#include "coursehead/claims/table.hpp"
#include "coursehead/config/head.hpp"
#include "coursehead/peer/messages.hpp"
#include "coursehead/planner/plan.hpp"
#include "coursehead/router/route.hpp"

#include <benchmark/benchmark.h>

#include <random>

// Benchmarks of single decisions, at today's deployment sizes and at the target sizes.

namespace {

using namespace coursehead;

//! Agents of one region; the target is 300 agents of 8 accelerators and 270 models.
std::vector<planner::AgentInput> agents( std::size_t count ) {
    std::vector<planner::AgentInput> out;
    for( std::size_t n = 0; n < count; ++n ) {
        out.push_back(
            { "r" + std::to_string( n ), "h" + std::to_string( n % 3 ), 8, 80, true, {} } );
    }
    return out;
}

std::vector<planner::ModelInput> models( std::size_t count, double rate ) {
    std::vector<planner::ModelInput> out;
    for( std::size_t n = 0; n < count; ++n ) {
        out.push_back( { "m" + std::to_string( n ), 18 + 8 * ( n % 5 ),
                         static_cast<std::uint32_t>( 1U << ( n % 3 ) ), 2,
                         rate / static_cast<double>( n + 1 ), 3, 0 } );
    }
    return out;
}

void planFromNothing( benchmark::State& state ) {
    const auto in = agents( static_cast<std::size_t>( state.range( 0 ) ) );
    const auto wanted = models( 270, 800 );
    planner::PlanRules rules;
    rules.moveBudget = 5000;
    for( auto _ : state ) {
        benchmark::DoNotOptimize( planner::plan( in, wanted, rules ) );
    }
}

void planSteady( benchmark::State& state ) {
    auto in = agents( static_cast<std::size_t>( state.range( 0 ) ) );
    auto wanted = models( 270, 800 );
    planner::PlanRules rules;
    rules.moveBudget = 5000;
    const auto first = planner::plan( in, wanted, rules );
    for( std::size_t n = 0; n < in.size(); ++n ) {
        in[n].models = first.agents[n].models;
    }
    // The rate of every tenth model rises tenfold, so that the planner has to weigh evictions.
    for( std::size_t n = 0; n < wanted.size(); n += 10 ) {
        wanted[n].rate *= 10;
    }
    planner::PlanRules usual;
    for( auto _ : state ) {
        benchmark::DoNotOptimize( planner::plan( in, wanted, usual ) );
    }
}

std::uint64_t draw( void* context, std::uint64_t bound ) {
    return ( *static_cast<std::mt19937_64*>( context ) )() % bound;
}

void routeOne( benchmark::State& state ) {
    std::vector<std::string> names;
    names.reserve( static_cast<std::size_t>( state.range( 0 ) ) );
    for( int n = 0; n < state.range( 0 ); ++n ) {
        names.push_back( "r" + std::to_string( n ) );
    }
    std::vector<router::Candidate> candidates;
    candidates.reserve( names.size() );
    for( const auto& it : names ) {
        router::Candidate candidate;
        candidate.vm = it;
        candidate.reachable = true;
        candidate.resident = candidates.size() % 5 == 0;
        candidate.capacity = 24;
        candidates.push_back( candidate );
    }
    std::mt19937_64 random( 1 );
    for( auto _ : state ) {
        benchmark::DoNotOptimize( router::route( candidates, 7, {}, { draw, &random } ) );
    }
}

void tokenMessage( benchmark::State& state ) {
    const peer::RunChunk chunk{ "0123456789abcdef0123", 4711, " token" };
    for( auto _ : state ) {
        benchmark::DoNotOptimize( peer::decode( encode( chunk ) ) );
    }
    state.counters["bytes"] = static_cast<double>( encode( chunk ).size() );
}

void loadReport( benchmark::State& state ) {
    const peer::LoadReport report{ 100000, 17, 3, 2100, { { "m17", 4 } } };
    for( auto _ : state ) {
        benchmark::DoNotOptimize( encode( report ) );
    }
    state.counters["bytes"] = static_cast<double>( encode( report ).size() );
}

void fullReport( benchmark::State& state ) {
    peer::AgentStatus status;
    status.vm = "runner-000123";
    status.incarnation = "0123456789abcdef";
    for( int n = 0; n < 24; ++n ) {
        status.items.push_back( { "model", "model-" + std::to_string( n ), "2026-12-02", true } );
    }
    for( auto _ : state ) {
        benchmark::DoNotOptimize( encode( status ) );
    }
    state.counters["bytes"] = static_cast<double>( encode( status ).size() );
}

//! The work of a claim's owner for one keyed request.
void claimOne( benchmark::State& state ) {
    RandomSource random( 1 );
    claims::ClaimTable table;
    WallMillis now = 1'800'000'000'000;
    for( std::uint32_t n = 0; n < claims::slotCount; ++n ) {
        table.ownedSince[n] = 0;
    }
    peer::ClaimRequest request;
    request.holder = { "0123456789abcdef0123", 1, "runner-1", "0123456789abcdef" };
    for( auto _ : state ) {
        request.key = claims::makeKey( ++now, random );
        benchmark::DoNotOptimize( claims::answer( table, request, {}, now ) );
        if( table.records.size() > 100000 ) {
            table.records.clear();
        }
    }
}

//! Adopts a head of the target size, with 32 to 64 changes in its tail. Each change sends such a
//! head to every reader.
void adoptHead( benchmark::State& state ) {
    config::Head head;
    for( int n = 0; n < 64; ++n ) {
        head = config::append( head, { "0123456789abcdef0123456789abcdef",
                                       "operator",
                                       { { config::Action::create,
                                           config::Kind::model,
                                           "model-" + std::to_string( n ),
                                           { { "memory", "12GiB" }, { "kv", "6GiB" } } } } } );
    }
    config::Head before = head;
    before.tail.pop_back();
    --before.revision;
    config::State base;
    config::adopt( base, before );
    for( auto _ : state ) {
        auto copy = base;
        benchmark::DoNotOptimize( config::adopt( copy, head ) );
    }
    state.counters["head_bytes"] = static_cast<double>( config::toText( head ).size() );
}

BENCHMARK( planFromNothing )->Arg( 75 )->Arg( 300 )->Arg( 600 )->Unit( benchmark::kMillisecond );
BENCHMARK( planSteady )->Arg( 75 )->Arg( 300 )->Arg( 600 )->Unit( benchmark::kMillisecond );
BENCHMARK( routeOne )->Arg( 20 )->Arg( 64 )->Arg( 300 );
BENCHMARK( tokenMessage );
BENCHMARK( loadReport );
BENCHMARK( fullReport );
BENCHMARK( claimOne );
BENCHMARK( adoptHead );

} // namespace

BENCHMARK_MAIN();
