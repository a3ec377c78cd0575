// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LOAD_WAITERS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LOAD_WAITERS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::decide {

//! A prompt that waited for a load which is now complete.
struct LoadWaiter {
    MonoTime goalBy;  //!< latest start for an answer in time
    MonoTime startBy; //!< a later start would be of no use
};

//! True if the prompt `a` is let in before `b`. Designed for many prompts that waited for one load:
//! those that can still be in time go first, the most pressing of them before the others.
constexpr bool goesBefore( const LoadWaiter& a, const LoadWaiter& b, MonoTime now ) {
    const bool inTime = a.goalBy >= now;
    if( inTime != ( b.goalBy >= now ) ) {
        return inTime;
    }
    return inTime ? a.goalBy < b.goalBy : a.startBy < b.startBy;
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LOAD_WAITERS_HPP_INCLUDED
