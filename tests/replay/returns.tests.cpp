// SPDX-License-Identifier: BSL-1.0
// A burst that one engine can't read, and steady arrivals after it. Of the clients that it refuses
// a third returns at once and often, a third returns at the time that it was told, and a third does
// not return. Without places the room goes to those that come most often.
#include "coursehead/kernel/random.hpp"
#include "decide/return_time.hpp"
#include "sidecar/return_gate.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

using namespace coursehead;
using namespace std::chrono_literals;

namespace {

constexpr double workMs = 60;
constexpr int goalMs = 450;
constexpr int clientMs = 5000;
constexpr int lengthMs = 9000;
constexpr int hastyEveryMs = 25;
constexpr int hastyTries = 20;

enum class Habit { hasty, asTold, never };

struct Try {
    std::uint64_t content = 0;
    Habit habit = Habit::never;
    int arrivedMs = 0; //!< first try of the client
    int tries = 0;
};

struct Outcome {
    std::map<Habit, int> refused; //!< clients refused at their first try
    std::map<Habit, int> served;  //!< of those, served at a later try
    int admitted = 0;

    double share( Habit habit ) const {
        return static_cast<double>( served.at( habit ) ) / refused.at( habit );
    }
};

MonoTime at( int ms ) {
    return MonoTime{ 1000s } + Millis( ms );
}

//! Serves the load; `withPlaces`: refused contents get places.
Outcome serve( std::uint64_t seed, bool withPlaces ) {
    RandomSource random( seed );
    std::multimap<int, Try> arrivals;
    std::uint64_t content = 0;
    for( double time = 0; time < lengthMs; ) {
        // The burst of the first second brings three times what the engine can read, the rest a
        // little more than that.
        const double perS = time < 1000 ? 50 : 17;
        time += -std::log( 1 - random.unit() ) * 1000 / perS;
        const auto habit = static_cast<Habit>( static_cast<int>( random.unit() * 3 ) );
        arrivals.emplace( static_cast<int>( time ),
                          Try{ ++content, habit, static_cast<int>( time ), 0 } );
    }
    sidecar::PromptGate gate;
    gate.setEngine( 100000, 0ms );
    sidecar::ReturnGate returns( gate );
    Outcome out;
    out.refused = { { Habit::hasty, 0 }, { Habit::asTold, 0 }, { Habit::never, 0 } };
    out.served = out.refused;
    std::uint64_t key = 0;
    for( int time = 0; time < lengthMs; ++time ) {
        while( !arrivals.empty() && arrivals.begin()->first <= time ) {
            auto next = arrivals.begin()->second;
            arrivals.erase( arrivals.begin() );
            sidecar::PromptRequest request;
            request.key = ++key;
            request.prompt.tokens = 1000;
            request.prompt.msPerToken = workMs / 1000;
            request.prompt.goalMs = goalMs;
            request.prompt.content = withPlaces ? next.content : 0;
            request.since = at( time );
            request.limit = Millis( goalMs );
            request.returning = returns.arrive( request.prompt.content, at( time ) ) ==
                                decide::ReturnVerdict::inTime;
            const auto answer = returns.ask( request, at( time ) );
            if( answer.accepted ) {
                returns.noteAdmitted( request.prompt.content );
                ++out.admitted;
                out.served[next.habit] += next.tries > 0 ? 1 : 0;
                continue;
            }
            out.refused[next.habit] += next.tries == 0 ? 1 : 0;
            ++next.tries;
            if( next.habit == Habit::hasty && next.tries <= hastyTries ) {
                arrivals.emplace( time + hastyEveryMs, next );
            } else if( next.habit == Habit::asTold && next.tries == 1 ) {
                const Millis left{ next.arrivedMs + clientMs - time };
                const auto told = decide::returnTime( { answer.place.wait, left,
                                                        answer.place.held.count() > 0
                                                            ? std::optional( answer.place.held )
                                                            : std::nullopt },
                                                      random.unit() );
                if( told ) {
                    arrivals.emplace( time + static_cast<int>( told->count() ), next );
                }
            }
        }
        while( !gate.takeAdmitted( at( time ) ).empty() ) {
        }
    }
    return out;
}

} // namespace

TEST_CASE( "Clients that return as told are served before those that return at once and often",
           "[replay][returns]" ) {
    const auto seed = GENERATE( std::uint64_t{ 1 }, std::uint64_t{ 2 }, std::uint64_t{ 3 } );
    const auto without = serve( seed, false );
    const auto with = serve( seed, true );
    CAPTURE( seed, without.share( Habit::asTold ), without.share( Habit::hasty ),
             with.share( Habit::asTold ), with.share( Habit::hasty ), without.admitted,
             with.admitted );
    CHECK( without.share( Habit::asTold ) < 0.6 );
    CHECK( without.share( Habit::hasty ) > 0.8 );
    CHECK( with.share( Habit::asTold ) > 0.9 );
    CHECK( with.share( Habit::hasty ) < with.share( Habit::asTold ) );
    // Room that is kept for those who do not return stays small.
    CHECK( with.admitted > 0.95 * without.admitted );
}
