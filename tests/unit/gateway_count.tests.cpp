// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_count.hpp"
#include "gateway/store_grants.hpp"

#include <catch2/catch.hpp>

// Gateways share the weight store's rate by their number, as sidecars tell it: those connected.
// Four gateways connect to a sidecar that has just started within milliseconds of each other, and
// the first is told that there is one:
//
//     32.184 side-sala-b-12 event=gateway_connected gateway=front-sala-b-1
//     32.185 side-sala-b-12 event=gateway_connected gateway=front-sala-c-1
//     32.193 side-sala-b-12 event=order kind=load model=hupu164a75
//
// Until the next report it used the rate of all four. While engines were replaced one after the
// other twelve loads began within five seconds, and eleven may.

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
    int allowed = 0;
    gateway::StoreGrants grants( window );
    for( int n = 0; n < 10; ++n ) {
        const auto now = start + n * 400ms;
        count.note( gateways, now );
        count.note( 1, now + 1ms );
        const int share = gateway::storeShare( loadsPerS, window, count.count() );
        const auto model = "m" + std::to_string( n );
        allowed += grants.take( "u", model, share, now + 2ms ) ? 1 : 0;
    }
    // Its part of 7.5 loads in a window.
    CHECK( allowed == 1 );
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
    // The most that was seen since, not the last.
    CHECK( count.count() == 3 );
}

TEST_CASE( "A number of gateways that can't be counts as one", "[gateway]" ) {
    GatewayCount count( 8, hold );
    count.note( -4, start );
    CHECK( count.count() == 1 );
    count.note( 0, start + 10s );
    CHECK( count.count() == 1 );
}
