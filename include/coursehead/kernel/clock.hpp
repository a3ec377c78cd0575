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
 * The process's monotonic clock. Unlike the steady clock, it advances while the VM is suspended.
 * When the VM resumes, the age of a lease, a grant, a configuration or a rate window therefore
 * includes the time of the suspension.
 */
struct MonoClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonoClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name

    static time_point now() noexcept;
};
//! A time of MonoClock; not comparable between processes.
using MonoTime = MonoClock::time_point;
//! Milliseconds since the Unix epoch, as used in UUIDv7 keys and leases.
using WallMillis = std::int64_t;

//! The monotonic clock and the wall clock of a service.
struct Clock {
    std::function<MonoTime()> now;
    std::function<WallMillis()> wall;
};

//! The clocks of the operating system.
Clock systemClock();

//! Milliseconds from `from` to `to`; 0 if `to` is earlier.
inline Millis remaining( MonoTime from, MonoTime to ) noexcept {
    const auto left = std::chrono::duration_cast<Millis>( to - from );
    return left.count() > 0 ? left : Millis{ 0 };
}

//! Milliseconds from `from` to `to`; negative if `to` is earlier.
inline std::int64_t millisBetween( MonoTime from, MonoTime to ) noexcept {
    return std::chrono::duration_cast<Millis>( to - from ).count();
}

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_CLOCK_HPP_INCLUDED
