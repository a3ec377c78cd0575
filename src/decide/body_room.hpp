// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_BODY_ROOM_HPP_INCLUDED
#define COURSEHEAD_DECIDE_BODY_ROOM_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

/**
 * Room in a gateway's memory for the bodies of clients' requests. A body is held from its first
 * byte until nothing can send it again, for seconds if an upstream is slow. Without a bound a burst
 * of large bodies ends the process, and with it every request that it has accepted.
 */
namespace coursehead::decide {

//! Bounds on the bytes of request bodies that a gateway holds; 0: not bounded.
struct BodyLimits {
    std::uint64_t totalBytes = 0;
    std::uint64_t largeBytes = 0; //!< for large bodies; the rest is kept for small ones
};

//! Limits of a gateway whose vm has `memoryBytes`; 0: not stated.
BodyLimits bodyLimits( std::uint64_t memoryBytes );

//! Counts the bytes of request bodies that a gateway holds.
class BodyRoom {
public:
    void setLimits( const BodyLimits& limits ) { m_limits = limits; }
    const BodyLimits& limits() const noexcept { return m_limits; }

    //! Reserves `more` bytes for a body of which `before` are reserved. False if there is no room.
    //! A large body alone is always taken: otherwise one beyond the bound could never be served.
    bool take( std::uint64_t before, std::uint64_t more );
    //! Frees the `bytes` of one body, of which the first were reserved for `heldFor`.
    void free( std::uint64_t bytes, Millis heldFor );

    std::uint64_t heldBytes() const noexcept { return m_heldBytes; }
    //! Whether a body is large: it waits for room behind others.
    static bool isLarge( std::uint64_t bytes ) noexcept;
    //! When there may be room again for a body of `bytes`: by how long bodies were held lately.
    Millis retryAfter( std::uint64_t bytes ) const;

private:
    BodyLimits m_limits;
    std::uint64_t m_heldBytes = 0;
    std::uint64_t m_largeBytes = 0;
    double m_usualHoldMs = 1000; //!< of large bodies
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_BODY_ROOM_HPP_INCLUDED
