// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_limits.hpp"
#include "decide/limit_holder.hpp"
#include "decide/send_schedule.hpp"
#include "gateway/choice/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

constexpr MonoTime start{ 1000s };
const std::string name = "u1#7";

LimitStatement limitStatement( double perS, std::int64_t namedAgoMs = 0,
                               std::int64_t noneAgoMs = -1 ) {
    return { name, perS, namedAgoMs, noneAgoMs };
}

LimitUpdate limitUpdate( const std::string& gateway, int gateways,
                         const LimitStatement& statement ) {
    return { gateway, gateways, { statement } };
}

LimitVerdict askHolder( LimitHolder& holder, const std::string& gateway,
                        const LimitStatement& statement, MonoTime now ) {
    return holder.ask( gateway, { 1, statement }, now ).verdict;
}

} // namespace

TEST_CASE( "A turn comes once in a period and lasts a second, each gateway's at its own time",
           "[limit][turns]" ) {
    constexpr double perS = 0.1;
    SendSchedule early( 0 );
    SendSchedule late( 0.5 );
    CHECK( early.wait( perS, start ) == 0ms );
    CHECK( early.wait( perS, start + 999ms ) == 0ms );
    CHECK( early.wait( perS, start + 2s ) == 8000ms );
    CHECK( late.wait( perS, start ) == 5000ms );
    CHECK( late.wait( perS, start + 5s ) == 0ms );
    early.take( start + 100ms );
    CHECK( early.wait( perS, start + 200ms ) == 9800ms );
    CHECK( early.wait( perS, start + 10s ) == 0ms );
}

TEST_CASE( "Turns of less than a second are a pause between sends", "[limit][turns]" ) {
    SendSchedule sendSchedule( 0.3 );
    CHECK( sendSchedule.wait( 4, start ) == 0ms );
    sendSchedule.take( start );
    CHECK( sendSchedule.wait( 4, start + 100ms ) == 150ms );
    CHECK( sendSchedule.wait( 4, start + 250ms ) == 0ms );
}

TEST_CASE( "Turns of any rate come to an end", "[limit][turns]" ) {
    for( const double perS : { -1.0, 0.0, 1e-300, 1e-9, 1e9, 1e308 } ) {
        INFO( perS );
        SendSchedule sendSchedule( 0.999 );
        sendSchedule.take( start );
        const auto wait = sendSchedule.wait( perS, start );
        CHECK( wait >= 0ms );
        CHECK( wait <= 24h );
    }
}

TEST_CASE( "However many gateways take their turns, few come together", "[limit][turns]" ) {
    constexpr int gateways = 400;
    constexpr double limitPerS = 0.5;
    std::vector<SendSchedule> all;
    for( int n = 0; n < gateways; ++n ) {
        all.emplace_back( static_cast<double>( n ) / gateways );
    }
    // No gateway has sent for an hour: without turns of their own all would send at once.
    int sent = 0;
    for( auto now = start + 1h; now < start + 1h + 4s; now += 20ms ) {
        for( auto& it : all ) {
            if( it.wait( limitPerS / gateways, now ) == 0ms ) {
                it.take( now );
                ++sent;
            }
        }
    }
    CHECK( sent <= 4 );
    CHECK( sent >= 1 );
}

TEST_CASE( "A holder grants what a limit allows to all who ask together", "[limit]" ) {
    LimitHolder holder;
    constexpr int gateways = 5;
    for( int n = 0; n < gateways; ++n ) {
        holder.takeUpdate(
            limitUpdate( "g" + std::to_string( n ), gateways, limitStatement( 1.5 ) ), start );
    }
    int granted = 0;
    for( auto now = start; now < start + 20s; now += 50ms ) {
        for( int n = 0; n < gateways; ++n ) {
            const auto gateway = "g" + std::to_string( n );
            if( ( now - start ) % 400ms == 0ms ) {
                holder.takeUpdate( limitUpdate( gateway, gateways, limitStatement( 1.5 ) ), now );
            }
            granted +=
                askHolder( holder, gateway, limitStatement( 1.5 ), now ) == LimitVerdict::granted
                    ? 1
                    : 0;
        }
    }
    CHECK( granted <= 33 );
    CHECK( granted >= 29 );
}

TEST_CASE( "Gateways that hold to another process take their part of a limit along", "[limit]" ) {
    LimitHolder holder;
    int granted = 0;
    for( auto now = start; now < start + 20s; now += 50ms ) {
        if( ( now - start ) % 400ms == 0ms ) {
            holder.takeUpdate( limitUpdate( "g1", 4, limitStatement( 2 ) ), now );
        }
        granted +=
            askHolder( holder, "g1", limitStatement( 2 ), now ) == LimitVerdict::granted ? 1 : 0;
    }
    CHECK( granted <= 12 );
    CHECK( granted >= 8 );
}

TEST_CASE( "Without room a gateway is told when there may be some", "[limit]" ) {
    LimitHolder holder;
    holder.takeUpdate( limitUpdate( "g1", 1, limitStatement( 2 ) ), start );
    CHECK( askHolder( holder, "g1", limitStatement( 2 ), start ) == LimitVerdict::granted );
    CHECK( askHolder( holder, "g1", limitStatement( 2 ), start ) == LimitVerdict::granted );
    const auto answer = holder.ask( "g1", { 9, limitStatement( 2 ) }, start + 100ms );
    CHECK( answer.verdict == LimitVerdict::full );
    CHECK( answer.number == 9 );
    CHECK( answer.earliestWaitMs > 100 );
    CHECK( answer.earliestWaitMs <= 500 );
    CHECK( answer.waitMs >= answer.earliestWaitMs );
    CHECK( holder.ask( "g1", { 10, limitStatement( 2 ) }, start + 100ms ).waitMs > answer.waitMs );
    holder.acceptReturn( { name }, start + 100ms );
    CHECK( askHolder( holder, "g1", limitStatement( 2 ), start + 100ms ) == LimitVerdict::granted );
}

TEST_CASE( "A gateway that has told a holder nothing is not counted there", "[limit]" ) {
    LimitHolder holder;
    CHECK( askHolder( holder, "g1", limitStatement( 2 ), start ) == LimitVerdict::unknown );
    holder.takeUpdate( limitUpdate( "g1", 1, limitStatement( 2 ) ), start );
    CHECK( askHolder( holder, "g2", limitStatement( 2 ), start ) == LimitVerdict::unknown );
}

TEST_CASE( "The word that is newest decides, whoever brings it", "[limit]" ) {
    LimitHolder holder;
    holder.takeUpdate( limitUpdate( "g1", 2, limitStatement( 2, 300 ) ), start );
    REQUIRE( holder.takeChanges( start ).size() == 1 );
    // The request whose answer names no limit was sent (500 ms ago) before the limit was last named
    // (300 ms ago).
    holder.takeUpdate( limitUpdate( "g2", 2, limitStatement( 2, 900, 500 ) ), start );
    CHECK( holder.takeChanges( start ).empty() );
    CHECK( askHolder( holder, "g1", limitStatement( 2, 300 ), start ) != LimitVerdict::ended );
    holder.takeUpdate( limitUpdate( "g2", 2, limitStatement( 2, 900, 200 ) ), start );
    const auto changes = holder.takeChanges( start );
    REQUIRE( changes.size() == 1 );
    CHECK( changes[0].noneAgoMs < changes[0].namedAgoMs );
    CHECK( askHolder( holder, "g1", limitStatement( 2, 300 ), start ) == LimitVerdict::ended );
    holder.takeUpdate( limitUpdate( "g1", 2, limitStatement( 0.5, 0 ) ), start + 1s );
    const auto again = holder.takeChanges( start + 1s );
    REQUIRE( again.size() == 1 );
    CHECK( again[0].perS == 0.5 );
}

TEST_CASE( "A limit of nothing lets a request through now and then, or its end would not be heard",
           "[limit]" ) {
    LimitHolder holder;
    int granted = 0;
    for( auto now = start; now < start + 40s; now += 100ms ) {
        holder.takeUpdate( limitUpdate( "g1", 1, limitStatement( 0 ) ), now );
        granted +=
            askHolder( holder, "g1", limitStatement( 0 ), now ) == LimitVerdict::granted ? 1 : 0;
    }
    CHECK( granted >= 8 );
    CHECK( granted <= 12 );
}

TEST_CASE( "A limit that nobody speaks of is forgotten", "[limit]" ) {
    LimitHolder holder;
    holder.takeUpdate( limitUpdate( "g1", 1, limitStatement( 2 ) ), start );
    CHECK( holder.size() == 1 );
    holder.takeUpdate( { "g1", 1, {} }, start + 61s );
    CHECK( holder.size() == 0 );
}

TEST_CASE( "Whatever others say of a limit, a holder answers", "[limit]" ) {
    const bool holds = rc::check(
        []( double perS, std::int64_t namedAgoMs, std::int64_t noneAgoMs, int gateways ) {
            LimitHolder holder;
            const LimitStatement statement{ name, perS, namedAgoMs, noneAgoMs };
            holder.takeUpdate( { "g1", gateways, { statement } }, start );
            const auto answer = holder.ask( "g1", { 1, statement }, start );
            RC_ASSERT( answer.verdict != LimitVerdict::unknown );
            holder.takeChanges( start );
        } );
    CHECK( holds );
}

TEST_CASE( "Without a holder a gateway keeps to its own turns", "[limit]" ) {
    LimitState state;
    state.sendSchedule = SendSchedule( 0 );
    state.known.noteNamed( 1, start );
    const auto first = applyLimitAnswer( state, std::nullopt, 10, start, start );
    CHECK( first.outcome == LimitOutcome::ownTurn );
    CHECK( state.fullLeft( start ) == 0ms );
    const auto second = applyLimitAnswer( state, std::nullopt, 10, start, start + 100ms );
    CHECK( second.outcome == LimitOutcome::noTurn );
    CHECK( second.wait > 0ms );
    CHECK( state.fullLeft( start + 100ms ) == second.wait );
    state.known.noteNone( start + 200ms, start + 200ms );
    CHECK( state.fullLeft( start + 200ms ) == 0ms );
}

TEST_CASE( "What a holder says is followed", "[limit]" ) {
    LimitState state;
    state.known.noteNamed( 1, start );
    const auto applyAnswer = [&]( LimitVerdict verdict, std::int64_t waitMs ) {
        return applyLimitAnswer( state, LimitAnswer{ 1, verdict, waitMs, waitMs }, 10, start,
                                 start );
    };
    CHECK( applyAnswer( LimitVerdict::granted, 0 ).maySend() );
    const auto full = applyAnswer( LimitVerdict::full, 700 );
    CHECK_FALSE( full.maySend() );
    CHECK( full.wait == 700ms );
    CHECK( state.fullLeft( start ) == 700ms );
    CHECK( applyAnswer( LimitVerdict::full, 90000 ).wait == 2000ms );
    CHECK( applyLimitAnswer( state, LimitAnswer{ 1, LimitVerdict::ended, 0, 0 }, 10, start + 1s,
                             start + 1s )
               .maySend() );
    CHECK_FALSE( state.known.perS() );
}

namespace {

//! Two engines, one of which has the requested model in memory.
struct TwoEngines {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    gateway::Fleet fleet{ context, random, gateway::FleetSettings{ "vm", "hall", 1, 5000ms } };

    TwoEngines() {
        gateway::EngineSpec engine;
        engine.slots = 8;
        engine.cacheTokens = 100000;
        engine.weightsMb = 100;
        gateway::ModelSpec model;
        model.name = "m1";
        model.weightsMb = 10;
        model.storeLoad = 4000ms;
        model.diskLoad = 1200ms;
        engine.models.push_back( model );
        gateway::Configuration configuration;
        configuration.version = 1;
        gateway::Service service;
        service.name = "s";
        service.engine = std::make_shared<gateway::EngineSpec>( engine );
        configuration.services.emplace( "s", service );
        fleet.setConfiguration( std::make_shared<gateway::RouteTable>( configuration ), start );
        std::map<std::string, gateway::Member> members;
        for( const auto* id : { "holds", "empty" } ) {
            gateway::Upstream it;
            it.id = id;
            it.service = "s";
            it.ip = "127.0.0.1";
            it.port = 9;
            it.hall = "hall";
            it.slots = 8;
            if( it.id == "holds" ) {
                it.residents.push_back( { "m1", {} } );
            }
            members.emplace( it.id, gateway::Member{ it, false } );
        }
        fleet.sync( members, start );
    }

    gateway::Choice choose( MonoTime now ) {
        gateway::Generation generation;
        generation.model = "m1";
        generation.promptTokens = 100;
        gateway::RequestNeeds needs;
        needs.service = "s";
        needs.generation = &generation;
        return fleet.choose( needs, {}, now );
    }
    gateway::Node& engineWithModel() { return *fleet.nodes().at( "holds" ); }
};

} // namespace

TEST_CASE( "What a limit leaves no room for goes where its model has to be loaded first",
           "[limit][gateway]" ) {
    TwoEngines f;
    REQUIRE( f.choose( start ).node );
    CHECK( f.choose( start ).node->upstream.id == "holds" );
    f.engineWithModel().limit.known.noteNamed( 1, start );
    CHECK( f.choose( start ).node->upstream.id == "holds" );
    f.engineWithModel().limit.fullUntil = start + 100ms;
    const auto choice = f.choose( start );
    REQUIRE( choice.node );
    CHECK( choice.node->upstream.id == "empty" );
    CHECK( f.choose( start + 100ms ).node->upstream.id == "holds" );
}

TEST_CASE( "A back-off that ends before a load elsewhere would is waited out by the client",
           "[limit][gateway][announcement]" ) {
    TwoEngines f;
    Announcement announcement;
    announcement.backoff = 500ms;
    f.engineWithModel().takeAnnouncement( announcement, 1, start );
    const auto choice = f.choose( start );
    CHECK_FALSE( choice.node );
    CHECK( choice.unavailableFor == 500ms );
    CHECK_FALSE( choice.atLimit );
}

TEST_CASE( "With no other upstream left a request is told when the limit has room",
           "[limit][gateway]" ) {
    TwoEngines f;
    f.fleet.nodes().at( "empty" )->gone = true;
    f.engineWithModel().limit.known.noteNamed( 1, start );
    f.engineWithModel().limit.fullUntil = start + 100ms;
    f.engineWithModel().limit.retryAt = start + 700ms;
    const auto choice = f.choose( start );
    CHECK_FALSE( choice.node );
    CHECK( choice.atLimit );
    CHECK( choice.unavailableFor == 700ms );
}
