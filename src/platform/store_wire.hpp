// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_STORE_WIRE_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_STORE_WIRE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/poison.hpp"
#include "decide/store_position.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! The store's calls and objects. Others write to the store too: an object that can't be read is
//! left out, and those beside it hold.
namespace coursehead::platform {

struct StoreObject {
    std::string name;
    std::uint64_t era = 0;      //!< of the answer that it came with
    std::uint64_t revision = 0; //!< of the last change
    std::uint64_t created = 0;  //!< revision at which it was made
    std::string spec;           //!< JSON text
};
struct StorePage {
    std::vector<StoreObject> objects;
    bool more = false;
    std::uint64_t revision = 0; //!< of the store, at the time of the page
};
struct StoreEvent {
    StoreObject object;
    bool removed = false;
};
struct StoreEvents {
    std::vector<StoreEvent> events;
    std::uint64_t revision = 0; //!< where the next watch goes on
};
//! Halls that are emptied: an object each, named like the hall. The operator's.
inline constexpr std::string_view evacuationKind = "evacuations";

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

//! The body of a call that makes an object of what one had.
std::string encodeObject( const StoreObject& object );

//! Header in which the store says how often it has come back from a copy.
inline constexpr std::string_view eraHeader = "Store-Era";
//! Reads that header; nullopt when it is no whole number.
std::optional<std::uint64_t> readEra( std::string_view text );

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

#endif // COURSEHEAD_PLATFORM_STORE_WIRE_HPP_INCLUDED
