// SPDX-License-Identifier: BSL-1.0
#include "gateway/probe_server.hpp"
#include "gateway/exchange/status.hpp"
#include "net/read_buffer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>

namespace coursehead::gateway {

namespace {

namespace http = boost::beast::http;

//! Idle timeout of a probe's connection: probers keep their connections open between probes.
constexpr Millis idleLimit{ 10000 };

net::Task<> serveConnection( net::Socket socket, ProbeHandler answer ) {
    net::ReadBuffer buf;
    for( ;; ) {
        net::SocketDeadline deadline( socket, MonoClock::now() + idleLimit );
        http::request<http::empty_body> request;
        auto [readError, got] = co_await http::async_read( socket, buf, request, net::tupled );
        if( readError ) {
            co_return;
        }
        auto reply = answer( { request.target().data(), request.target().size() } );
        http::response<http::string_body> response;
        response.result( reply.status );
        response.keep_alive( request.keep_alive() );
        response.body() = std::move( reply.body );
        response.prepare_payload();
        auto [writeError, put] = co_await http::async_write( socket, response, net::tupled );
        if( writeError || !request.keep_alive() ) {
            co_return;
        }
    }
}

} // namespace

ProbeAnswer metricsAnswer( const metrics::Metrics& metrics, std::string_view path ) {
    constexpr std::string_view metricsPath = "/metrics";
    if( path != metricsPath ) {
        return { statusNotFound, "" };
    }
    return { statusOk, metrics.prometheus() };
}

net::Task<> serveProbes( net::Acceptor acceptor, ProbeHandler answer ) {
    for( ;; ) {
        auto [ec, socket] = co_await acceptor.async_accept( net::tupled );
        if( ec ) {
            continue;
        }
        auto task = serveConnection( net::Socket( std::move( socket ) ), answer );
        net::asio::co_spawn( acceptor.get_executor(), std::move( task ), net::asio::detached );
    }
}

} // namespace coursehead::gateway
