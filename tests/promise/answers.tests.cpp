// SPDX-License-Identifier: BSL-1.0
#include "standin/answer.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using fleet::Fleet;

namespace {

constexpr int longAnswer = 120;

//! Two runners and two entries; the model is resident on one runner, chosen by the first request.
struct AnswerSetup {
    Fleet fleet;

    explicit AnswerSetup( int runners = 2, const fleet::Args& agentOptions = {},
                          bool salted = false ) {
        for( int n = 1; n <= runners; ++n ) {
            const auto name = std::to_string( n );
            // A salt makes the answers differ between engines, as sampling would.
            fleet.engine( "e" + name,
                          { "--token-ms=8", "--salt=" + ( salted ? name : std::string() ) } );
            fleet.agent( "a" + name, fleet.node( "e" + name ).url, agentOptions );
        }
        fleet.entry( "entry1" );
        fleet.entry( "entry2" );
        for( auto* it : { &entry1(), &entry2() } ) {
            fleet.waitForAgents( *it, static_cast<std::size_t>( runners ) );
        }
        Fleet::require( entry1(), fleet::defaultConfig() );
        for( auto* it : { &entry1(), &entry2() } ) {
            Fleet::waitForOrders( *it, static_cast<std::size_t>( runners ) );
        }
    }

    fleet::Node& entry1() { return fleet.node( "entry1" ); }
    fleet::Node& entry2() { return fleet.node( "entry2" ); }
    fleet::Node& engineOf( const std::string& agent ) {
        return fleet.node( "e" + agent.substr( 1 ) );
    }

    void setEngineFaults( const fleet::Json& faults ) {
        for( const char* it : { "e1", "e2" } ) {
            Fleet::setFaults( fleet.node( it ), faults );
        }
    }
};

//! The VM named in the id of a session or an event.
std::string vmOf( const std::string& id ) {
    const auto from = id.find( '~' ) + 1;
    return id.substr( from, id.find( ':' ) - from );
}

//! Requests a long answer and calls `whileStreaming` once, with the VM that serves the answer,
//! after more than 100 bytes of text.
fleet::Streamed
streamLongAnswer( AnswerSetup& setup,
                  const std::function<void( const std::string& vm )>& whileStreaming ) {
    bool called = false;
    return fleet::streamCall( setup.entry1().url, fleet::chatBody( "m", "long", longAnswer ), {},
                              [&]( const fleet::Streamed& soFar ) {
                                  if( !called && soFar.text.size() > 100 ) {
                                      called = true;
                                      whileStreaming( vmOf( soFar.lastId ) );
                                  }
                                  return true;
                              } );
}

void checkComplete( const fleet::Streamed& got ) {
    INFO( got.error.dump() );
    CHECK( got.done );
    CHECK( got.text == fleet::expectedText( "m", "long", longAnswer ) );
}

} // namespace

TEST_CASE( "Each of many concurrent callers gets its own whole answer",
           "[promise][answers][process]" ) {
    AnswerSetup setup( 2, { "--max-running", "64" } );
    std::vector<std::jthread> callers;
    std::mutex mutex;
    int complete = 0;
    std::string problems;
    constexpr int count = 60;
    for( int n = 0; n < count; ++n ) {
        callers.emplace_back( [&, n] {
            const auto prompt = "question " + std::to_string( n );
            const auto& entry = n % 2 == 0 ? setup.entry1() : setup.entry2();
            const auto got = fleet::streamCall( entry.url, fleet::chatBody( "m", prompt, 20 ) );
            const bool correct = got.done && got.text == fleet::expectedText( "m", prompt, 20 );
            const std::lock_guard lock( mutex );
            complete += correct ? 1 : 0;
            problems += correct ? "" : got.error.dump() + "\n";
        } );
    }
    callers.clear();
    INFO( problems );
    CHECK( complete == count );
}

TEST_CASE( "A crossed or cut engine answer reaches the caller whole all the same",
           "[promise][answers][process]" ) {
    AnswerSetup setup;
    SECTION( "events of another request in between" ) {
        setup.setEngineFaults( { { "cross_events", 1 } } );
    }
    SECTION( "the stream cut after a few tokens" ) {
        setup.setEngineFaults( { { "cut_streams", 1 }, { "cut_after", 5 } } );
    }
    checkComplete( streamLongAnswer( setup, []( const auto& ) {} ) );
}

TEST_CASE( "An engine that falls silent is left for another", "[promise][answers][process]" ) {
    AnswerSetup setup( 2, { "--engine-silence-ms", "400" } );
    setup.setEngineFaults( { { "freeze_streams", 1 }, { "cut_after", 5 }, { "freeze_ms", 2000 } } );
    checkComplete( streamLongAnswer( setup, []( const auto& ) {} ) );
}

TEST_CASE( "An engine or agent lost in the middle of an answer is replaced by another copy",
           "[promise][answers][process]" ) {
    AnswerSetup setup( 2, {}, true );
    const auto checkContinued = []( const fleet::Streamed& got ) {
        INFO( got.error.dump() );
        CHECK( got.done );
        CHECK( got.text.size() == fleet::expectedText( "m", "long", longAnswer ).size() );
        CHECK( standin::isComplete( got.text ) );
    };
    SECTION( "the engine is killed" ) {
        checkContinued( streamLongAnswer(
            setup, [&]( const auto& vm ) { setup.engineOf( vm ).process->kill(); } ) );
    }
    SECTION( "the agent is killed" ) {
        checkContinued( streamLongAnswer(
            setup, [&]( const auto& vm ) { setup.fleet.node( vm ).process->kill(); } ) );
    }
    SECTION( "the agent is frozen" ) {
        checkContinued( streamLongAnswer(
            setup, [&]( const auto& vm ) { setup.fleet.node( vm ).process->signal( SIGSTOP ); } ) );
    }
}

TEST_CASE( "With no copy left the stream ends with a clear error, never silently short",
           "[promise][answers][process]" ) {
    AnswerSetup setup( 1 );
    const auto got =
        streamLongAnswer( setup, [&]( const auto& vm ) { setup.engineOf( vm ).process->kill(); } );
    CHECK_FALSE( got.done );
    REQUIRE( got.error.is_object() );
    CHECK( got.error["outcome"] == "unknown" );
    CHECK( got.error.contains( "retry_after_ms" ) );
    CHECK( fleet::expectedText( "m", "long", longAnswer ).rfind( got.text, 0 ) == 0 );
}

TEST_CASE( "A caller whose entry is lost resumes at another, byte for byte",
           "[promise][answers][process]" ) {
    AnswerSetup setup;
    const auto first =
        streamLongAnswer( setup, [&]( const auto& ) { setup.entry1().process->kill(); } );
    REQUIRE_FALSE( first.done );
    const auto session = first.lastId.substr( 0, first.lastId.rfind( ':' ) );
    const auto resumed = fleet::resumeCall( setup.entry2().url, session, first.lastId );
    CHECK( resumed.status == 200 );
    CHECK( resumed.done );
    // The last event may be cut off after its id, so the id gives the position, as for a real
    // caller.
    const auto receivedBytes = std::stoul( first.lastId.substr( first.lastId.rfind( ':' ) + 1 ) );
    CHECK( first.text.substr( 0, receivedBytes ) + resumed.text ==
           fleet::expectedText( "m", "long", longAnswer ) );
}

TEST_CASE( "A caller that goes away ends the work at the engine", "[promise][answers][process]" ) {
    AnswerSetup setup( 1, { "--orphan-patience-ms", "100" } );
    fleet::streamCall( setup.entry1().url, fleet::chatBody( "m", "long", 2000 ), {},
                       []( const auto& soFar ) { return soFar.text.size() < 100; } );
    fleet::waitUntil( "the engine to be free", [&] {
        return Fleet::get( setup.fleet.node( "e1" ).url, "/status" )["running"] == 0;
    } );
    CHECK( Fleet::get( setup.fleet.node( "e1" ).url, "/status" )["cancelled"] == 1 );
}

TEST_CASE( "A session that is not known is refused, not answered by another",
           "[promise][answers][process]" ) {
    AnswerSetup setup( 1 );
    const auto got = fleet::resumeCall( setup.entry1().url, "nobody~a1", "nobody~a1:5" );
    CHECK( got.status == 404 );
    CHECK( got.text.empty() );
}

TEST_CASE( "A keyed model request is generated once, and a retry gets the same text",
           "[promise][answers][once][process]" ) {
    AnswerSetup setup( 1 );
    setup.fleet.waitForSlots( setup.entry1() );
    const auto key = Fleet::key();
    const coursehead::http::Headers headers{ { "Idempotency-Key", key } };
    const auto one =
        fleet::streamCall( setup.entry1().url, fleet::chatBody( "m", "draft", 20 ), headers );
    const auto two =
        fleet::streamCall( setup.entry1().url, fleet::chatBody( "m", "draft", 20 ), headers );
    CHECK( one.text == fleet::expectedText( "m", "draft", 20 ) );
    CHECK( two.text == one.text );
    CHECK( two.done );
    CHECK( Fleet::get( setup.fleet.node( "e1" ).url, "/status" )["generations"] == 1 );
    const auto other =
        fleet::streamCall( setup.entry1().url, fleet::chatBody( "m", "other", 20 ), headers );
    CHECK( other.status == 422 );
}
