// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_RETURN_TIME_HPP_INCLUDED
#define COURSEHEAD_DECIDE_RETURN_TIME_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

//! When a refused client is told to return. Designed for many clients that are refused within the
//! same moment and would otherwise all return in the same moment.
namespace coursehead::decide {

//! What is known when a request is refused.
struct RefusalTimes {
    Millis earliest{ 0 };            //!< until the first engine could serve it
    Millis clientLeft{ 0 };          //!< until the client's deadline
    std::optional<Millis> placeHeld; //!< a place is held from `earliest` on for this long
};

//! The time to tell the client; nullopt: it would not wait that long, so a return is of no use.
//! `randomUnit` is a random number, uniform in [0, 1).
std::optional<Millis> returnTime( const RefusalTimes& times, double randomUnit );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_RETURN_TIME_HPP_INCLUDED
