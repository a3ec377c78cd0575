// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_EARLY_FIXTURE_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_EARLY_FIXTURE_HPP_INCLUDED

#include "net/json_client.hpp"
#include "support/early_upstream.hpp"
#include "support/gateway_fixture.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace coursehead::support {

//! Longer than what the kernel holds of a request that its upstream does not read.
inline constexpr std::size_t uploadBytes = 6U << 20U;

//! A gateway whose first upstream answers before it has read the request's body.
struct EarlyFixture {
    GatewayFixture gateway;
    EarlyUpstream early;

    explicit EarlyFixture( EarlyAnswer answer ) : early( gateway.context, std::move( answer ) ) {
        auto withUploads = configuration();
        withUploads.limits.bodyBytes = 2 * uploadBytes;
        for( auto& it : withUploads.routes ) {
            it.timeout = Millis( 8000 );
        }
        const auto now = MonoClock::now();
        gateway.shared.table = std::make_shared<gateway::RouteTable>( withUploads );
        gateway.fleet.setConfiguration( gateway.shared.table, now );
        std::map<std::string, gateway::Member> members;
        members.emplace(
            "u0",
            gateway::Member{ GatewayFixture::makeUpstream( "u0", early.port(), "hall" ), false } );
        members.emplace( "u2", gateway::Member{ GatewayFixture::makeUpstream(
                                                    "u2", gateway.second.port(), "other" ),
                                                false } );
        gateway.fleet.sync( members, now );
    }

    //! The answer to a request with a body of so many bytes.
    std::string upload( const std::string& path, std::size_t bytes = uploadBytes ) {
        return gateway.send( "POST " + path +
                             " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\nX-Deadline-Ms: 6000\r\n"
                             "Connection: close\r\nContent-Length: " +
                             std::to_string( bytes ) + "\r\n\r\n" + std::string( bytes, 'u' ) );
    }
};

//! A complete answer to a request on the route.
inline std::string dueAnswer( const std::string& path ) {
    return startsWith( path, "/stream/" )
               ? streamHead() + chunk( "id: 0\ndata: due\n\n" ) + "0\r\n\r\n"
               : completeAnswer( 200, sealField, "due" );
}

//! Makes a call to a port on loopback, and runs the event loop until it ends.
inline net::JsonResponse callForJson( net::asio::io_context& context, int port,
                                      net::JsonCall request ) {
    net::JsonClient client( context, "127.0.0.1", port );
    net::JsonResponse out;
    request.target = "/a";
    const auto call = [&]() -> net::Task<> {
        out = co_await client.call( request );
        context.stop();
    };
    net::asio::co_spawn( context, call, net::asio::detached );
    context.run_for( Millis( 5000 ) );
    return out;
}

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_EARLY_FIXTURE_HPP_INCLUDED
