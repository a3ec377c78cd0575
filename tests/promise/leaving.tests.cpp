// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/loop.hpp"
#include "coursehead/peer/messages.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using fleet::Fleet;

namespace {

//! An entry and two services with an agent each; the entry sends requests to both.
struct ServiceSetup {
    Fleet fleet;

    ServiceSetup() {
        for( const char* n : { "1", "2" } ) {
            auto& service = fleet.service( std::string( "s" ) + n );
            fleet.agent( std::string( "a" ) + n, service.url, {}, "service" );
        }
        fleet.entry( "entry" );
        fleet.waitForAgents( entry(), 2 );
        Fleet::require( entry(), "create service balance" );
    }
    fleet::Node& entry() { return fleet.node( "entry" ); }

    void sendRequests( int count ) {
        for( int n = 0; n < count; ++n ) {
            const auto got = fleet::call( entry().url, "GET", "/services/balance/1" );
            CHECK( got.response.status == 200 );
        }
    }
    std::uint64_t runs( const std::string& service ) {
        return Fleet::get( fleet.node( service ).url, "/runs" ).value( "none", std::uint64_t{ 0 } );
    }
};

//! An entry and two runners, one of them with a long answer in progress.
struct LongAnswerSetup {
    Fleet fleet;
    fleet::Streamed answer;
    std::atomic<bool> started{ false };
    std::jthread caller;

    LongAnswerSetup() {
        for( const char* n : { "1", "2" } ) {
            auto& engine = fleet.engine( std::string( "e" ) + n, { "--token-ms=10" } );
            fleet.agent( std::string( "a" ) + n, engine.url );
        }
        fleet.entry( "entry" );
        fleet.waitForAgents( entry(), 2 );
        Fleet::require( entry(), fleet::defaultConfig() );
        Fleet::waitForOrders( entry(), 2 );
        caller = std::jthread( [this] {
            answer = fleet::streamCall( entry().url, fleet::chatBody( "m", "long", 150 ), {},
                                        [this]( const auto& soFar ) {
                                            started = started || soFar.text.size() > 50;
                                            return true;
                                        } );
        } );
        fleet::waitUntil( "text", [this] { return started.load(); } );
    }
    fleet::Node& entry() { return fleet.node( "entry" ); }

    //! The agent that serves the answer, or an empty string.
    std::string servingAgent() {
        for( const char* n : { "1", "2" } ) {
            const auto status = Fleet::get( fleet.node( std::string( "e" ) + n ).url, "/status" );
            if( status["running"] == 1 ) {
                return std::string( "a" ) + n;
            }
        }
        return "";
    }
    void checkComplete() {
        caller.join();
        CHECK( answer.done );
        CHECK( answer.text == fleet::expectedText( "m", "long", 150 ) );
    }
};

} // namespace

TEST_CASE( "A leaving VM gets no new work, with the list lagging 30 s and the entry's view stale",
           "[promise][leaving][process]" ) {
    ServiceSetup setup;
    setup.sendRequests( 10 );
    REQUIRE( setup.runs( "s1" ) > 0 );
    Fleet::setFaults( setup.fleet.store(), { { "list_lag_ms", 30000 } } );
    const auto port = setup.fleet.node( "a1" ).port;
    setup.fleet.listVm( "a1", "service", port, "leaving" );
    fleet::waitUntil(
        "the agent to start its drain",
        [&] {
            return setup.fleet.node( "a1" ).process->output().find( "event=drain_begins" ) !=
                   std::string::npos;
        },
        3 );
    // The agent refuses requests from here on, even when the entry's view is stale.
    const auto before = setup.runs( "s1" );
    setup.sendRequests( 30 );
    CHECK( setup.runs( "s1" ) == before );
    CHECK( setup.runs( "s2" ) >= 30 );
}

TEST_CASE( "A planned stop of an agent cuts no answer in progress",
           "[promise][leaving][process]" ) {
    LongAnswerSetup setup;
    const auto vm = setup.servingAgent();
    REQUIRE_FALSE( vm.empty() );
    setup.fleet.node( vm ).process->signal( SIGTERM );
    fleet::waitUntil( "the drain", [&] {
        return setup.fleet.node( vm ).process->output().find( "event=drain_begins" ) !=
               std::string::npos;
    } );
    // New requests go to the other agent meanwhile.
    fleet::waitUntil( "another answer", [&] {
        return fleet::streamCall( setup.entry().url, fleet::chatBody( "m", "new", 4 ) ).done;
    } );
    setup.checkComplete();
    CHECK( setup.fleet.node( vm ).process->wait( 20 ) == 0 );
    // The answer was completed by this agent and not continued by the other.
    CHECK( setup.fleet.node( vm ).process->output().find( "event=drain_ends left=0" ) !=
           std::string::npos );
    CHECK( Fleet::get( setup.fleet.node( "e" + vm.substr( 1 ) ).url, "/status" )["generations"] ==
           1 );
}

TEST_CASE( "A planned stop of an entry cuts no answer in progress",
           "[promise][leaving][process]" ) {
    LongAnswerSetup setup;
    setup.entry().process->signal( SIGTERM );
    fleet::waitUntil( "refusals", [&] {
        const auto got = fleet::streamCall( setup.entry().url, fleet::chatBody( "m", "x", 4 ) );
        return got.status == 503 && got.error["code"] == "draining" &&
               got.error["outcome"] == "not-run" && got.error["retry_after_ms"] > 0;
    } );
    CHECK( fleet::call( setup.entry().url, "GET", "/readyz" ).response.status == 503 );
    setup.checkComplete();
    CHECK( setup.entry().process->wait( 20 ) == 0 );
}

TEST_CASE( "An upstream VM that is leaving keeps its long answer to the end",
           "[promise][leaving][process]" ) {
    LongAnswerSetup setup;
    const auto vm = setup.servingAgent();
    setup.fleet.listVm( vm, "runner", setup.fleet.node( vm ).port, "leaving" );
    fleet::waitUntil( "the drain", [&] {
        return setup.fleet.node( vm ).process->output().find( "event=drain_begins" ) !=
               std::string::npos;
    } );
    setup.checkComplete();
}

TEST_CASE( "A leaving agent refuses an entry that has not heard of it",
           "[promise][leaving][process]" ) {
    using namespace coursehead;
    ServiceSetup setup;
    const auto& agent = setup.fleet.node( "a1" );
    const auto log = agent.process->output();
    const std::string mark = "incarnation=";
    const auto incarnation = log.substr( log.find( mark ) + mark.size(), 16 );
    // The test acts as an entry that has not learned that the agent is leaving.
    peer::LoopSettings settings;
    settings.token = "test-token";
    peer::Loop loop( settings, []( const auto&, const auto& ) {} );
    loop.start();
    const auto link = loop.connect( "127.0.0.1", agent.port );
    fleet::waitUntil( "the connection", [&] { return loop.isUp( link ); } );
    const auto limit = MonoClock::now() + std::chrono::seconds( 10 );
    const auto sendRun = [&]( const std::string& id ) {
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
    CHECK( std::holds_alternative<peer::RunAccepted>( sendRun( "before" ) ) );
    setup.fleet.listVm( "a1", "service", agent.port, "leaving" );
    fleet::waitUntil( "the drain", [&] {
        return agent.process->output().find( "event=drain_begins" ) != std::string::npos;
    } );
    fleet::waitUntil( "the run of the first request", [&] { return setup.runs( "s1" ) >= 1; } );
    const auto runs = setup.runs( "s1" );
    const auto answer = sendRun( "after" );
    REQUIRE( std::holds_alternative<peer::RunRefused>( answer ) );
    CHECK( std::get<peer::RunRefused>( answer ).reason == "draining" );
    CHECK( setup.runs( "s1" ) == runs );
}
