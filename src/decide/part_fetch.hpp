// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_PART_FETCH_HPP_INCLUDED
#define COURSEHEAD_DECIDE_PART_FETCH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

namespace coursehead::decide {

//! The links over which engines copy cached prompt parts to each other.
struct PartLink {
    double tokenBytes = 0; //!< size of a cached token; 0: nothing can be copied
    double linkMbps = 0;   //!< of each engine, in megabits a second; 0: nothing can be copied

    bool usable() const { return tokenBytes > 0 && linkMbps > 0; }
    bool operator==( const PartLink& ) const = default;
};

//! A prompt whose parts another engine has cached.
struct FetchOption {
    std::int64_t tokens = 0;     //!< cached there and not here
    double msPerToken = 0;       //!< reading time here, at this engine's speed
    Millis queuedTransfers{ 0 }; //!< until transfers that are already queued here have ended
    bool otherHall = false;      //!< the transfer takes twice as long
    bool recentFailure = false;  //!< a transfer between the two engines failed lately
};

//! Time to copy this number of tokens over the link.
Millis transferTime( const PartLink& link, const FetchOption& option );

//! True if copying the parts is clearly faster than reading them here.
bool shouldFetch( const PartLink& link, const FetchOption& option );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_PART_FETCH_HPP_INCLUDED
