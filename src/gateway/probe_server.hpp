// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "net/net.hpp"

#include <functional>
#include <string>

namespace coursehead::gateway {

//! Answer of a probe: status and text.
struct ProbeAnswer {
    unsigned status = 0;
    std::string body;
};

using ProbeHandler = std::function<ProbeAnswer( std::string_view path )>;

//! Answers GET requests on a listener, by path: readiness and metrics. Never returns.
net::Task<> serveProbes( net::Acceptor acceptor, ProbeHandler answer );

//! The answer on a metrics address: everything that is measured, or 404 for another path.
ProbeAnswer metricsAnswer( const metrics::Metrics& metrics, std::string_view path );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_PROBE_SERVER_HPP_INCLUDED
