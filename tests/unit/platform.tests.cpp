// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/signals.hpp"
#include "kernel/platform_role.hpp"
#include "platform/headers.hpp"
#include "platform/node_settings.hpp"
#include "platform/store_wire.hpp"
#include "platform/wire.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace coursehead;
using namespace std::chrono_literals;

namespace {

constexpr const char* goodSettings = R"({
  "nodeName": "front-1", "zone": "hall-a", "ip": "127.0.0.1",
  "listen": {"front": "127.0.0.1:8149", "ready": "127.0.0.1:8141"},
  "internalPorts": [7380, 7395], "unknownField": [1, 2],
  "bounds": {"graceS": 8, "drainMs": 2500, "budgetRatio": 0.2, "ceilingWindowS": 5},
  "platform": {"address": "127.0.0.1:8142", "readsPerS": 2000}
})";

constexpr const char* configuration = R"({"version": 7,
  "routes": [
    {"name": "r1", "host": "A.example", "pathPrefix": "/x/", "kind": "streaming", "timeoutMs": 5000,
     "goalMs": 800, "priority": 1, "attempts": 2, "resumable": true, "gapTargetMs": 400,
     "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]},
    {"name": "r2", "host": "a.example", "pathPrefix": "/x/y/", "kind": "unsafe", "timeoutMs": 1000,
     "service": "s2"}],
  "services": [
    {"name": "s1", "connectionLimit": 360, "engine": {"slots": 64, "cacheTokens": 1000,
     "weightsMb": 220000, "adapterSlots": 8, "loadsPerS": 2.1,
     "models": [{"name": "m1", "weightsMb": 65100, "loadS": 3.8, "diskS": 0.76, "warmS": 0.38,
                 "adapters": 3, "adapterMb": 12}]}},
    {"name": "s2", "connectionLimit": 100}],
  "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}})";

platform::http::fields withField( std::string_view name, std::string_view value ) {
    platform::http::fields out;
    out.set( name, value );
    return out;
}

} // namespace

TEST_CASE( "A SIGHUP before a role handles signals waits for it", "[platform]" ) {
    const auto path = "/tmp/coursehead-role-" + std::to_string( ::getpid() ) + ".json";
    std::ofstream( path ) << goodSettings;
    const char* const before = std::getenv( "COURSEHEAD_NODE_FILE" );
    ::setenv( "COURSEHEAD_NODE_FILE", path.c_str(), 1 );
    const auto previous = std::signal( SIGHUP, SIG_DFL );
    const auto run = []( const platform::NodeSettings& ) {
        ::raise( SIGHUP ); // ends the process unless it is held back
        sigset_t waiting;
        ::sigpending( &waiting );
        return sigismember( &waiting, SIGHUP ) == 1 ? 0 : 1;
    };
    CHECK( daemon::runPlatformRole( "gateway", {}, run ) == 0 );
    std::signal( SIGHUP, SIG_IGN ); // discards the one that waits
    allowReloadSignal();
    std::signal( SIGHUP, previous );
    if( before == nullptr ) {
        ::unsetenv( "COURSEHEAD_NODE_FILE" );
    } else {
        ::setenv( "COURSEHEAD_NODE_FILE", before, 1 );
    }
    std::remove( path.c_str() );
}

TEST_CASE( "A settings file is read, and fields it does not know are passed over",
           "[platform][settings]" ) {
    const auto parsed = platform::parseNodeSettings( goodSettings );
    REQUIRE( parsed.problems.empty() );
    CHECK( parsed.settings.vm == "front-1" );
    CHECK( parsed.settings.clientEndpoint.port == 8149 );
    CHECK( parsed.settings.lastPort == 7395 );
    CHECK( parsed.settings.bounds.grace == 8000ms );
    CHECK( parsed.settings.bounds.drain == 2500ms );
    CHECK_FALSE( parsed.settings.engine.valid() );
}

TEST_CASE( "Every bad field of a settings file is named with its value", "[platform][settings]" ) {
    auto json = nlohmann::json::parse( goodSettings );
    json["internalPorts"] = { 9, 3 };
    json["listen"]["front"] = "127.0.0.1";
    json["platform"].erase( "address" );
    json["bounds"]["graceS"] = "long";
    const auto parsed = platform::parseNodeSettings( json.dump() );
    REQUIRE( parsed.problems.size() == 4 );
    std::string allProblems;
    for( const auto& it : parsed.problems ) {
        allProblems += it + "\n";
    }
    CHECK( allProblems.find( "internalPorts = [9,3]" ) != std::string::npos );
    CHECK( allProblems.find( "listen.front = \"127.0.0.1\"" ) != std::string::npos );
    CHECK( allProblems.find( "platform.address = (missing)" ) != std::string::npos );
    CHECK( allProblems.find( "bounds.graceS = \"long\"" ) != std::string::npos );
}

TEST_CASE( "A settings file that is no JSON object is a problem, not a crash",
           "[platform][settings]" ) {
    CHECK( platform::parseNodeSettings( "[1" ).problems.size() == 1 );
    CHECK( platform::readNodeSettings( "/nonexistent/file" ).problems.size() == 1 );
}

TEST_CASE( "A configuration is decoded into routes, services and limits", "[platform][wire]" ) {
    std::string problem;
    const auto parsed = platform::readConfiguration( configuration, problem );
    REQUIRE( parsed );
    CHECK( parsed->version == 7 );
    REQUIRE( parsed->routes.size() == 2 );
    CHECK( parsed->routes[0].kind == gateway::RequestKind::stream );
    CHECK( parsed->routes[0].idempotent() );
    CHECK( parsed->routes[0].splits.size() == 2 );
    CHECK( parsed->routes[1].kind == gateway::RequestKind::once );
    CHECK_FALSE( parsed->routes[1].idempotent() );
    REQUIRE( parsed->services.at( "s1" ).engine );
    CHECK( parsed->services.at( "s1" ).engine->find( "m1" )->diskLoad == 760ms );
    CHECK_FALSE( parsed->services.at( "s2" ).engine );
    CHECK( parsed->limits.idleTime == 15000ms );
}

TEST_CASE( "A configuration that lacks a field is refused with the reason", "[platform][wire]" ) {
    std::string problem;
    CHECK_FALSE( platform::readConfiguration( R"({"version": 1})", problem ) );
    CHECK( problem.find( "routes" ) != std::string::npos );
}

TEST_CASE( "An upstream's entry tells its state and how long it still lives", "[platform][wire]" ) {
    std::string problem;
    const auto parsed = platform::readUpstream(
        "i-1",
        R"({"service":"s1","address":"127.0.0.1:80","zone":"z","slots":64,"state":"draining",
            "remainingMs":1700,"models":[{"name":"m1","version":1,"adapters":["a1"]}]})",
        problem );
    REQUIRE( parsed );
    CHECK( parsed->state == gateway::UpstreamState::draining );
    CHECK( parsed->remaining == 1700ms );
    CHECK( parsed->residents[0].adapters == std::vector<std::string>{ "a1" } );
    CHECK_FALSE(
        platform::readUpstream( "i-2", R"({"service":"s","address":"nowhere"})", problem ) );
}

TEST_CASE( "A request's prompt parts, model and adapter are read from its head",
           "[platform][wire]" ) {
    platform::http::fields fields;
    fields.set( "X-Request-Id", "r1" );
    fields.set( "X-Deadline-Ms", "5000" );
    fields.set( "X-Model", "m1/a3" );
    fields.set( "X-Token-Counts", "1460,80" );
    fields.set( "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" );
    const auto head = platform::readRequestHead( fields );
    CHECK( head.requestId == "r1" );
    CHECK( head.deadline == 5000ms );
    REQUIRE( head.generation );
    CHECK( head.generation->model == "m1" );
    CHECK( head.generation->adapter == "a3" );
    CHECK( head.generation->maxTokens == 80 );
    REQUIRE( head.generation->parts.size() == 2 );
    CHECK( head.generation->parts[0].id == 0x5c1e07a2 );
    CHECK( head.generation->parts[1].tokens == 410 );
}

TEST_CASE( "Malformed numbers in a request's head count as absent", "[platform][wire]" ) {
    CHECK_FALSE( platform::readRequestHead( withField( "X-Deadline-Ms", "soon" ) ).deadline );
    CHECK_FALSE( platform::readRequestHead( withField( "X-Deadline-Ms", "-4" ) ).deadline );
    CHECK_FALSE( platform::readRequestHead( withField( "Last-Event-Id", "x" ) ).lastEventId );
}

TEST_CASE( "Numbers of a client at the edge of their type do not overflow", "[platform][wire]" ) {
    constexpr Millis day = 24h;
    constexpr std::int64_t maxTokens = 1000000000;
    const auto deadlineOf = []( const char* text ) {
        return platform::readRequestHead( withField( "X-Deadline-Ms", text ) ).deadline;
    };
    const auto tokensOf = []( const char* text ) {
        return platform::readRequestHead( withField( "X-Token-Counts", text ) ).tokens;
    };
    CHECK( deadlineOf( "86400000" ) == day );
    CHECK( deadlineOf( "86400001" ) == day );
    CHECK( deadlineOf( "9223372036854775807" ) == day );
    CHECK( deadlineOf( "9223372036854775808" ) == day );
    CHECK_FALSE( deadlineOf( "-9223372036854775809" ) );
    CHECK( tokensOf( "9223372036854775807,1" ) == maxTokens + 1 );
    CHECK( tokensOf( "9223372036854775807,9223372036854775807" ) == 2 * maxTokens );
    CHECK( tokensOf( "99999999999999999999,7" ) == maxTokens + 7 );
    CHECK( tokensOf( "-9223372036854775808,-1" ) == 0 );
    platform::http::fields fields;
    fields.set( "X-Model", "m1" );
    fields.set( "X-Prompt-Prefix", "5c:9223372036854775807,91:-4,92:99999999999999999999" );
    const auto head = platform::readRequestHead( fields );
    REQUIRE( head.generation );
    REQUIRE( head.generation->parts.size() == 3 );
    CHECK( head.generation->parts[0].tokens == maxTokens );
    CHECK( head.generation->parts[1].tokens == 0 );
    CHECK( head.generation->parts[2].tokens == maxTokens );
}

TEST_CASE( "Only answers that say so were not run", "[platform][wire]" ) {
    using platform::ResponseClass;
    CHECK( platform::readResponseHead( 503, {} ).responseClass == ResponseClass::complete );
    CHECK( platform::readResponseHead( 503, withField( "X-Not-Run", "1" ) ).responseClass ==
           ResponseClass::notRun );
    const auto moved = platform::readResponseHead( 421, withField( "X-Instance-Id", "i-2" ) );
    CHECK( moved.responseClass == ResponseClass::moved );
    CHECK( moved.actualUpstream == "i-2" );
}

TEST_CASE( "An answer that holds the begin of another one is contradictory", "[platform][wire]" ) {
    const auto contradictory = []( const std::string& value ) {
        return platform::readResponseHead( 503, withField( "Server", value ) ).contradictory;
    };
    CHECK( contradictory( "HTTP/1.1 200 OK" ) );
    CHECK( contradictory( "aHTTP/1.0 503 " ) );
    CHECK( contradictory( "HTTP/1.1 HTTP/1.1 200" ) );
    CHECK_FALSE( contradictory( "HTTP/1.1" ) );
    CHECK_FALSE( contradictory( "HTTP/1.1 proxy" ) );
    CHECK_FALSE( contradictory( "HTTP/2 200" ) );
    CHECK( platform::readResponseHead( 503, {}, "XHTTP/1.1 200 OK" ).contradictory );
    CHECK_FALSE( platform::readResponseHead( 503, {}, "Service Unavailable" ).contradictory );
    CHECK( platform::readResponseHead( 200, withField( "X-Not-Run", "1" ) ).contradictory );
    auto fields = withField( "X-Request-Id", "q1" );
    fields.insert( "X-Request-Id", "q1" );
    CHECK_FALSE( platform::readResponseHead( 200, fields ).contradictory );
    fields.insert( "X-Request-Id", "q2" );
    CHECK( platform::readResponseHead( 200, fields ).contradictory );
}

TEST_CASE( "An engine's report counts the requests that still read their prompt",
           "[platform][wire]" ) {
    const auto report = platform::readEngineReport(
        R"({"models":[{"name":"m1","version":1,"adapters":[{"name":"a1"}]}],"busySlots":true,
            "sequence":3,"queuedRequests":2,"activeRequests":5,
            "runs":[["r1",800,0,1],["r2",900,4,1]],"coming":["m1/a2@1"],
            "available":{"inMemory":["m1"],"onDisk":[{"name":"m2"}]}})" );
    REQUIRE( report );
    CHECK( report->orderInProgress );
    CHECK( report->sequence == 3 );
    // Five requests are active, and one of them has produced events.
    CHECK( report->prefilling == 4 );
    CHECK( report->loadingAdapters == std::vector<std::string>{ "m1/a2" } );
    CHECK( report->onDisk == std::vector<std::string>{ "m2" } );
    CHECK_FALSE( platform::readEngineReport( "no json" ) );
}

TEST_CASE( "An order carries the sequence that it expects, its holder and its fence",
           "[platform][wire]" ) {
    platform::Order order;
    order.model = "m1";
    order.adapter = "a1";
    order.expectedSequence = 4;
    order.holder = "vm-1";
    order.fence = 77;
    const auto json = nlohmann::json::parse( platform::encodeOrder( order ) );
    CHECK( json["operation"] == "load" );
    CHECK( json["expectedRevision"] == 4 );
    CHECK( json["fence"] == 77 );
    CHECK( json["holder"] == "vm-1" );
    CHECK( platform::orderVerdict( 409 ) == platform::OrderVerdict::conflict );
    CHECK( platform::orderVerdict( 421 ) == platform::OrderVerdict::moved );
}

TEST_CASE( "Pages and events of the store are read with their revisions", "[platform][wire]" ) {
    const auto page = platform::readPage(
        R"({"items":[{"metadata":{"name":"i-1","revision":9,"created":4},"specification":{"a":1}}],
            "morePages":true,"timestamp":530})" );
    REQUIRE( page );
    CHECK( page->more );
    CHECK( page->revision == 530 );
    CHECK( page->objects[0].created == 4 );
    const auto events = platform::readEvents(
        R"({"events":[{"object":{"metadata":{"name":"i-1"}},"isGone":true}],"timestamp":533})" );
    REQUIRE( events );
    CHECK( events->events[0].removed );
    CHECK_FALSE( platform::readPage( "{}" ) );
    CHECK_FALSE( platform::readEvents( "" ) );
}

TEST_CASE( "Retry-After is told in seconds with fractions", "[platform][wire]" ) {
    CHECK( platform::retryAfterText( 300ms ) == "0.30" );
    CHECK( platform::retryAfterText( 2000ms ) == "2.00" );
}

TEST_CASE( "A settings file that is replaced without a signal is noticed once",
           "[platform][settings]" ) {
    const auto path = "/tmp/coursehead-settings-" + std::to_string( ::getpid() ) + ".json";
    std::ofstream( path ) << "{\"a\":1}";
    platform::SettingsWatch watch( path );
    CHECK_FALSE( watch.changed() );
    std::ofstream( path ) << "{\"a\":2}";
    CHECK( watch.changed() );
    CHECK_FALSE( watch.changed() );
    // A file that is missing, or empty while it is being written, counts as unchanged.
    std::ofstream( path ) << "";
    CHECK_FALSE( watch.changed() );
    std::remove( path.c_str() );
    CHECK_FALSE( watch.changed() );
}
