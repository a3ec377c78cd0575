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

//! Organisations that send requests, their keys and their quotas.
namespace coursehead::gateway {

/**
 * SHA-256 of a client's key. Keys are stored and compared only in this form: a digest in memory or
 * in a message does not reveal the key, and neither does the time that a comparison takes.
 */
struct KeyDigest {
    static constexpr std::size_t size = 32;
    std::array<std::uint8_t, size> bytes{};

    bool operator==( const KeyDigest& ) const = default;
};

KeyDigest digestOf( std::string_view key );

//! Hash for unordered containers: the first bytes of a digest are uniformly distributed.
struct KeyDigestHash {
    std::size_t operator()( const KeyDigest& digest ) const noexcept {
        std::size_t out = 0;
        std::memcpy( &out, digest.bytes.data(), sizeof out );
        return out;
    }
};

//! The unit that a quota counts.
enum class QuotaUnit { requests, tokens };

//! Rate limit of an organisation, over all gateways together.
struct QuotaLimit {
    double perS = 0;  //!< units a second; 0: unlimited
    double burst = 0; //!< units that may be used at once beyond the rate
    QuotaUnit unit = QuotaUnit::requests;
    std::int64_t defaultTokens = 0; //!< tokens charged to a request that does not state them

    bool operator==( const QuotaLimit& ) const = default;
    bool limited() const noexcept { return perS > 0; }
};

//! Units that a request uses of its organisation's quota; `tokens` as stated by the request.
double chargeOf( const QuotaLimit& limit, std::optional<std::int64_t> tokens );

struct Organisation {
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<int> priority; //!< overrides the routes' priority; 0 is the highest
    QuotaLimit limit;
    //! The organisation's requests are served in these regions only; empty: anywhere.
    std::vector<std::string> homeRegions;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_ORGANISATION_HPP_INCLUDED
