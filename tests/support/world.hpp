// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_WORLD_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_WORLD_HPP_INCLUDED

#include "soak/deployment.hpp"
#include "soak/stream_events.hpp"

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
#include <functional>

namespace coursehead::support {

using soak::Deployment;
using soak::frontPort;
using soak::hostName;
using soak::Kind;
using soak::Process;
using soak::Record;
using soak::SoakOptions;

inline constexpr int repeatCount = 10;
inline constexpr Millis scenarioTimeout{ 60000 };
inline constexpr Millis pollInterval{ 50 };
//! Longest time that a client waits for a stream.
inline constexpr Millis streamTimeout{ 4000 };

//! Number of processes of each kind.
struct WorldSize {
    int gateways = 3;
    int engines = 6;
    int services = 3;
    int versions = 1;    //!< software versions of the upstreams
    double linkMbps = 0; //!< stated link of each gateway; 0: the settings state none
    int memoryMb = 0;    //!< stated memory of each gateway; 0: the settings state none
};

//! A stream as its client knows it, over all attempts.
struct ClientStream {
    std::string name; //!< id of the first attempt; in the path, so that no two contents are alike
    std::string beganAs; //!< id of the attempt that received the first event; empty: none has
    int last = 0;        //!< number of the last event received
    int attempts = 0;
    unsigned status = 0; //!< of the last attempt; 0: none was received
    bool complete = false;
};

//! A whole answer as its client received it; status 0: none.
struct PlainAnswer {
    unsigned status = 0;
    std::string body;
};

//! A deployment of real gateways and sidecars in front of simulated engines and plain upstreams, by
//! default three gateways, six engines and three plain upstreams; with a client that sends
//! requests.
struct World {
    net::asio::io_context context{ 1 };
    Record record;
    RandomSource random{ 7 };
    std::string folder = std::filesystem::temp_directory_path() /
                         ( "coursehead-world-" + std::to_string( ::getpid() ) );
    std::unique_ptr<Deployment> deployment;
    int sent = 0;
    bool sharedPrefix = true; //!< prompts share their prefix, so that gateways prefer one engine
    bool ownEnds = false;     //!< each prompt ends with a part of its own
    bool oneGateway = false;  //!< all requests go to the first gateway
    bool finished = false;
    std::function<std::string()> progress; //!< tells how far the scenario came, if it does not end

    explicit World( WorldSize size = {} ) {
        std::filesystem::create_directories( folder );
        SoakOptions options;
        options.gateways = size.gateways;
        options.engines = size.engines;
        options.services = size.services;
        options.versions = size.versions;
        options.linkMbps = size.linkMbps;
        options.memoryMb = size.memoryMb;
        options.binary = COURSEHEAD_BINARY;
        options.folder = folder;
        deployment = std::make_unique<Deployment>( context, record, random, options );
    }
    ~World() {
        deployment.reset();
        std::filesystem::remove_all( folder );
    }

    net::Task<> pollDeployment() {
        for( ;; ) {
            deployment->look();
            co_await net::pause( context, pollInterval );
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
            co_await net::pause( context, pollInterval );
        }
    }

    //! Sends one request to the next gateway in turn; returns the status, or 0 when the connection
    //! was cut.
    net::Task<unsigned> ask( std::string method, std::string path, std::string body ) {
        auto& gateways = deployment->gateways();
        const auto gatewayIndex =
            oneGateway ? 0 : static_cast<std::size_t>( sent ) % gateways.size();
        const auto id = "r" + std::to_string( ++sent );
        record.asked( id, path.starts_with( "/safe" ) ? Kind::safe : Kind::stream );
        const auto ownEnd = ownEnds ? "c" + std::to_string( sent ) : "b";
        std::string text =
            method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Request-Id: " + id +
            "\r\nX-Deadline-Ms: 3500\r\nX-Model: m0\r\n"
            "X-Token-Counts: 2000,100\r\nX-Prompt-Prefix: " +
            ( sharedPrefix ? "a" : std::to_string( sent ) ) + ":1500," + ownEnd +
            ":500\r\nContent-Length: " + std::to_string( body.size() ) + "\r\n\r\n" + body;
        co_return co_await exchange( gatewayIndex, std::move( text ) );
    }

    //! Sends the bytes of a request to a gateway; returns the status, or 0 if no complete answer
    //! arrives within `streamTimeout`.
    net::Task<unsigned> exchange( std::size_t gatewayIndex, std::string text ) {
        const auto answer = co_await receiveAnswer( gatewayIndex, std::move( text ) );
        co_return answer.status;
    }

    //! Sends the bytes of a request to a gateway; returns the answer, with status 0 if it is not
    //! complete within `streamTimeout`.
    net::Task<PlainAnswer> receiveAnswer( std::size_t gatewayIndex, std::string text ) {
        net::Socket socket( context );
        net::ErrorCode ec;
        const auto& ip = deployment->gateways()[gatewayIndex]->reachedIp;
        const auto to = net::endpointOf( ip, frontPort, ec );
        ec = co_await net::connect( socket, to, streamTimeout );
        const auto bytes = net::asio::buffer( text );
        co_await net::asio::async_write( socket, bytes, net::tupled );
        boost::beast::flat_buffer buf;
        boost::beast::http::response<boost::beast::http::string_body> response;
        net::SocketDeadline deadline( socket, MonoClock::now() + streamTimeout );
        const auto [readError, n] =
            co_await boost::beast::http::async_read( socket, buf, response, net::tupled );
        PlainAnswer out;
        if( !readError ) {
            out.status = response.result_int();
            out.body = std::move( response.body() );
        }
        co_return out;
    }

    //! Receives the stream from a gateway until its end or until the connection breaks; resumes it
    //! if an earlier attempt has received events.
    net::Task<> receiveStream( ClientStream& stream, std::size_t gatewayIndex ) {
        const auto id = "r" + std::to_string( ++sent );
        record.asked( id, Kind::stream );
        stream.name = stream.name.empty() ? id : stream.name;
        ++stream.attempts;
        stream.status = 0;
        net::Socket socket( context );
        net::ErrorCode ec;
        const auto to =
            net::endpointOf( deployment->gateways()[gatewayIndex]->reachedIp, frontPort, ec );
        co_await socket.async_connect( to, net::tupled );
        std::string text = "POST /stream/" + stream.name +
                           " HTTP/1.1\r\nHost: " + std::string( hostName ) +
                           "\r\nX-Request-Id: " + id +
                           "\r\nX-Deadline-Ms: 3500\r\nX-Model: m0\r\nX-Token-Counts: 200,100\r\n"
                           "X-Prompt-Prefix: " +
                           std::to_string( sent ) + ":200\r\nContent-Length: 0\r\n";
        if( stream.last > 0 ) {
            text += "Last-Event-Id: " + std::to_string( stream.last ) +
                    "\r\nResumes: " + stream.beganAs + "\r\n";
        }
        text += "\r\n";
        const auto bytes = net::asio::buffer( text );
        co_await net::asio::async_write( socket, bytes, net::tupled );
        boost::beast::flat_buffer buf;
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        std::size_t known = 0;
        net::SocketDeadline deadline( socket, MonoClock::now() + streamTimeout );
        while( !ec && !parser.is_done() ) {
            const auto [readError, n] =
                co_await boost::beast::http::async_read_some( socket, buf, parser, net::tupled );
            ec = readError;
            stream.status = parser.is_header_done() ? parser.get().result_int() : 0;
            const auto events = soak::eventsIn( parser.get().body() );
            for( ; known < events.size(); ++known ) {
                stream.beganAs = stream.beganAs.empty() ? id : stream.beganAs;
                ++stream.last;
                record.eventReceived( stream.beganAs, events[known].version );
            }
        }
        stream.complete = !ec && stream.status == 200;
    }

    //! Sends one plain request that is safe to repeat.
    net::Task<unsigned> askPlain() {
        std::string method = "GET";
        std::string path = "/safe/a" + std::to_string( sent );
        std::string body;
        co_return co_await ask( std::move( method ), std::move( path ), std::move( body ) );
    }

    //! Sends one streaming request.
    net::Task<unsigned> askStream() {
        std::string method = "POST";
        std::string path = "/stream/a";
        std::string body = "b" + std::to_string( sent );
        co_return co_await ask( std::move( method ), std::move( path ), std::move( body ) );
    }

    //! Runners of all engines, or of all plain upstreams.
    std::vector<soak::Runner*> runners( bool engines ) {
        std::vector<soak::Runner*> out;
        for( auto& it : deployment->upstreams() ) {
            if( it.runner->isEngine() == engines ) {
                out.push_back( it.runner.get() );
            }
        }
        return out;
    }

    //! Sends streaming requests one after the other, to the gateways in turn; returns how many were
    //! served.
    net::Task<int> askStreams( int count ) {
        int served = 0;
        for( int n = 0; n < count; ++n ) {
            const auto status = co_await askStream();
            served += status == 200 ? 1 : 0;
        }
        co_return served;
    }

    net::Task<> askRepeatedly( std::string method, std::string path, std::string body ) {
        for( int n = 0; n < repeatCount; ++n ) {
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

    template <typename Scenario>
    void runScenario( Scenario scenario ) {
        auto all = [this, scenario]() -> net::Task<> {
            deployment->start();
            net::start( context, pollDeployment(), "tend" );
            co_await waitUntilSettled();
            co_await scenario();
            finished = true;
            context.stop();
        };
        net::asio::co_spawn( context, all, net::asio::detached );
        context.run_for( scenarioTimeout );
        INFO( ( !finished && progress ? progress() : "" ) );
        REQUIRE( finished );
    }
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_WORLD_HPP_INCLUDED
