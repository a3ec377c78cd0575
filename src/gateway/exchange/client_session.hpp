// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_SESSION_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_SESSION_HPP_INCLUDED

#include "gateway/exchange/exchange.hpp"

namespace coursehead::gateway {

//! Serves the requests of one client connection, one at a time.
net::Task<> serveClient( net::Socket socket, SharedState& shared );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_SESSION_HPP_INCLUDED
