// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CLIENT_SESSION_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CLIENT_SESSION_HPP_INCLUDED

#include "gateway/exchange.hpp"

namespace coursehead::gateway {

//! Serves the requests of one client connection, one after the other.
net::Task<> serveClient( net::Socket socket, SharedState& shared );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CLIENT_SESSION_HPP_INCLUDED
