// SPDX-License-Identifier: BSL-1.0
#include "decide/model_restore.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace coursehead::decide;

namespace {

bool isLocalEverywhere( std::string_view ) {
    return true;
}

} // namespace

TEST_CASE( "When all engines are empty the busy models come first, and each engine's by draw",
           "[recall]" ) {
    const std::vector<PreviousModel> previousModels{
        { "rare", 1 }, { "busy", 15 }, { "other", 8 } };
    std::map<std::string, int> firstTaken;
    for( int n = 0; n < 100; ++n ) {
        ModelRestore modelRestore{ previousModels, true };
        ++firstTaken[*takeNextModel( modelRestore, isLocalEverywhere, n / 100.0 )];
        takeNextModel( modelRestore, isLocalEverywhere, 0.5 );
        CHECK( takeNextModel( modelRestore, isLocalEverywhere, 0.5 ) == "rare" );
        CHECK_FALSE( takeNextModel( modelRestore, isLocalEverywhere, 0.5 ) );
    }
    CHECK( firstTaken["busy"] == 50 );
    CHECK( firstTaken["other"] == 50 );
}

TEST_CASE( "When one engine is empty it takes in first what nobody else holds", "[recall]" ) {
    ModelRestore modelRestore{ { { "busy", 15 }, { "rare", 1 } }, false };
    CHECK( takeNextModel( modelRestore, isLocalEverywhere, 0.9 ) == "rare" );
    CHECK( takeNextModel( modelRestore, isLocalEverywhere, 0.9 ) == "busy" );
    CHECK_FALSE( takeNextModel( modelRestore, isLocalEverywhere, 0.9 ) );
}

TEST_CASE( "A model that only the weight store holds is not loaded before a request", "[recall]" ) {
    ModelRestore modelRestore{ { { "a", 3 }, { "b", 3 } }, true };
    const auto isLocal = []( std::string_view model ) {
        return model == "b";
    };
    CHECK( takeNextModel( modelRestore, isLocal, 0.0 ) == "b" );
    CHECK_FALSE( takeNextModel( modelRestore, isLocal, 0.0 ) );
}
