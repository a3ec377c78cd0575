// SPDX-License-Identifier: BSL-1.0
#include "coursehead/planner/plan.hpp"

#include "support/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace coursehead::planner;

namespace {

AgentInput agent( const std::string& vm, const std::string& hall,
                  std::vector<std::string> models = {} ) {
    return { vm, hall, 1, 100, true, std::move( models ) };
}

std::size_t copies( const Plan& result, const std::string& model ) {
    return static_cast<std::size_t>(
        std::count_if( result.agents.begin(), result.agents.end(), [&]( const auto& it ) {
            return std::find( it.models.begin(), it.models.end(), model ) != it.models.end();
        } ) );
}

} // namespace

TEST_CASE( "Every model gets a copy first, and replicas go to different halls", "[planner]" ) {
    const std::vector<AgentInput> agents{ agent( "a", "h1" ), agent( "b", "h1" ),
                                          agent( "c", "h2" ) };
    const std::vector<ModelInput> models{ { "m", 60, 1, 2 }, { "n", 30, 1, 1 } };
    const auto result = plan( agents, models, {} );
    CHECK( copies( result, "m" ) == 2 );
    CHECK( copies( result, "n" ) == 1 );
    CHECK( std::find( result.agents[2].models.begin(), result.agents[2].models.end(), "m" ) !=
           result.agents[2].models.end() );
    CHECK( result.moves == 3 );
}

TEST_CASE( "A steady scene asks for no moves", "[planner]" ) {
    const std::vector<AgentInput> agents{ agent( "a", "h1", { "m", "n" } ),
                                          agent( "b", "h2", { "m" } ) };
    const std::vector<ModelInput> models{ { "m", 60, 1, 2, 0.5 }, { "n", 30, 1, 1, 0.1 } };
    CHECK( plan( agents, models, {} ).moves == 0 );
}

TEST_CASE( "Demand that pays for a move gets a copy, and none where moves are dear", "[planner]" ) {
    const std::vector<AgentInput> agents{ agent( "a", "h1", { "hot" } ),
                                          agent( "b", "h2", { "cold" } ) };
    const std::vector<ModelInput> models{ { "hot", 60, 1, 1, 6.0, 2.0 },
                                          { "cold", 30, 1, 1, 0.01 } };
    PlanRules rules;
    CHECK( copies( plan( agents, models, rules ), "hot" ) == 2 );
    rules.weights.moves = 1e5;
    CHECK( copies( plan( agents, models, rules ), "hot" ) == 1 );
}

TEST_CASE( "The last copy never goes for a better plan", "[planner]" ) {
    const std::vector<AgentInput> agents{ agent( "a", "h1", { "hot" } ),
                                          agent( "b", "h2", { "rare" } ) };
    const std::vector<ModelInput> models{ { "hot", 80, 1, 1, 100.0, 2.0 },
                                          { "rare", 80, 1, 1, 0 } };
    const auto result = plan( agents, models, {} );
    CHECK( copies( result, "rare" ) == 1 );
    CHECK( result.moves == 0 );
}

TEST_CASE( "A plan never asks an agent for more than it holds", "[planner][property]" ) {
    rc::prop( "any agents, models and demand", [] {
        const auto numbers = fleet::draws( 200 );
        std::size_t position = 0;
        const auto nextNumber = [&]( std::uint32_t bound ) {
            return numbers[position++ % 200] % bound;
        };
        std::vector<ModelInput> models;
        for( int n = 0; n < 12; ++n ) {
            models.push_back( { "m" + std::to_string( n ), 10 + nextNumber( 50 ),
                                1 + nextNumber( 2 ), nextNumber( 4 ), nextNumber( 100 ) / 10.0, 2.0,
                                0 } );
        }
        std::vector<AgentInput> agents;
        for( int n = 0; n < 6; ++n ) {
            agents.push_back( { "a" + std::to_string( n ),
                                "h" + std::to_string( n % 2 ),
                                2,
                                100,
                                nextNumber( 5 ) != 0,
                                {} } );
        }
        std::uint32_t moves = 1;
        for( int round = 0; round < 8 && moves > 0; ++round ) {
            const auto result = plan( agents, models, {} );
            moves = result.moves;
            RC_ASSERT( moves <= PlanRules{}.moveBudget + 8 );
            for( std::size_t n = 0; n < agents.size(); ++n ) {
                std::uint64_t bytes = 0;
                for( const auto& name : result.agents[n].models ) {
                    const auto& model = models[std::stoul( name.substr( 1 ) )];
                    bytes += model.bytes * model.accelerators;
                }
                RC_ASSERT( bytes <= 200U );
                RC_ASSERT( agents[n].usable || result.agents[n].models.empty() );
                agents[n].models = result.agents[n].models;
            }
        }
        // Repeated planning converges: the last plan needs no moves.
        RC_ASSERT( moves == 0U );
    } );
}

TEST_CASE( "A rise in demand is followed at once, a fall slowly", "[planner]" ) {
    DemandRate rate;
    for( int n = 0; n < 6; ++n ) {
        observe( rate, 100, 10 );
    }
    CHECK( estimate( rate ) > 8 );
    for( int n = 0; n < 6; ++n ) {
        observe( rate, 0, 10 );
    }
    CHECK( estimate( rate ) > 0.5 );
    CHECK( estimate( rate ) < 5 );
}
