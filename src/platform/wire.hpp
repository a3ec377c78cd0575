// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED

#include "decide/poison.hpp"
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

// The store.

struct StoreObject {
    std::string name;
    std::uint64_t revision = 0; //!< of the last change
    std::uint64_t created = 0;  //!< revision at which it was made
    std::string spec;           //!< JSON text
};
struct StorePage {
    std::vector<StoreObject> objects;
    bool more = false;
    std::uint64_t revision = 0; //!< of the store, at the time of the listing
};
struct StoreEvent {
    StoreObject object;
    bool removed = false;
};
struct StoreEvents {
    std::vector<StoreEvent> events;
    std::uint64_t revision = 0; //!< where the next watch goes on
};
// Quarantined contents, objects of the product's own.

inline constexpr std::string_view quarantineKind = "quarantines";
//! Each quarantine is an object of its own: a later one of the same content has another name.
std::string quarantineName( const decide::Quarantine& quarantine );
//! The body of a call that makes the object.
std::string encodeQuarantine( const decide::Quarantine& quarantine, WallMillis now );
//! What is left of a quarantine; `holdMs` is negative when it has ended. The reason why it can't be
//! read in `problem`.
std::optional<decide::Quarantine> readQuarantine( const StoreObject& object, WallMillis now,
                                                  std::string& problem );

//! How a listing may be answered.
enum class ListAge {
    now,
    secondsOld, //!< at a tenth of the price, outside the store's rate
};
std::string listPath( std::string_view kind, std::string_view after, ListAge age );
std::string watchPath( std::string_view kind, std::uint64_t revision, Millis wait );
std::string objectPath( std::string_view kind, std::string_view name );
std::optional<StorePage> readPage( std::string_view json );
std::optional<StoreEvents> readEvents( std::string_view json );

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_WIRE_HPP_INCLUDED
