// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_END_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_END_HPP_INCLUDED

#include "gateway/choice/connection_pool.hpp"

#include <memory>

namespace coursehead::gateway {

class ClientWriter;

//! Client connection of a request in progress.
struct ClientConnection {
    explicit ClientConnection( net::Socket& clientSocket ) : socket( clientSocket ) {}

    net::Socket& socket;
    bool disconnected = false;                  //!< the client closed its connection
    bool broken = false;                        //!< a write to it failed
    bool done = false;                          //!< the request has ended
    bool streamBegun = false;                   //!< the head of a stream was written to it
    std::weak_ptr<UpstreamConnection> upstream; //!< closed when the client disconnects
    std::weak_ptr<ClientWriter> writer;         //!< told when the client disconnects
};

/**
 * Checks the client's socket directly, without waiting for the event loop, and sets `disconnected`
 * if the client has closed the connection. After the process was stopped for seconds, requests and
 * the closes that follow them arrive together: without this check the gateway would send requests
 * whose clients have already disconnected.
 */
bool checkDisconnected( ClientConnection& client );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_END_HPP_INCLUDED
