// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "net/net.hpp"

#include <functional>
#include <string>

namespace coursehead::gateway {

//! Answer to a probe: HTTP status and body.
struct ProbeAnswer {
    unsigned status = 0;
    std::string body;
};

using ProbeHandler = std::function<ProbeAnswer( std::string_view path )>;

//! Answers GET requests (readiness, metrics) on a listener through a handler that is given the
//! path. Never returns.
net::Task<> serveProbes( net::Acceptor acceptor, ProbeHandler answer );

//! Answer of the metrics listener: all metrics for /metrics, 404 for any other path.
ProbeAnswer metricsAnswer( const metrics::Metrics& metrics, std::string_view path );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED
