// SPDX-License-Identifier: BSL-1.0
#include "decide/body_room.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Share of the vm's memory: the answers that wait for their clients have an eighth, the process
//! and what the system's allocator keeps the rest.
constexpr std::uint64_t memoryShare = 3;
constexpr std::uint64_t memoryShareDivisor = 8;
//! Large bodies leave a quarter of the room to small ones.
constexpr std::uint64_t largeShare = 3;
constexpr std::uint64_t largeShareDivisor = 4;
constexpr std::uint64_t largestSmallBody = 64U << 10U;

constexpr double holdWeight = 0.1;
//! An earlier return meets the same bodies, a later one an idle gateway.
constexpr Millis shortestReturn{ 300 };
constexpr Millis longestReturn{ 5000 };

} // namespace

BodyLimits bodyLimits( std::uint64_t memoryBytes ) {
    BodyLimits out;
    out.totalBytes = memoryBytes / memoryShareDivisor * memoryShare;
    out.largeBytes = out.totalBytes / largeShareDivisor * largeShare;
    return out;
}

bool BodyRoom::isLarge( std::uint64_t bytes ) noexcept {
    return bytes > largestSmallBody;
}

bool BodyRoom::take( std::uint64_t before, std::uint64_t more ) {
    const auto bytes = before + more;
    const auto largeBefore = isLarge( before ) ? before : 0;
    const auto largeNow = isLarge( bytes ) ? bytes : 0;
    const auto largeOfOthers = m_largeBytes - largeBefore;
    if( m_limits.totalBytes > 0 ) {
        const bool alone = largeOfOthers == 0 && isLarge( bytes );
        const bool largeFits = !isLarge( bytes ) || largeOfOthers + bytes <= m_limits.largeBytes;
        const bool fits = largeFits && m_heldBytes + more <= m_limits.totalBytes;
        if( !fits && !alone ) {
            return false;
        }
    }
    m_heldBytes += more;
    m_largeBytes = largeOfOthers + largeNow;
    return true;
}

void BodyRoom::free( std::uint64_t bytes, Millis heldFor ) {
    m_heldBytes -= bytes;
    if( isLarge( bytes ) ) {
        m_largeBytes -= bytes;
        const auto ms = static_cast<double>( heldFor.count() );
        m_usualHoldMs += ( ms - m_usualHoldMs ) * holdWeight;
    }
}

Millis BodyRoom::retryAfter( std::uint64_t bytes ) const {
    const auto held = static_cast<double>( std::max<std::uint64_t>( m_heldBytes, 1 ) );
    const auto share = std::min( static_cast<double>( bytes ) / held, 1.0 );
    const Millis out( static_cast<std::int64_t>( m_usualHoldMs * share ) );
    return std::clamp( out, shortestReturn, longestReturn );
}

} // namespace coursehead::decide
