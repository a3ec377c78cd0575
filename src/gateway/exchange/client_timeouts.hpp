// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_TIMEOUTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_TIMEOUTS_HPP_INCLUDED

#include "gateway/model.hpp"

#include <optional>

namespace coursehead::gateway {

//! How long a client waits before it disconnects. Anything generated later is wasted.
struct ClientTimeouts {
    Millis firstEvent{ 0 };     //!< from the request to the first event or the complete answer
    Millis pause{ 0 };          //!< between the events of a stream; 0: not a stream
    Millis completeAnswer{ 0 }; //!< from the request to the end of the answer
};

//! The timeouts of a client whose request came on `route`, with the deadline that it stated.
ClientTimeouts clientTimeoutsOf( const Route& route, std::optional<Millis> deadline );

/**
 * How long a request may wait before it is sent, counted from its arrival, if the upstream then
 * takes `work` until the first event or the answer. Zero if the answer would be too late in any
 * case.
 */
Millis maxWaitBeforeSend( const ClientTimeouts& timeouts, Millis work );

//! How far a request has got for its client.
struct RequestProgress {
    MonoTime arrived;
    MonoTime deadline;                 //!< the client's, or the end of the route's timeout
    std::optional<MonoTime> lastEvent; //!< last event that the client received; nullopt: none
};

//! When a request can still be sent to an upstream.
struct SendWindow {
    MonoTime goalEnd; //!< latest send for an answer in time
    MonoTime latest;  //!< latest send for which the client still waits
};

/**
 * The send window of a request whose upstream takes `work` until its first event. The client of a
 * stream that has broken after some events waits for the next event, not for the first: its window
 * begins with the last event, however long the stream has run.
 */
SendWindow sendWindow( const Route& route, const ClientTimeouts& timeouts,
                       const RequestProgress& progress, Millis work );

//! Until when a request waits in a process that has no configuration and upstreams yet.
MonoTime startupWaitEnd( MonoTime arrived, MonoTime processStart );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_TIMEOUTS_HPP_INCLUDED
