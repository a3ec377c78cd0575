// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_ORGANISATION_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_ORGANISATION_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! Who requests come from: organisations, their keys, and what they may ask for.
namespace coursehead::gateway {

/**
 * SHA-256 of a client's key. Keys are kept and compared in this form alone: it can stand in memory
 * and messages without giving a key away, and how long a comparison takes tells nothing of one.
 */
struct KeyDigest {
    static constexpr std::size_t size = 32;
    std::array<std::uint8_t, size> bytes{};

    bool operator==( const KeyDigest& ) const = default;
};

KeyDigest digestOf( std::string_view key );

//! For hash tables: a digest's first bytes are as good a hash as any.
struct KeyDigestHash {
    std::size_t operator()( const KeyDigest& digest ) const noexcept {
        std::size_t out = 0;
        std::memcpy( &out, digest.bytes.data(), sizeof out );
        return out;
    }
};

//! What a quota counts.
enum class QuotaUnit { requests, tokens };

//! How much an organisation may ask for, over all gateways together.
struct QuotaLimit {
    double perS = 0;  //!< units a second; 0: no limit
    double burst = 0; //!< units on top
    QuotaUnit unit = QuotaUnit::requests;
    std::int64_t defaultTokens = 0; //!< what a request counts that does not say its tokens

    bool operator==( const QuotaLimit& ) const = default;
    bool limited() const noexcept { return perS > 0; }
};

//! What a request takes from its organisation's quota; `tokens` as the request says them.
double chargeOf( const QuotaLimit& limit, std::optional<std::int64_t> tokens );

struct Organisation {
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<int> priority; //!< takes the place of the routes' own; 0 is the highest
    QuotaLimit limit;
    std::vector<std::string>
        homeRegions; //!< its requests are served in these only; empty: anywhere
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_ORGANISATION_HPP_INCLUDED
