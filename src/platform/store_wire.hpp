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

//! Encoding of the store's calls and objects. Other systems also write to the store: an object that
//! can't be parsed is skipped, and the other objects of the response are used.
namespace coursehead::platform {

struct StoreObject {
    std::string name;
    std::uint64_t era = 0;      //!< era of the response that held the object
    std::uint64_t revision = 0; //!< revision of the last change
    std::uint64_t created = 0;  //!< revision of the creation
    std::string spec = "null";  //!< JSON text
    std::string problem;        //!< why the object can't be used; empty: it can
};
struct StorePage {
    std::vector<StoreObject> objects;
    bool more = false;
    std::string lastName;   //!< bytes of the last name on the page; empty if it has none
    std::string lastNumber; //!< the last name that is a number and no text; empty if there is none
    std::uint64_t revision = 0; //!< store revision at the time of the page
};
struct StoreEvent {
    StoreObject object;
    bool removed = false;
};
struct StoreEvents {
    std::vector<StoreEvent> events;
    std::uint64_t revision = 0; //!< start of the next watch
};
//! Evacuated halls: one object per hall, with the hall's name. Written by the operator.
inline constexpr std::string_view evacuationKind = "evacuations";

// Quarantined contents and prompt parts. Written by coursehead.

inline constexpr std::string_view quarantineKind = "quarantines";
//! Each quarantine is a separate object: a later quarantine of the same content has another name.
std::string quarantineName( const decide::Quarantine& quarantine );
//! The quarantine of a prompt part, with fingerprint and number, that an object's name stands for;
//! nullopt for any other object.
std::optional<decide::Quarantine> partQuarantineOf( std::string_view name );
//! The body of the call that creates a quarantine's object.
std::string encodeQuarantine( const decide::Quarantine& quarantine, WallMillis now );
//! Parses a quarantine. `holdMs` of the result is the remaining time, negative if the quarantine
//! has ended. On failure, `problem` holds the reason.
std::optional<decide::Quarantine> readQuarantine( const StoreObject& object, WallMillis now,
                                                  std::string& problem );

//! The body of the call that creates a copy of an object.
std::string encodeObject( const StoreObject& object );

//! Header with the number of times that the store was restored from a backup.
inline constexpr std::string_view eraHeader = "Store-Era";
//! Parses the value of that header; nullopt if it is not a whole number.
std::optional<std::uint64_t> readEra( std::string_view text );

//! How old the content of a listing may be.
enum class ListAge {
    now,
    secondsOld, //!< costs a tenth of a current listing, outside the store's rate limit
};
std::string listPath( std::string_view kind, std::string_view after, ListAge age );
std::string watchPath( std::string_view kind, std::uint64_t revision, Millis wait );
std::string objectPath( std::string_view kind, std::string_view name );
std::optional<StorePage> readPage( std::string_view json );
std::optional<StoreEvents> readEvents( std::string_view json );

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_STORE_WIRE_HPP_INCLUDED
