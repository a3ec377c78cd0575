// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED

#include "net/net.hpp"

#include <functional>
#include <string>

namespace coursehead::gateway {

//! Answer of a probe: status and text.
struct ProbeAnswer {
    unsigned status = 0;
    std::string body;
};

//! Answers GET requests on a listener, by path: readiness and metrics. Never returns.
net::Task<> serveProbes( net::Acceptor acceptor,
                         std::function<ProbeAnswer( std::string_view path )> answer );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED
