// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_CLOCK_HPP_INCLUDED
#define COURSEHEAD_KERNEL_CLOCK_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <functional>

//! Time sources. Decisions take times as arguments; services take a Clock, so tests can inject one.
namespace coursehead {

using Millis = std::chrono::milliseconds;

/**
 * The process's monotonic clock. It goes on while the VM is suspended, as the steady clock does
 * not: what was true for seconds before is judged by its true age when the process wakes, be it a
 * lease, a grant, a configuration or a window of a rate.
 */
struct MonoClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonoClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard's

    static time_point now() noexcept;
};
//! A point on that clock; never compared between processes.
using MonoTime = MonoClock::time_point;
//! Milliseconds since the Unix epoch, as published in UUIDv7 keys and leases.
using WallMillis = std::int64_t;

//! The two clocks a service may read.
struct Clock {
    std::function<MonoTime()> now;
    std::function<WallMillis()> wall;
};

//! The machine's clocks.
Clock systemClock();

//! Milliseconds from `from` until `to`, never negative.
inline Millis remaining( MonoTime from, MonoTime to ) noexcept {
    const auto left = std::chrono::duration_cast<Millis>( to - from );
    return left.count() > 0 ? left : Millis{ 0 };
}

//! Milliseconds from `from` to `to`; negative when `to` is the earlier.
inline std::int64_t millisBetween( MonoTime from, MonoTime to ) noexcept {
    return std::chrono::duration_cast<Millis>( to - from ).count();
}

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_CLOCK_HPP_INCLUDED
