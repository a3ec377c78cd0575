// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/client.hpp"
#include "coursehead/http/server.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;

namespace {

http::Response plainError( int status ) {
    http::Response out;
    out.status = status;
    out.body = "error " + std::to_string( status );
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
