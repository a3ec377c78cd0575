// SPDX-License-Identifier: BSL-1.0
#include "soak/deployment.hpp"

#include <catch2/catch.hpp>

// Guards against deployments of concurrent test processes that use the same addresses.

using namespace coursehead;
using namespace coursehead::soak;

TEST_CASE( "Deployments that exist at once have addresses of their own", "[soak]" ) {
    net::asio::io_context context{ 1 };
    Record record;
    RandomSource random{ 1 };
    Deployment first( context, record, random, SoakOptions{} );
    Deployment second( context, record, random, SoakOptions{} );
    CHECK( first.gateways()[0]->ip != second.gateways()[0]->ip );
}
