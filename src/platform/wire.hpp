// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED

#include "gateway/model.hpp"
#include "platform/node_settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! The platform's messages: decoded into the product's types, and encoded from them.
namespace coursehead::platform {

// Configuration and the list of upstreams.

//! The objects that the operator and the upstreams write.
inline constexpr std::string_view configurationKind = "config";
inline constexpr std::string_view configurationName = "main";
inline constexpr std::string_view upstreamKind = "servers";

//! Reads a configuration; the reason why not in `problem`.
std::optional<gateway::Configuration> readConfiguration( std::string_view json,
                                                         std::string& problem );
//! Reads an upstream's entry; the reason why not in `problem`.
std::optional<gateway::Upstream> readUpstream( std::string_view id, std::string_view json,
                                               std::string& problem );

// Engines.

//! Reads an engine's report of itself.
std::optional<gateway::EngineReport> readEngineReport( std::string_view json );

enum class OrderKind { load, unload };
//! An order to an engine; for an adapter when `adapter` is not empty.
struct Order {
    OrderKind kind = OrderKind::load;
    std::string model;
    std::string adapter;
    std::uint64_t expectedSequence = 0; //!< refused unless this many orders were taken before
    std::string holder;
    std::uint64_t fence = 0;
};
std::string encodeOrder( const Order& order );

enum class OrderVerdict {
    underWay, //!< taken, being carried out
    holds,    //!< done already
    conflict, //!< another order is under way, or the sequence differs
    fenced,   //!< a higher fencing token was seen
    refused,  //!< malformed
    moved,    //!< meant for another start of the engine
    unknown,  //!< no answer: it may be carried out, also later
};
OrderVerdict orderVerdict( unsigned status );
//! The verdict's name in logs.
std::string_view nameOf( OrderVerdict verdict );
inline constexpr std::string_view reportPath = "/report";
inline constexpr std::string_view orderPath = "/order";
inline constexpr std::string_view readyPath = "/ready";

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED
