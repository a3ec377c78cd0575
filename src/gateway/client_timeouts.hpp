// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CLIENT_TIMEOUTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CLIENT_TIMEOUTS_HPP_INCLUDED

#include "gateway/model.hpp"

#include <optional>

namespace coursehead::gateway {

//! How long a client waits. What would come later is made for nobody.
struct ClientTimeouts {
    Millis firstEvent{ 0 }; //!< from its request to a stream's first event, or to a whole answer
    Millis pause{ 0 };      //!< between the events of a stream; 0: whole answers have none
    Millis completeAnswer{ 0 }; //!< from its request to the answer's end
};

//! The patience of a client that sent a request on a route, with the deadline that it gave.
ClientTimeouts clientTimeoutsOf( const Route& route, std::optional<Millis> deadline );

/**
 * How long a request may wait for something that it needs before it is sent, counted from its
 * arrival, when the upstream then takes `work` until the first event or the answer. Zero when
 * waiting serves nobody.
 */
Millis maxWaitBeforeSend( const ClientTimeouts& patience, Millis work );

//! Until when a request waits at a process that does not know configuration and upstreams yet.
MonoTime startupWaitEnd( MonoTime arrived, MonoTime processStart );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CLIENT_TIMEOUTS_HPP_INCLUDED
