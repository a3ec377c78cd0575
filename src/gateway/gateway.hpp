// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_GATEWAY_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_GATEWAY_HPP_INCLUDED

#include <span>
#include <string>

namespace coursehead::gateway {

//! Runs the gateway: accepts clients' requests and sends them to upstreams. Returns the exit code.
int runGateway( std::span<const std::string> arguments );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_GATEWAY_HPP_INCLUDED
