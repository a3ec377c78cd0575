// SPDX-License-Identifier: BSL-1.0
#include "decide/recall.hpp"

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
    const std::vector<FormerModel> held{ { "rare", 1 }, { "busy", 15 }, { "other", 8 } };
    std::map<std::string, int> first;
    for( int n = 0; n < 100; ++n ) {
        Recall recall{ held, true };
        ++first[*takeNext( recall, everyWhere, n / 100.0 )];
        takeNext( recall, everyWhere, 0.5 );
        CHECK( takeNext( recall, everyWhere, 0.5 ) == "rare" );
        CHECK_FALSE( takeNext( recall, everyWhere, 0.5 ) );
    }
    CHECK( first["busy"] == 50 );
    CHECK( first["other"] == 50 );
}

TEST_CASE( "When one engine is empty it takes in first what nobody else holds", "[recall]" ) {
    Recall recall{ { { "busy", 15 }, { "rare", 1 } }, false };
    CHECK( takeNext( recall, everyWhere, 0.9 ) == "rare" );
    CHECK( takeNext( recall, everyWhere, 0.9 ) == "busy" );
    CHECK_FALSE( takeNext( recall, everyWhere, 0.9 ) );
}

TEST_CASE( "What lies in the weight store alone waits for a request", "[recall]" ) {
    Recall recall{ { { "a", 3 }, { "b", 3 } }, true };
    const auto near = []( std::string_view model ) {
        return model == "b";
    };
    CHECK( takeNext( recall, near, 0.0 ) == "b" );
    CHECK_FALSE( takeNext( recall, near, 0.0 ) );
}
