// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_count.hpp"
#include "gateway/links/store_grants.hpp"

#include <catch2/catch.hpp>

// Guards against gateways that load too many models from the weight store at once. Gateways divide
// the store's rate by the number of gateways that sidecars report as connected. Four gateways
// connect to a sidecar that has just started within milliseconds of each other, and the sidecar
// reports a single gateway to the first. That gateway then uses the rate of all four until the
// next report: while engines were replaced one after the other, twelve loads started within five
// seconds, where eleven are allowed.

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

constexpr MonoTime start{ 1000s };
constexpr Millis hold{ 6000 };

} // namespace

TEST_CASE( "A sidecar that has just started gives no gateway the share of all",
           "[gateway][store]" ) {
    constexpr double loadsPerS = 1.5;
    constexpr Millis window{ 5000 };
    constexpr int gateways = 4;
    GatewayCount count( 8, hold );
    int grantedLoads = 0;
    gateway::StoreGrants grants( window );
    for( int n = 0; n < 10; ++n ) {
        const auto now = start + n * 400ms;
        count.note( gateways, now );
        count.note( 1, now + 1ms );
        const int share = gateway::storeShare( loadsPerS, window, count.count() );
        const auto model = "m" + std::to_string( n );
        grantedLoads += grants.take( "u", model, share, now + 2ms ) ? 1 : 0;
    }
    // The share of one of four gateways in the 7.5 loads that a window allows.
    CHECK( grantedLoads == 1 );
}

TEST_CASE( "The first word on how many gateways there are takes the place of what was assumed",
           "[gateway]" ) {
    GatewayCount count( 8, hold );
    CHECK( count.count() == 8 );
    CHECK( count.note( 3, start ) );
    CHECK( count.count() == 3 );
    CHECK( count.note( 5, start + 1ms ) );
    CHECK_FALSE( count.note( 5, start + 2ms ) );
    CHECK( count.count() == 5 );
}

TEST_CASE( "Gateways that are gone count no longer once nobody has seen them for a while",
           "[gateway]" ) {
    GatewayCount count( 8, hold );
    count.note( 5, start );
    count.note( 3, start + 3s );
    count.note( 1, start + 4s );
    CHECK( count.count() == 5 );
    CHECK( count.note( 1, start + hold + 1ms ) );
    // The highest count reported since then is used, not the last one.
    CHECK( count.count() == 3 );
}

TEST_CASE( "A number of gateways that can't be counts as one", "[gateway]" ) {
    GatewayCount count( 8, hold );
    count.note( -4, start );
    CHECK( count.count() == 1 );
    count.note( 0, start + 10s );
    CHECK( count.count() == 1 );
}
