// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/client.hpp"
#include "coursehead/http/server.hpp"
#include "support/scripted_upstream.hpp"
#include "support/server_thread.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace coursehead;

namespace {

http::Response plainError( int status ) {
    http::Response out;
    out.status = status;
    out.body = "error " + std::to_string( status );
    return out;
}

http::Request rootRequest() {
    http::Request out;
    out.path = "/";
    return out;
}

} // namespace

TEST_CASE( "A body past the limit is answered 413 with the caller's kind of error",
           "[http][hostile]" ) {
    http::ServerLimits limits;
    limits.bodyBytes = 100;
    http::Server server(
        limits, []( const http::Request& ) { return http::Response{}; }, plainError );
    http::Client client( "127.0.0.1:" + std::to_string( server.start( "127.0.0.1", 0 ) ), {} );
    http::Request request;
    request.method = "POST";
    request.path = "/x";
    request.body = std::string( 101, 'x' );
    const auto outcome = client.call( request );
    CHECK( outcome.response.status == 413 );
    CHECK( outcome.response.body == "error 413" );
}

TEST_CASE( "A refused connection is told apart from a cut one", "[http]" ) {
    http::Server server(
        {},
        []( const http::Request& ) {
            http::Response out;
            out.producer = []( const http::Sink& ) {
                return false;
            };
            return out;
        },
        plainError );
    const int port = server.start( "127.0.0.1", 0 );
    http::Client client( "127.0.0.1:" + std::to_string( port ), {} );
    http::Request request;
    request.path = "/";
    const auto outcome = client.call( request );
    INFO( outcome.detail );
    CHECK( outcome.failure == http::Failure::broken );
    server.stop();
    http::Client clientAfterStop( "127.0.0.1:" + std::to_string( port ), {} );
    CHECK( clientAfterStop.call( request ).failure == http::Failure::notSent );
}

TEST_CASE( "A path and a query reach the server as they were", "[http]" ) {
    http::Request seen;
    http::Server server(
        {},
        [&seen]( const http::Request& request ) {
            seen = request;
            return http::Response{};
        },
        plainError );
    http::Client client( "127.0.0.1:" + std::to_string( server.start( "127.0.0.1", 0 ) ), {} );
    http::Request request;
    request.path = "/a b/c+d,e;f'g/\xc3\xa4\x01/h:i@j";
    request.query = { { "name one", "a=b&c d+e%/?#" }, { "two", "\xc3\xa4'\r\n" } };
    const auto outcome = client.call( request );
    INFO( outcome.detail );
    CHECK( outcome.response.status == 200 );
    CHECK( seen.path == request.path );
    CHECK( seen.query == request.query );
}

TEST_CASE( "A response behind an interim one is read", "[http]" ) {
    support::ServerThread server;
    support::ScriptedUpstream upstream( server.context );
    upstream.addStep( { "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
                        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ndue" } );
    server.start();
    http::Client client( "127.0.0.1:" + std::to_string( upstream.port() ), {} );
    const auto outcome = client.call( rootRequest() );
    server.stop();
    INFO( outcome.detail );
    CHECK( outcome.response.status == 200 );
    CHECK( outcome.response.body == "due" );
}

TEST_CASE( "A call that is aborted from another thread ends at once", "[http]" ) {
    net::asio::io_context context;
    support::ScriptedUpstream upstream( context );
    support::ScriptStep silent;
    silent.silent = true;
    upstream.addStep( silent );
    http::Client client( "127.0.0.1:" + std::to_string( upstream.port() ),
                         { std::chrono::seconds( 1 ), std::chrono::seconds( 60 ) } );
    std::jthread loop( [&] {
        while( upstream.requests().empty() && context.run_one() > 0 ) {
        }
        client.abort();
        context.run();
    } );
    const auto outcome = client.call( rootRequest() );
    context.stop();
    loop.join();
    CHECK( outcome.failure == http::Failure::broken );
    CHECK( client.call( rootRequest() ).failure == http::Failure::notSent );
}

TEST_CASE( "A connection that the server has closed is not used again", "[http]" ) {
    support::ServerThread server;
    support::ScriptedUpstream upstream( server.context );
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ndue";
    upstream.addStep( { whole, true } );
    upstream.addStep( { whole } );
    upstream.addStep( { whole } );
    server.start();
    http::Client client( "127.0.0.1:" + std::to_string( upstream.port() ), {} );
    CHECK( client.call( rootRequest() ).failure == http::Failure::none );
    std::promise<void> closed;
    net::asio::post( server.context, [&closed] { closed.set_value(); } );
    closed.get_future().wait();
    CHECK( client.call( rootRequest() ).failure == http::Failure::none );
    CHECK( client.call( rootRequest() ).failure == http::Failure::none );
    server.stop();
    CHECK( upstream.connections() == 2 );
}
