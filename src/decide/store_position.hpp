// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_STORE_POSITION_HPP_INCLUDED
#define COURSEHEAD_DECIDE_STORE_POSITION_HPP_INCLUDED

#include <compare>
#include <cstdint>

//! Positions in the store's history, which may break off and go on from an older copy.
namespace coursehead::decide {

/**
 * A revision is worth nothing without its era: a store that comes back from a copy gives revisions
 * out again. Eras count how often it did; 0 where a store doesn't say.
 */
struct StorePosition {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>( const StorePosition& ) const = default;
};

/**
 * A fencing token that rises with the store's history: one taken from the revision alone would be
 * lower after the store has come back from a copy, and orders with it refused.
 */
inline std::uint64_t fencingToken( StorePosition position ) noexcept {
    constexpr int revisionBits = 32;
    return ( position.era << revisionBits ) + position.revision;
}

//! For a deployment's first start: lower than what any later start is given.
inline constexpr std::uint64_t firstFencingToken = 1;

//! What is told at a position to somebody who knows everything up to another.
enum class Continuity {
    follows,      //!< it goes on from what is known
    former,       //!< it is older than what is known
    otherHistory, //!< the store has come back from a copy: only the whole says what holds
};

inline Continuity continuityOf( StorePosition known, StorePosition told ) noexcept {
    if( told < known ) {
        return Continuity::former;
    }
    return told.era == known.era ? Continuity::follows : Continuity::otherHistory;
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_STORE_POSITION_HPP_INCLUDED
