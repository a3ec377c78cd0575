// SPDX-License-Identifier: BSL-1.0
#include "decide/model_restore.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace coursehead::decide;

namespace {

bool everyWhere( std::string_view ) {
    return true;
}

} // namespace

TEST_CASE( "When all engines are empty the busy models come first, and each engine's by draw",
           "[recall]" ) {
    const std::vector<PreviousModel> held{ { "rare", 1 }, { "busy", 15 }, { "other", 8 } };
    std::map<std::string, int> first;
    for( int n = 0; n < 100; ++n ) {
        ModelRestore modelRestore{ held, true };
        ++first[*takeNextModel( modelRestore, everyWhere, n / 100.0 )];
        takeNextModel( modelRestore, everyWhere, 0.5 );
        CHECK( takeNextModel( modelRestore, everyWhere, 0.5 ) == "rare" );
        CHECK_FALSE( takeNextModel( modelRestore, everyWhere, 0.5 ) );
    }
    CHECK( first["busy"] == 50 );
    CHECK( first["other"] == 50 );
}

TEST_CASE( "When one engine is empty it takes in first what nobody else holds", "[recall]" ) {
    ModelRestore modelRestore{ { { "busy", 15 }, { "rare", 1 } }, false };
    CHECK( takeNextModel( modelRestore, everyWhere, 0.9 ) == "rare" );
    CHECK( takeNextModel( modelRestore, everyWhere, 0.9 ) == "busy" );
    CHECK_FALSE( takeNextModel( modelRestore, everyWhere, 0.9 ) );
}

TEST_CASE( "What lies in the weight store alone waits for a request", "[recall]" ) {
    ModelRestore modelRestore{ { { "a", 3 }, { "b", 3 } }, true };
    const auto near = []( std::string_view model ) {
        return model == "b";
    };
    CHECK( takeNextModel( modelRestore, near, 0.0 ) == "b" );
    CHECK_FALSE( takeNextModel( modelRestore, near, 0.0 ) );
}
