// SPDX-License-Identifier: BSL-1.0
// A hundred gateways send to one engine: long prompts beside many streams, and a crowd that waited
// for the engine's copy of a model. The rate is that of the busiest engines of a loaded day.
#include "coursehead/kernel/random.hpp"
#include "gateway/reading_budget.hpp"
#include "replay/emulated_engine.hpp"
#include "sidecar/prompt_gate.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>

using namespace coursehead;
using namespace coursehead::replay;

namespace {

constexpr int gateways = 103;
constexpr double lengthMs = 20000;
constexpr double crowdAtMs = 8000;
constexpr int crowd = 24;
constexpr Millis gapTarget{ 600 };
constexpr double latePauseMs = 600;
constexpr double goalMs = 1500;
//! How often the sidecar looks at its engine while prompts are read.
constexpr double reportEveryMs = 40;
//! Polls of a gateway that waits for its own budget.
constexpr double lookMs = 25;

MonoTime at( double ms ) {
    return MonoTime{ std::chrono::microseconds( static_cast<std::int64_t>( ms * 1000 ) ) };
}

struct Kind {
    double perS = 0;
    std::int64_t uncachedTokens = 0;
    int events = 0;
};
const std::vector<Kind> kinds = { { 5, 826, 32 }, { 3, 2890, 6 }, { 0.5, 9190, 6 } };

std::vector<EmulatedRequest> arrivals( std::uint64_t seed ) {
    RandomSource random( seed );
    std::vector<EmulatedRequest> out;
    for( const auto& kind : kinds ) {
        double time = 0;
        for( ;; ) {
            time += -std::log( 1 - random.unit() ) * 1000 / kind.perS;
            if( time >= lengthMs ) {
                break;
            }
            out.push_back( { 0, time, kind.uncachedTokens, kind.events } );
        }
    }
    for( int n = 0; n < crowd; ++n ) {
        const auto& kind = kinds[static_cast<std::size_t>( n ) % kinds.size()];
        out.push_back( { 0, crowdAtMs + n * 0.2, kind.uncachedTokens, kind.events } );
    }
    std::sort( out.begin(), out.end(),
               []( const auto& a, const auto& b ) { return a.arrivedMs < b.arrivedMs; } );
    for( std::size_t n = 0; n < out.size(); ++n ) {
        out[n].key = n + 1;
    }
    return out;
}

double workMs( const EmulatedRequest& request ) {
    return static_cast<double>( request.uncachedTokens ) * EngineShape{}.readMsPerToken;
}

struct Outcome {
    double latePauses = 0;      //!< part of the streams
    double lateFirstEvents = 0; //!< likewise
    std::size_t refused = 0;
};

Outcome summary( const std::vector<StreamRecord>& records ) {
    Outcome out;
    for( const auto& it : records ) {
        out.latePauses += it.longestPauseMs > latePauseMs ? 1 : 0;
        out.lateFirstEvents += it.firstEventMs > goalMs ? 1 : 0;
    }
    const auto all = static_cast<double>( records.size() );
    out.latePauses /= all;
    out.lateFirstEvents /= all;
    return out;
}

//! Each gateway keeps a budget of its own, with what all take known at once.
Outcome withBudgets( std::uint64_t seed ) {
    RandomSource random( seed + 1 );
    EmulatedEngine engine( EngineShape{} );
    std::vector<StreamRecord> records;
    std::vector<gateway::ReadingBudget> budgets( gateways );
    std::multimap<double, std::pair<EmulatedRequest, std::size_t>> looks;
    for( const auto& it : arrivals( seed ) ) {
        const auto gateway = static_cast<std::size_t>( random.unit() * gateways );
        looks.emplace( it.arrivedMs, std::pair( it, gateway ) );
    }
    while( !looks.empty() ) {
        const auto [time, entry] = *looks.begin();
        looks.erase( looks.begin() );
        engine.runUntil( time, records );
        auto& budget = budgets[entry.second];
        double others = 0;
        for( const auto& it : budgets ) {
            others += &it == &budget ? 0 : it.ownShare( at( time ) );
        }
        const auto limits = gateway::readingLimits( gapTarget, others );
        const auto work = workMs( entry.first );
        const auto wait = budget.wait( work, limits, at( time ) );
        if( wait.count() > 0 && time + work < entry.first.arrivedMs + goalMs ) {
            looks.emplace( time + std::min( static_cast<double>( wait.count() ), lookMs ), entry );
            continue;
        }
        budget.take( work, limits, at( time ) );
        engine.send( entry.first );
    }
    engine.runUntil( lengthMs * 2, records );
    return summary( records );
}

//! All gateways ask the engine's sidecar.
Outcome withSidecar( std::uint64_t seed ) {
    EmulatedEngine engine( EngineShape{} );
    std::vector<StreamRecord> records;
    sidecar::PromptGate gate;
    gate.setEngine( 256305, gapTarget );
    std::map<std::uint64_t, EmulatedRequest> waiting;
    std::size_t refused = 0;
    const auto pass = [&]( double time ) {
        for( const auto& it : gate.takeAdmitted( at( time ) ) ) {
            engine.send( waiting.at( it.key ) );
        }
        refused += gate.takeExpired( at( time ) ).size();
    };
    double reportAt = 0;
    const auto advance = [&]( double from, double until ) {
        for( double time = from; time < until; time += 1 ) {
            engine.runUntil( time, records );
            if( time >= reportAt ) {
                gate.noteUnread( engine.unread(), at( time ) );
                reportAt = time + reportEveryMs;
            }
            pass( time );
        }
    };
    double time = 0;
    for( const auto& it : arrivals( seed ) ) {
        advance( time, it.arrivedMs );
        time = it.arrivedMs;
        sidecar::PromptRequest ask;
        ask.key = it.key;
        ask.prompt.tokens = it.uncachedTokens;
        ask.prompt.msPerToken = EngineShape{}.readMsPerToken;
        ask.prompt.goalMs = static_cast<std::int64_t>( goalMs - workMs( it ) - 120 );
        ask.since = at( time );
        ask.limit = Millis( ask.prompt.goalMs );
        if( !gate.ask( ask, at( time ) ).accepted ) {
            ++refused;
            continue;
        }
        waiting.emplace( it.key, it );
        pass( time );
    }
    advance( time, lengthMs * 2 );
    auto out = summary( records );
    out.refused = refused;
    return out;
}

} // namespace

TEST_CASE(
    "Streams beside the prompts of a hundred gateways pause in time when the sidecar admits them",
    "[replay][admission]" ) {
    const auto seed = GENERATE( std::uint64_t{ 1 }, std::uint64_t{ 2 }, std::uint64_t{ 3 } );
    const auto budgets = withBudgets( seed );
    const auto sidecar = withSidecar( seed );
    CAPTURE( seed, budgets.latePauses, budgets.lateFirstEvents, sidecar.latePauses,
             sidecar.lateFirstEvents, sidecar.refused );
    CHECK( budgets.latePauses > 0.1 );
    CHECK( sidecar.latePauses < 0.02 );
    CHECK( sidecar.lateFirstEvents < 0.02 );
    // The crowd of 24 alone takes twice the goal: about a half of it has to go to other engines.
    CHECK( sidecar.refused <= 24 );
}
