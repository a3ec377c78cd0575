// SPDX-License-Identifier: BSL-1.0
#include "soak/deployment.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

// Some requests end every upstream that begins to run them. Their clients send them again, each
// time as a new request with an id of its own, to any gateway; each gateway gave each of them the
// attempts of its route, charged the ends to the upstreams, and forgot the request with its answer.
// In the logs of one evening five gateways sent the same content on, two sends a try, and one
// engine after the other went:
//
//     event=send_failed upstream=i-673c68 why="partial message" cut_stream=no after_ms=1231
//     event=send_failed upstream=i-89a565 why="partial message" cut_stream=no after_ms=1389
//     event=own_answer status=502 why="partial message"
//
// 51 engines ended under one request, 53 under another, and with each up to seventeen requests that
// ran beside it.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;

namespace {

namespace http = boost::beast::http;

//! Upstreams that may end under a request: three that show what it is, and those that had it before
//! everybody knew.
constexpr int mostEndings = 5;
constexpr int tries = 10;
constexpr Millis limit{ 60000 };
constexpr Millis look{ 50 };

//! Three gateways before six engines and three plain upstreams, all real but for the upstreams.
struct World {
    net::asio::io_context context{ 1 };
    Record record;
    RandomSource random{ 7 };
    std::string folder = std::filesystem::temp_directory_path() /
                         ( "coursehead-poison-" + std::to_string( ::getpid() ) );
    std::unique_ptr<Deployment> deployment;
    int sent = 0;
    bool finished = false;

    World() {
        std::filesystem::create_directories( folder );
        SoakOptions options;
        options.gateways = 3;
        options.engines = 6;
        options.services = 3;
        options.binary = COURSEHEAD_BINARY;
        options.folder = folder;
        deployment = std::make_unique<Deployment>( context, record, random, options );
    }
    ~World() {
        deployment.reset();
        std::filesystem::remove_all( folder );
    }

    net::Task<> tend() {
        for( ;; ) {
            deployment->look();
            co_await net::pause( context, look );
        }
    }

    bool settled() {
        const auto ready = []( const auto& it ) {
            return it->misses == 0 && !it->down;
        };
        const auto alive = []( const auto& it ) {
            return it.runner->alive();
        };
        auto& gateways = deployment->gateways();
        auto& upstreams = deployment->upstreams();
        return std::all_of( gateways.begin(), gateways.end(), ready ) &&
               std::all_of( upstreams.begin(), upstreams.end(), alive );
    }

    net::Task<> waitUntilSettled() {
        while( !settled() ) {
            co_await net::pause( context, look );
        }
    }

    //! One request to the next gateway in turn; the status, 0 when the connection was cut.
    net::Task<unsigned> ask( std::string method, std::string path, std::string body ) {
        auto& gateways = deployment->gateways();
        auto& gateway = *gateways[static_cast<std::size_t>( sent ) % gateways.size()];
        const auto id = "r" + std::to_string( ++sent );
        record.asked( id, path.starts_with( "/safe" ) ? Kind::safe : Kind::stream );
        net::Socket socket( context );
        net::ErrorCode ec;
        const auto to = net::endpointOf( gateway.reachedIp, frontPort, ec );
        co_await socket.async_connect( to, net::tupled );
        const std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + hostName +
                                 "\r\nX-Request-Id: " + id +
                                 "\r\nX-Deadline-Ms: 3500\r\nX-Model: m0\r\n"
                                 "X-Token-Counts: 2000,100\r\nX-Prompt-Prefix: a:1500,b:500\r\n"
                                 "Content-Length: " +
                                 std::to_string( body.size() ) + "\r\n\r\n" + body;
        const auto bytes = net::asio::buffer( text );
        co_await net::asio::async_write( socket, bytes, net::tupled );
        boost::beast::flat_buffer buf;
        http::response<http::string_body> response;
        const auto [cut, n] = co_await http::async_read( socket, buf, response, net::tupled );
        co_return cut ? 0 : response.result_int();
    }

    net::Task<> askAgainAndAgain( std::string method, std::string path, std::string body ) {
        for( int n = 0; n < tries; ++n ) {
            co_await waitUntilSettled();
            std::string m = method;
            std::string p = path;
            std::string b = body;
            co_await ask( std::move( m ), std::move( p ), std::move( b ) );
        }
    }

    void restartAll() {
        const auto kill = []( Process& process ) {
            process.down = true;
            process.misses = 2;
            process.child->signal( SIGKILL );
        };
        for( auto& it : deployment->gateways() ) {
            kill( *it );
        }
        for( auto& it : deployment->sidecars() ) {
            kill( *it );
        }
    }

    template <typename Play>
    void play( Play scenario ) {
        auto all = [this, scenario]() -> net::Task<> {
            deployment->start();
            net::start( context, tend(), "tend" );
            co_await waitUntilSettled();
            co_await scenario();
            finished = true;
            context.stop();
        };
        net::asio::co_spawn( context, all, net::asio::detached );
        context.run_for( limit );
        REQUIRE( finished );
    }
};

std::string pathOf( const char* route ) {
    return std::string( "/" ) + route + "/" + std::string( endsUpstream );
}

} // namespace

TEST_CASE( "A stream that ends every engine that runs it stops being sent, at any gateway",
           "[promise][poison]" ) {
    World world;
    unsigned other = 0;
    world.play( [&]() -> net::Task<> {
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
        co_await world.waitUntilSettled();
        other = co_await world.ask( "POST", "/stream/other", "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= mostEndings );
    CHECK( other == 200 );
}

TEST_CASE( "A plain request that ends every upstream that runs it stops being sent",
           "[promise][poison]" ) {
    World world;
    world.play(
        [&]() -> net::Task<> { co_await world.askAgainAndAgain( "GET", pathOf( "safe" ), "" ); } );
    CHECK( world.record.endings( pathOf( "safe" ) + " " ) <= mostEndings );
}

TEST_CASE( "What requests have done outlasts every process", "[promise][poison]" ) {
    World world;
    world.play( [&]() -> net::Task<> {
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
        world.restartAll();
        co_await world.askAgainAndAgain( "POST", pathOf( "stream" ), "summary" );
    } );
    CHECK( world.record.endings( pathOf( "stream" ) + " summary" ) <= mostEndings );
}
