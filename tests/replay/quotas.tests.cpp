// SPDX-License-Identifier: BSL-1.0
// Twenty-one, and two hundred, gateways keep one organisation's limit: few large requests at the
// smallest limit of a loaded day, an organisation that sends nine or twenty times its usual, cuts,
// freezes and restarts.
#include "replay/quota_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdio>

using namespace coursehead;
using namespace coursehead::decide;
using namespace coursehead::replay;
using namespace std::chrono_literals;

namespace {

const QuotaRule rule{ 8000ms, 0.1, 110000 };

QuotaLoad hot( double times ) {
    QuotaLoad out;
    out.hotTimes = times * 0.55;
    out.hotFrom = 3000ms;
    out.hotTo = 15000ms;
    out.skew = 3;
    return out;
}

void show( const char* what, const QuotaLoad& load, const QuotaOutcome& it ) {
    std::printf( "%s: %d gateways, worst window %.2f of what the rule allows, served %.3f of the "
                 "limit's, %.1f questions a second, waited %.1f ms, unknown %d\n",
                 what, load.gateways, it.worstWindow / quotaBound( load, rule ),
                 it.served / std::max( it.allowed, 1.0 ),
                 it.messages / std::chrono::duration<double>( load.length ).count(), it.waitedMs,
                 it.unknown );
}

} // namespace

TEST_CASE( "With all in touch an organisation is served what its limit allows, and no more",
           "[replay][quota]" ) {
    for( const int gateways : { 21, 200 } ) {
        for( const double times : { 1.0, 9.0, 20.0 } ) {
            auto load = hot( times );
            load.gateways = gateways;
            const auto got = playQuota( load, {}, QuotaWay::holder, rule, 7 );
            INFO( gateways << " gateways, x " << times );
            show( "holder", load, got );
            CHECK( got.served >= 0.95 * got.allowed );
            CHECK( got.worstWindow <= quotaBound( load, rule ) );
            CHECK( got.unknown == 0 );
        }
    }
}

TEST_CASE( "Equal parts of a limit starve an organisation whose requests are large",
           "[replay][quota]" ) {
    // What the holders are for: the same load without them.
    const QuotaLoad load = hot( 1 );
    const auto parts = playQuota( load, {}, QuotaWay::equalParts, rule, 7 );
    show( "equal parts", load, parts );
    CHECK( parts.served < 0.8 * parts.allowed );
}

TEST_CASE( "A fleet that is cut, split, frozen or killed never spends a limit twice",
           "[replay][quota]" ) {
    for( const auto kind :
         { QuotaTrouble::cutOff, QuotaTrouble::split, QuotaTrouble::freeze, QuotaTrouble::killAll,
           QuotaTrouble::holderKill, QuotaTrouble::holderFreeze } ) {
        const auto load = hot( 9 );
        const std::vector<QuotaEvent> events{ { kind, 6000ms, 13000ms, 0.4 } };
        const auto got = playQuota( load, events, QuotaWay::holder, rule, 11 );
        INFO( "trouble " << static_cast<int>( kind ) );
        show( "holder in trouble", load, got );
        CHECK( got.worstWindow <= quotaBound( load, rule ) );
        CHECK( got.served > 0.4 * got.allowed );
    }
}

TEST_CASE( "For any troubles the sum in every window stays within the rule", "[replay][quota]" ) {
    CHECK( rc::check( [] {
        QuotaLoad load = hot( *rc::gen::element( 2.0, 9.0, 20.0 ) );
        load.perS = *rc::gen::element( 29000.0, 90000.0, 300000.0 );
        load.skew = *rc::gen::element( 1.0, 5.0, 20.0 );
        load.holders = *rc::gen::inRange( 2, 20 );
        load.length = 16000ms;
        std::vector<QuotaEvent> events;
        const int count = *rc::gen::inRange( 1, 4 );
        for( int n = 0; n < count; ++n ) {
            const Millis from{ *rc::gen::inRange( 2000, 12000 ) };
            const Millis length{ *rc::gen::inRange( 300, 8000 ) };
            const auto kind = static_cast<QuotaTrouble>( *rc::gen::inRange( 0, 6 ) );
            events.push_back( { kind, from, from + length, *rc::gen::inRange( 1, 11 ) * 0.1 } );
        }
        const auto seed = static_cast<std::uint64_t>( *rc::gen::inRange( 1, 100000 ) );
        const auto got = playQuota( load, events, QuotaWay::holder, rule, seed );
        RC_ASSERT( got.worstWindow <= quotaBound( load, rule ) );
    } ) );
}

TEST_CASE( "A gateway whose news are late is no stranger to its holder, and a stranger is told so",
           "[quota]" ) {
    const MonoTime now{ 1000s };
    QuotaHolder holder;
    holder.setRule( rule );
    QuotaUpdate news;
    news.gateway = "g1";
    news.rates = { { "o", 29000, 29000 } };
    holder.takeUpdate( news, now );
    QuotaRequest ask;
    ask.organisation = "o";
    ask.needed = 200;
    ask.preferred = 200;
    CHECK( holder.ask( "g1", ask, now + 900ms ).granted >= 200 );
    CHECK( holder.ask( "g1", ask, now + 1800ms ).granted >= 200 );
    // Too late to belong: no word on the limit, and then it belongs again.
    CHECK_FALSE( holder.ask( "g1", ask, now + 5s ).known );
    CHECK( holder.shareOf( "o", now + 5s ) == 1.0 );
    CHECK( holder.ask( "g1", ask, now + 5100ms ).granted >= 200 );
    CHECK_FALSE( holder.ask( "g2", ask, now + 5s ).known );
    ask.organisation = "other";
    CHECK_FALSE( holder.ask( "g1", ask, now + 5s ).known );
}

TEST_CASE( "A large fleet that starts anew is back as soon as its gateways reach the holders",
           "[replay][quota]" ) {
    QuotaLoad load;
    load.gateways = 115;
    load.holders = 185;
    load.connectOver = 3000ms;
    load.length = 16000ms;
    const auto got = playQuota( load, { { QuotaTrouble::killAll, 6000ms, 6100ms, 1 } },
                                QuotaWay::holder, rule, 5 );
    show( "all killed, 115 gateways and 185 holders", load, got );
    std::printf( "back after %lld ms\n", static_cast<long long>( got.back.count() ) );
    CHECK( got.worstWindow <= quotaBound( load, rule ) );
    CHECK( got.back <= load.connectOver + 500ms );
}

TEST_CASE( "A holder of one gateway among many tells a time by the whole limit", "[quota]" ) {
    const MonoTime now{ 1000s };
    QuotaHolder holder;
    holder.setRule( rule );
    QuotaUpdate news;
    news.gateway = "g1";
    news.gateways = 115;
    news.rates = { { "o", 29000, 29000 } };
    holder.takeUpdate( news, now );
    QuotaRequest ask;
    ask.organisation = "o";
    ask.needed = 9190;
    ask.preferred = 9190;
    // The first takes what there is, and a debt with it.
    holder.ask( "g1", ask, now + 10ms );
    const auto refused = holder.ask( "g1", ask, now + 20ms );
    CHECK( refused.known );
    CHECK( refused.granted == 0 );
    CHECK( refused.waitMs < 1000 );
}
