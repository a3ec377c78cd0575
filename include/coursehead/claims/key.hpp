// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CLAIMS_KEY_HPP_INCLUDED
#define COURSEHEAD_CLAIMS_KEY_HPP_INCLUDED

#include "coursehead/config/state.hpp"
#include "coursehead/kernel/clock.hpp"
#include "coursehead/kernel/random.hpp"

#include <optional>
#include <string>
#include <string_view>

//! Idempotency keys: UUIDs of version 7 (RFC 9562), which carry the time they were made.
namespace coursehead::claims {

//! Slots that keys are spread over; each has one owner among the agents.
inline constexpr std::uint32_t slotCount = 256;

//! The time in a UUIDv7, in milliseconds since the Unix epoch; empty when the text is not one.
std::optional<WallMillis> keyTime( std::string_view key );
//! The slot a key belongs to.
std::uint32_t slotOf( std::string_view key );
//! The VM that owns the slot; empty when it has none.
std::string_view ownerOf( const config::State& state, std::uint32_t slot );
//! A fresh UUIDv7.
std::string makeKey( WallMillis now, RandomSource& random );
//! Hash of what a request asks for, to tell a retry from a different request under the same key.
std::string fingerprint( std::string_view method, std::string_view path, std::string_view body );

} // namespace coursehead::claims

#endif // COURSEHEAD_CLAIMS_KEY_HPP_INCLUDED
