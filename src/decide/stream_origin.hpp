// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_STREAM_ORIGIN_HPP_INCLUDED
#define COURSEHEAD_DECIDE_STREAM_ORIGIN_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/**
 * Origins of streams: the software version of the upstream that began a stream. What two versions
 * write does not fit together, so a stream may only go on at the version that began it. The client
 * may resume at any gateway, also after the first one has ended, so each origin is kept by the
 * gateway that forwarded the first event, by some sidecars (its holders) and by other gateways.
 */
namespace coursehead::decide {

//! Identifies a stream: a hash of the id of the attempt that received its first event.
using StreamKey = std::uint64_t;

StreamKey streamKeyOf( std::string_view attemptId );

//! The upstreams that may continue a stream: those of one service and software version.
struct StreamVersion {
    std::string service;
    std::string version;

    bool operator==( const StreamVersion& ) const = default;
};

struct StreamOrigin {
    StreamKey key = 0;
    StreamVersion began;
    std::int64_t leftMs = 0; //!< time until the client's deadline
};

//! Origins that a gateway sends to a holder, or copies that a holder sends to gateways.
struct OriginUpdate {
    std::vector<StreamOrigin> origins;
    bool copy = false; //!< the holder sends copies to other gateways
};

//! Asks a holder for the origin of a stream.
struct OriginRequest {
    std::uint64_t number = 0; //!< identifies the request within its gateway; the answer repeats it
    StreamKey key = 0;
};

struct OriginAnswer {
    std::uint64_t number = 0;
    bool known = false;
    StreamVersion began;
    std::int64_t holderAgeMs = 0; //!< time since the start of the holder
};

//! Sidecars that an origin is sent to. Two: the loss of one loses none.
inline constexpr std::size_t originHolders = 2;
//! Sidecars that are asked for an origin: one more, since gateways may differ for a moment in which
//! sidecars they can reach.
inline constexpr std::size_t askedOriginHolders = 3;
//! Number of gateways that get a copy, of `others` beside the one that began the stream. In a small
//! fleet any gateway that is left has all origins; a large one rarely loses two at once.
constexpr std::size_t originCopies( std::size_t others ) {
    constexpr std::size_t smallFleet = 4;
    constexpr std::size_t copiesInLargeFleet = 2;
    return others <= smallFleet ? others : copiesInLargeFleet;
}

//! The `count` candidates that rank first for the key, as indices, by rendezvous hashing.
std::vector<std::size_t> rankedForStream( StreamKey key, std::span<const std::string_view> names,
                                          std::size_t count );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_STREAM_ORIGIN_HPP_INCLUDED
