// SPDX-License-Identifier: BSL-1.0
#include "support/fleet.hpp"

#include "coursehead/claims/key.hpp"
#include "coursehead/engine/engine.hpp"
#include "coursehead/kernel/clock.hpp"
#include "standin/answer.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <regex>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace fleet {

using coursehead::Millis;
using coursehead::http::Client;
using coursehead::http::Headers;
using coursehead::http::Outcome;
using coursehead::http::Request;

namespace {

constexpr const char* peerToken = "test-token";

std::string readFile( const std::string& path ) {
    std::ifstream file( path );
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

//! Waits until the process prints `prefix` followed by a number, and returns the first such number.
int awaitNumber( const Process& process, const std::string& prefix ) {
    int out = 0;
    waitUntil( prefix.c_str(), [&] {
        const std::regex pattern( prefix + "([0-9]+)\\s" );
        const auto text = process.output();
        std::smatch match;
        if( !std::regex_search( text, match, pattern ) ) {
            return false;
        }
        out = std::stoi( match[1] );
        return true;
    } );
    return out;
}

std::string urlOf( int port ) {
    return "http://127.0.0.1:" + std::to_string( port );
}

} // namespace

Process::Process( const std::string& binary, const Args& args ) {
    static std::atomic<int> count{ 0 };
    const char* base = std::getenv( "TMPDIR" );
    m_logPath = std::string( base != nullptr ? base : "/tmp" ) + "/coursehead-test-" +
                std::to_string( ::getpid() ) + "-" + std::to_string( count++ ) + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init( &actions );
    posix_spawn_file_actions_addopen( &actions, 1, m_logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND,
                                      0600 );
    posix_spawn_file_actions_adddup2( &actions, 1, 2 );
    std::vector<std::string> all{ binary };
    all.insert( all.end(), args.begin(), args.end() );
    std::vector<char*> argv;
    for( auto& it : all ) {
        argv.push_back( it.data() );
    }
    argv.push_back( nullptr );
    const int spawnError =
        ::posix_spawn( &m_pid, binary.c_str(), &actions, nullptr, argv.data(), environ );
    posix_spawn_file_actions_destroy( &actions );
    REQUIRE( spawnError == 0 );
}

Process::~Process() {
    if( std::getenv( "COURSEHEAD_TEST_LOGS" ) != nullptr ) {
        std::fprintf( stderr, "--- log of process %d\n%s", m_pid, output().c_str() );
    }
    kill();
    ::unlink( m_logPath.c_str() );
}

void Process::signal( int number ) const {
    if( m_pid <= 0 ) {
        return;
    }
    ::kill( m_pid, number );
    if( number == SIGSTOP ) {
        // Under load a process runs on for some milliseconds after SIGSTOP, long enough to answer a
        // request.
        siginfo_t stopped{};
        ::waitid( P_PID, static_cast<id_t>( m_pid ), &stopped, WSTOPPED | WEXITED | WNOWAIT );
    }
}

void Process::kill() {
    if( m_pid > 0 ) {
        ::kill( m_pid, SIGKILL );
        ::waitpid( m_pid, nullptr, 0 );
        m_pid = -1;
    }
}

int Process::wait( int seconds ) {
    int status = -1;
    bool ended = false;
    for( int n = 0; n < seconds * 50 && !ended; ++n ) {
        ended = ::waitpid( m_pid, &status, WNOHANG ) == m_pid;
        if( !ended ) {
            std::this_thread::sleep_for( Millis( 20 ) );
        }
    }
    if( !ended ) {
        return -1;
    }
    m_pid = -1;
    return WIFEXITED( status ) ? WEXITSTATUS( status ) : 128 + WTERMSIG( status );
}

std::string Process::output() const {
    return readFile( m_logPath );
}

void waitUntil( const char* what, const std::function<bool()>& condition, int seconds ) {
    const auto limit = coursehead::MonoClock::now() + std::chrono::seconds( seconds );
    while( !condition() ) {
        if( coursehead::MonoClock::now() > limit ) {
            FAIL( "timed out waiting for: " << what );
        }
        std::this_thread::sleep_for( Millis( 10 ) );
    }
}

Fleet::Fleet() {
    Node node;
    node.process = std::make_unique<Process>( COURSEHEAD_STANDIN_BINARY, Args{ "store" } );
    node.port = awaitNumber( *node.process, "port=" );
    add( "store", std::move( node ) );
}

Node& Fleet::add( const std::string& name, Node node ) {
    node.url = urlOf( node.port );
    m_nodes.erase( name );
    return m_nodes[name] = std::move( node );
}

Node& Fleet::engine( const std::string& name, const Args& options ) {
    Args args{ "engine", "--load-ms=20", "--token-ms=2", "--memory=1073741824" };
    args.insert( args.end(), options.begin(), options.end() );
    Node node;
    node.process = std::make_unique<Process>( COURSEHEAD_STANDIN_BINARY, args );
    node.port = awaitNumber( *node.process, "port=" );
    return add( name, std::move( node ) );
}

Node& Fleet::service( const std::string& name ) {
    Node node;
    node.process = std::make_unique<Process>( COURSEHEAD_STANDIN_BINARY, Args{ "service" } );
    node.port = awaitNumber( *node.process, "port=" );
    return add( name, std::move( node ) );
}

Node& Fleet::agent( const std::string& name, const std::string& upstreamUrl, const Args& options,
                    const std::string& kind ) {
    Args args{ "agent",       "--vm",
               name,          "--hall",
               "hall1",       "--region",
               "r1",          "--store",
               store().url,   "--peer-token",
               peerToken,     "--listen",
               "127.0.0.1:0", "--http-listen",
               "127.0.0.1:0", "--upstream",
               kind,          "--upstream-kind",
               kind,          "--upstream-url",
               upstreamUrl,   "--clock-skew-ms",
               "0",           "--store-retry-ms",
               "200",         "--peer-silence-ms",
               "1500" };
    args.insert( args.end(), options.begin(), options.end() );
    Node node;
    node.process = std::make_unique<Process>( COURSEHEAD_BINARY, args );
    node.port = awaitNumber( *node.process, "event=peer_listening port=" );
    node.httpUrl = urlOf( awaitNumber( *node.process, "event=http_listening port=" ) );
    const int port = node.port;
    auto& out = add( name, std::move( node ) );
    listVm( name, kind, port );
    return out;
}

Node& Fleet::entry( const std::string& name, const Args& options ) {
    Args args{ "entry",       "--vm",
               name,          "--hall",
               "hall1",       "--region",
               "r1",          "--store",
               store().url,   "--peer-token",
               peerToken,     "--listen",
               "127.0.0.1:0", "--lease-ms",
               "900",         "--store-retry-ms",
               "200",         "--peer-silence-ms",
               "1500" };
    args.insert( args.end(), options.begin(), options.end() );
    Node node;
    node.process = std::make_unique<Process>( COURSEHEAD_BINARY, args );
    node.port = awaitNumber( *node.process, "event=http_listening port=" );
    const int port = node.port;
    auto& out = add( name, std::move( node ) );
    listVm( name, "entry", port );
    return out;
}

void Fleet::listVm( const std::string& name, const std::string& role, int port,
                    const std::string& state ) {
    const Json body{ { "metadata", { { "name", name } } },
                     { "spec",
                       { { "ip", "127.0.0.1" },
                         { "port", port },
                         { "hall", "hall1" },
                         { "region", "r1" },
                         { "role", role },
                         { "state", state } } } };
    const std::string path = "/apis/coursehead/v1/vms";
    if( call( store().url, "POST", path, body.dump() ).response.status == 409 ) {
        const auto put = call( store().url, "PUT", path + "/" + name, body.dump() );
        REQUIRE( put.response.status == 200 );
    }
}

void Fleet::unlistVm( const std::string& name ) {
    call( store().url, "DELETE", "/apis/coursehead/v1/vms/" + name );
}

Json Fleet::command( const Node& entry, const std::string& text, int waitMs ) {
    const auto got = call( entry.url, "POST", "/operator/v1/command",
                           Json{ { "text", text }, { "wait_ms", waitMs } }.dump() );
    const auto body = Json::parse( got.response.body, nullptr, false );
    return body.is_object() ? body : Json{ { "status", "none" }, { "message", got.detail } };
}

void Fleet::require( const Node& entry, const std::string& text ) {
    const auto done = command( entry, text, 15000 );
    INFO( done.dump() );
    REQUIRE( done["status"] == "ok" );
}

void Fleet::setFaults( const Node& node, const Json& faults ) {
    REQUIRE( call( node.url, "PUT", "/faults", faults.dump() ).response.status == 200 );
}

Json Fleet::get( const std::string& url, const std::string& path ) {
    return Json::parse( call( url, "GET", path ).response.body, nullptr, false );
}

double Fleet::metric( const std::string& url, const std::string& name ) {
    std::istringstream lines( call( url, "GET", "/metrics" ).response.body );
    for( std::string line; std::getline( lines, line ); ) {
        if( line.rfind( name + " ", 0 ) == 0 ) {
            return std::stod( line.substr( name.size() + 1 ) );
        }
    }
    return 0;
}

void Fleet::waitForAgents( const Node& entry, std::size_t count ) {
    waitUntil( "agents", [&] {
        const auto got = command( entry, "show vms where up = true" );
        return !got["tables"].empty() && got["tables"][0]["rows"].size() == count;
    } );
}

void Fleet::waitForOrders( const Node& entry, std::size_t count ) {
    waitUntil( "agents that give orders", [&] {
        const auto got = command( entry, "show vms where orders = true" );
        return !got["tables"].empty() && got["tables"][0]["rows"].size() == count;
    } );
}

void Fleet::waitForSlots( const Node& entry ) {
    waitUntil( "slots", [&] {
        const auto got = command( entry, "show slots" );
        return !got["tables"].empty() && got["tables"][0]["rows"].size() == 256;
    } );
    const auto revision = command( entry, "show revision" )["revision"].get<std::uint64_t>();
    for( const auto& it : m_nodes ) {
        if( !it.second.httpUrl.empty() ) {
            waitUntil( "the revision of the slots at all agents", [&] {
                const auto health = get( it.second.httpUrl, "/healthz" );
                return health.is_object() && health["revision"].get<std::uint64_t>() >= revision;
            } );
        }
    }
    // A key has to be at least 1 ms younger than the ownership of its slot.
    std::this_thread::sleep_for( Millis( 3 ) );
}

std::string Fleet::key() {
    static coursehead::RandomSource random( 42 );
    return coursehead::claims::makeKey( coursehead::systemClock().wall(), random );
}

std::vector<std::uint32_t> draws( std::size_t count ) {
    return *rc::gen::resize( rc::kNominalSize,
                             rc::gen::container<std::vector<std::uint32_t>>(
                                 count, rc::gen::inRange<std::uint32_t>( 0, 4'000'000'000U ) ) );
}

Outcome call( const std::string& url, const std::string& method, const std::string& path,
              const std::string& body, const Headers& headers, int readSeconds ) {
    Client client( url, { Millis( 2000 ), Millis( readSeconds * 1000 ) } );
    Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = headers;
    return client.call( request );
}

namespace {

Json messages( const std::string& prompt ) {
    return Json::array( { { { "role", "user" }, { "content", prompt } } } );
}

Streamed readStream( const std::string& url, const Request& request,
                     const std::function<bool( const Streamed& )>& onText ) {
    Streamed out;
    std::string raw;
    Client client( url, { Millis( 2000 ), Millis( 40000 ) } );
    std::string lineBuffer;
    const auto takeLine = [&]( const std::string& line ) {
        if( line.rfind( "id: ", 0 ) == 0 ) {
            out.lastId = line.substr( 4 );
        }
        if( line.rfind( "data: ", 0 ) != 0 ) {
            return;
        }
        const auto data = line.substr( 6 );
        out.done = out.done || data == "[DONE]";
        const auto event = Json::parse( data, nullptr, false );
        if( !event.is_object() ) {
            return;
        }
        if( event.contains( "error" ) ) {
            out.error = event["error"];
        } else if( !event["choices"].empty() && event["choices"][0].contains( "delta" ) ) {
            out.text += event["choices"][0]["delta"].value( "content", "" );
        }
    };
    const auto got = client.stream( request, [&]( int status, std::string_view bytes ) {
        out.status = status;
        raw.append( bytes );
        lineBuffer.append( bytes );
        for( auto end = lineBuffer.find( '\n' ); end != std::string::npos;
             end = lineBuffer.find( '\n' ) ) {
            takeLine( lineBuffer.substr( 0, end ) );
            lineBuffer.erase( 0, end + 1 );
        }
        return !onText || onText( out );
    } );
    out.broken = got.failure != coursehead::http::Failure::none;
    if( out.status != 200 ) {
        const auto body = Json::parse( raw, nullptr, false );
        out.error = body.is_object() ? body.value( "error", Json() ) : Json();
    }
    return out;
}

} // namespace

std::string chatBody( const std::string& model, const std::string& prompt, int tokens,
                      bool stream ) {
    return Json{ { "model", model },
                 { "messages", messages( prompt ) },
                 { "max_tokens", tokens },
                 { "stream", stream } }
        .dump();
}

std::string expectedText( const std::string& model, const std::string& prompt, int tokens ) {
    return standin::answerText( model, messages( prompt ).dump(),
                                static_cast<std::uint32_t>( tokens ) );
}

Streamed streamCall( const std::string& url, const std::string& body, const Headers& headers,
                     const std::function<bool( const Streamed& )>& onText ) {
    Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body;
    request.headers = headers;
    return readStream( url, request, onText );
}

Streamed resumeCall( const std::string& url, const std::string& session,
                     const std::string& lastEventId ) {
    Request request;
    request.path = "/v1/sessions/" + session;
    request.headers["Last-Event-ID"] = lastEventId;
    return readStream( url, request, {} );
}

std::string defaultConfig( bool checksOrders, int latenessMs ) {
    return "begin\n"
           "create upstream runner accelerators=1 memory=1GiB checks_orders=" +
           std::string( checksOrders ? "true" : "false" ) +
           " order_lateness_ms=" + std::to_string( latenessMs ) +
           "\n"
           "create model m memory=300MiB kv=50MiB\n"
           "create service cards repeatable=false\n"
           "commit";
}

} // namespace fleet
