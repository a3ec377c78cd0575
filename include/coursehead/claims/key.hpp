// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CLAIMS_KEY_HPP_INCLUDED
#define COURSEHEAD_CLAIMS_KEY_HPP_INCLUDED

#include "coursehead/config/state.hpp"
#include "coursehead/kernel/clock.hpp"
#include "coursehead/kernel/random.hpp"

#include <optional>
#include <string>
#include <string_view>

//! Idempotency keys: UUIDs of version 7 (RFC 9562), which contain the time of their creation.
namespace coursehead::claims {

//! Number of slots that keys are hashed to; each slot is owned by one agent.
inline constexpr std::uint32_t slotCount = 256;

//! The time in a UUIDv7, in milliseconds since the Unix epoch; empty when `key` is not a UUIDv7.
std::optional<WallMillis> keyTime( std::string_view key );
//! The slot that a key belongs to, independent of the case of its letters.
std::uint32_t slotOf( std::string_view key );
//! The VM that owns the slot; empty when the slot has no owner.
std::string_view ownerOf( const config::State& state, std::uint32_t slot );
//! Creates a new UUIDv7.
std::string makeKey( WallMillis now, RandomSource& random );
//! Hash of method, path and body, to tell a retry from a different request under the same key.
std::string fingerprint( std::string_view method, std::string_view path, std::string_view body );

} // namespace coursehead::claims

#endif // COURSEHEAD_CLAIMS_KEY_HPP_INCLUDED
