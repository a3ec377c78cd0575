// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED

#include "gateway/model.hpp"
#include "platform/node_settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! Conversion between the platform's messages and coursehead's types.
namespace coursehead::platform {

// Configuration and the list of upstreams.

//! Kinds and names of the objects that the operator and the upstreams write.
inline constexpr std::string_view configurationKind = "config";
inline constexpr std::string_view configurationName = "main";
inline constexpr std::string_view upstreamKind = "servers";

//! Parses a configuration. On failure, `problem` holds the reason.
std::optional<gateway::Configuration> readConfiguration( std::string_view json,
                                                         std::string& problem );
//! Parses an upstream's entry. On failure, `problem` holds the reason.
std::optional<gateway::Upstream> readUpstream( std::string_view id, std::string_view json,
                                               std::string& problem );

// Engines.

//! Parses an engine's report. On failure, `problem`, unless it is null, holds the reason.
std::optional<gateway::EngineReport> readEngineReport( std::string_view json,
                                                       std::string* problem = nullptr );

enum class OrderKind { load, unload };
//! An order to an engine to load or unload a model, or an adapter if `adapter` is not empty.
struct Order {
    OrderKind kind = OrderKind::load;
    std::string model;
    std::string adapter;
    std::uint64_t expectedSequence = 0; //!< refused unless the engine has accepted this many orders
    std::string holder;
    std::uint64_t fence = 0;
};
std::string encodeOrder( const Order& order );

enum class OrderVerdict {
    underWay, //!< accepted and in progress
    holds,    //!< the model or adapter is already in the requested state
    conflict, //!< another order is in progress, or the sequence differs
    fenced,   //!< a higher fencing token was seen
    refused,  //!< malformed
    moved,    //!< the order was for another start of the engine process
    unknown,  //!< no response: the engine may carry out the order, also later
};
OrderVerdict orderVerdict( unsigned status );
//! The verdict's name in logs.
std::string_view nameOf( OrderVerdict verdict );
inline constexpr std::string_view reportPath = "/report";
inline constexpr std::string_view orderPath = "/order";
inline constexpr std::string_view readyPath = "/ready";

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED
