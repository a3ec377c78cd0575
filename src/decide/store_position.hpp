// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_STORE_POSITION_HPP_INCLUDED
#define COURSEHEAD_DECIDE_STORE_POSITION_HPP_INCLUDED

#include <compare>
#include <cstdint>

//! Positions in the store's history. The store may be restored from an older copy, after which its
//! history continues from that copy.
namespace coursehead::decide {

/**
 * A revision is unique only together with its era: a store that is restored from a copy assigns
 * revisions again. The era counts the restores; it is 0 if the store does not report one.
 */
struct StorePosition {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>( const StorePosition& ) const = default;
};

/**
 * A fencing token that rises with the store's history. A token made of the revision alone would be
 * lower after the store was restored from a copy, and orders with it would be refused.
 */
inline std::uint64_t fencingToken( StorePosition position ) noexcept {
    constexpr int revisionBits = 32;
    return ( position.era << revisionBits ) + position.revision;
}

//! Fencing token of a deployment's first start, lower than that of any later start.
inline constexpr std::uint64_t firstFencingToken = 1;

//! Relation of a received position to the position up to which the receiver knows everything.
enum class Continuity {
    follows,      //!< continues the known history
    former,       //!< older than the known position
    otherHistory, //!< the store was restored from a copy: only a complete snapshot shows the
                  //!< current state
};

inline Continuity continuityOf( StorePosition known, StorePosition received ) noexcept {
    if( received < known ) {
        return Continuity::former;
    }
    return received.era == known.era ? Continuity::follows : Continuity::otherHistory;
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_STORE_POSITION_HPP_INCLUDED
