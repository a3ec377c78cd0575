// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/loop.hpp"
#include "coursehead/peer/messages.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using fleet::Fleet;

namespace {

//! Two services and an entry; requests go to both.
struct Tills {
    Fleet fleet;

    Tills() {
        for( const char* n : { "1", "2" } ) {
            auto& service = fleet.service( std::string( "s" ) + n );
            fleet.agent( std::string( "a" ) + n, service.url, {}, "service" );
        }
        fleet.entry( "entry" );
        fleet.waitForAgents( entry(), 2 );
        Fleet::require( entry(), "create service balance" );
    }
    fleet::Node& entry() { return fleet.node( "entry" ); }

    void ask( int count ) {
        for( int n = 0; n < count; ++n ) {
            const auto got = fleet::call( entry().url, "GET", "/services/balance/1" );
            CHECK( got.response.status == 200 );
        }
    }
    std::uint64_t runs( const std::string& service ) {
        return Fleet::get( fleet.node( service ).url, "/runs" ).value( "none", std::uint64_t{ 0 } );
    }
};

//! A runner with a long answer in progress.
struct LongAnswer {
    Fleet fleet;
    fleet::Streamed answer;
    std::atomic<bool> begun{ false };
    std::jthread caller;

    LongAnswer() {
        for( const char* n : { "1", "2" } ) {
            auto& engine = fleet.engine( std::string( "e" ) + n, { "--token-ms=10" } );
            fleet.agent( std::string( "a" ) + n, engine.url );
        }
        fleet.entry( "entry" );
        fleet.waitForAgents( entry(), 2 );
        Fleet::require( entry(), fleet::usualConfig() );
        Fleet::waitForOrders( entry(), 2 );
        caller = std::jthread( [this] {
            answer = fleet::streamCall( entry().url, fleet::chatBody( "m", "long", 150 ), {},
                                        [this]( const auto& soFar ) {
                                            begun = begun || soFar.text.size() > 50;
                                            return true;
                                        } );
        } );
        fleet::waitUntil( "text", [this] { return begun.load(); } );
    }
    fleet::Node& entry() { return fleet.node( "entry" ); }

    //! The agent that serves the answer.
    std::string server() {
        for( const char* n : { "1", "2" } ) {
            const auto status = Fleet::get( fleet.node( std::string( "e" ) + n ).url, "/status" );
            if( status["running"] == 1 ) {
                return std::string( "a" ) + n;
            }
        }
        return "";
    }
    void checkWhole() {
        caller.join();
        CHECK( answer.done );
        CHECK( answer.text == fleet::expectedText( "m", "long", 150 ) );
    }
};

} // namespace

TEST_CASE( "A leaving VM gets no new work, with the list lagging 30 s and the entry's view stale",
           "[promise][leaving][process]" ) {
    Tills tills;
    tills.ask( 10 );
    REQUIRE( tills.runs( "s1" ) > 0 );
    Fleet::setFaults( tills.fleet.store(), { { "list_lag_ms", 30000 } } );
    const auto port = tills.fleet.node( "a1" ).port;
    tills.fleet.listVm( "a1", "service", port, "leaving" );
    fleet::waitUntil(
        "the agent's own word",
        [&] {
            return tills.fleet.node( "a1" ).process->output().find( "event=drain_begins" ) !=
                   std::string::npos;
        },
        3 );
    // The agent itself refuses from here on, whatever the entry believes.
    const auto before = tills.runs( "s1" );
    tills.ask( 30 );
    CHECK( tills.runs( "s1" ) == before );
    CHECK( tills.runs( "s2" ) >= 30 );
}

TEST_CASE( "A planned stop of an agent cuts no answer in progress",
           "[promise][leaving][process]" ) {
    LongAnswer desk;
    const auto vm = desk.server();
    REQUIRE_FALSE( vm.empty() );
    desk.fleet.node( vm ).process->signal( SIGTERM );
    fleet::waitUntil( "the drain", [&] {
        return desk.fleet.node( vm ).process->output().find( "event=drain_begins" ) !=
               std::string::npos;
    } );
    // New work goes to the other one meanwhile.
    fleet::waitUntil( "another answer", [&] {
        return fleet::streamCall( desk.entry().url, fleet::chatBody( "m", "new", 4 ) ).done;
    } );
    desk.checkWhole();
    CHECK( desk.fleet.node( vm ).process->wait( 20 ) == 0 );
    // It ended here, not by going on elsewhere.
    CHECK( desk.fleet.node( vm ).process->output().find( "event=drain_ends left=0" ) !=
           std::string::npos );
    CHECK( Fleet::get( desk.fleet.node( "e" + vm.substr( 1 ) ).url, "/status" )["generations"] ==
           1 );
}

TEST_CASE( "A planned stop of an entry cuts no answer in progress",
           "[promise][leaving][process]" ) {
    LongAnswer desk;
    desk.entry().process->signal( SIGTERM );
    fleet::waitUntil( "refusals", [&] {
        const auto got = fleet::streamCall( desk.entry().url, fleet::chatBody( "m", "x", 4 ) );
        return got.status == 503 && got.error["code"] == "draining" &&
               got.error["outcome"] == "not-run" && got.error["retry_after_ms"] > 0;
    } );
    CHECK( fleet::call( desk.entry().url, "GET", "/readyz" ).response.status == 503 );
    desk.checkWhole();
    CHECK( desk.entry().process->wait( 20 ) == 0 );
}

TEST_CASE( "An upstream VM that is leaving keeps its long answer to the end",
           "[promise][leaving][process]" ) {
    LongAnswer desk;
    const auto vm = desk.server();
    desk.fleet.listVm( vm, "runner", desk.fleet.node( vm ).port, "leaving" );
    fleet::waitUntil( "the drain", [&] {
        return desk.fleet.node( vm ).process->output().find( "event=drain_begins" ) !=
               std::string::npos;
    } );
    desk.checkWhole();
}

TEST_CASE( "A leaving agent refuses an entry that has not heard of it",
           "[promise][leaving][process]" ) {
    using namespace coursehead;
    Tills tills;
    const auto& agent = tills.fleet.node( "a1" );
    const auto log = agent.process->output();
    const std::string mark = "incarnation=";
    const auto incarnation = log.substr( log.find( mark ) + mark.size(), 16 );
    // An entry of our own, whose view of the agent is as old as can be.
    peer::LoopSettings settings;
    settings.token = "test-token";
    peer::Loop loop( settings, []( const auto&, const auto& ) {} );
    loop.start();
    const auto link = loop.connect( "127.0.0.1", agent.port );
    fleet::waitUntil( "the connection", [&] { return loop.isUp( link ); } );
    const auto limit = MonoClock::now() + std::chrono::seconds( 10 );
    const auto ask = [&]( const std::string& id ) {
        peer::RunRequest request;
        request.requestId = id;
        request.attempt = 1;
        request.incarnation = incarnation;
        request.target = { peer::TargetKind::service, "balance", "" };
        request.deadlineMs = 5000;
        request.patienceMs = 500;
        request.method = "GET";
        request.path = "/1";
        const auto stream = loop.open( link, peer::runPath );
        REQUIRE( stream );
        stream->send( encode( request ), limit );
        stream->finish();
        return peer::decode( stream->receive( limit ).frame ).message;
    };
    CHECK( std::holds_alternative<peer::RunAccepted>( ask( "before" ) ) );
    tills.fleet.listVm( "a1", "service", agent.port, "leaving" );
    fleet::waitUntil( "the drain", [&] {
        return agent.process->output().find( "event=drain_begins" ) != std::string::npos;
    } );
    fleet::waitUntil( "the first one's run", [&] { return tills.runs( "s1" ) >= 1; } );
    const auto runs = tills.runs( "s1" );
    const auto answer = ask( "after" );
    REQUIRE( std::holds_alternative<peer::RunRefused>( answer ) );
    CHECK( std::get<peer::RunRefused>( answer ).reason == "draining" );
    CHECK( tills.runs( "s1" ) == runs );
}
