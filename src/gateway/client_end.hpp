// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CLIENT_END_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CLIENT_END_HPP_INCLUDED

#include "gateway/connection_pool.hpp"

#include <memory>

namespace coursehead::gateway {

//! The client's side of a request in progress.
struct ClientEnd {
    explicit ClientEnd( net::Socket& clientSocket ) : socket( clientSocket ) {}

    net::Socket& socket;
    bool left = false;                          //!< the client closed its connection
    bool broken = false;                        //!< a write to it failed
    bool done = false;                          //!< the request is over
    std::weak_ptr<UpstreamConnection> upstream; //!< closed when the client leaves
};

/**
 * Looks at the client's socket now, whatever the event loop has still to tell, and notes in `left`
 * when its end has closed. A process that was stopped for seconds finds requests and the closes
 * behind them at once: without the look it sends those requests on, for nobody.
 */
bool hasLeft( ClientEnd& client );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CLIENT_END_HPP_INCLUDED
