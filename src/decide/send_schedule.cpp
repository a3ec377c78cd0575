// SPDX-License-Identifier: BSL-1.0
#include "decide/send_schedule.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

constexpr Millis sendWindow{ 1000 };
//! Longer periods are cut to this, so that the arithmetic does not overflow.
constexpr double maxPeriodMs = 24 * 3600 * 1000.0;
constexpr double millisPerSecond = 1000;

} // namespace

Millis SendSchedule::wait( double perS, MonoTime now ) const {
    const double periodMs =
        perS > 0 ? std::min( millisPerSecond / perS, maxPeriodMs ) : maxPeriodMs;
    const auto period = std::chrono::duration_cast<MonoTime::duration>(
        std::chrono::duration<double, std::milli>( periodMs ) );
    if( period <= sendWindow ) {
        return m_last ? remaining( now, *m_last + period ) : Millis{ 0 };
    }
    const auto phaseShift = std::chrono::duration_cast<MonoTime::duration>( period * m_phase );
    const auto periodIndex = ( now.time_since_epoch() + phaseShift ) / period;
    const MonoTime periodStart( periodIndex * period - phaseShift );
    const bool unused = !m_last || *m_last < periodStart;
    if( unused && now - periodStart < sendWindow ) {
        return Millis{ 0 };
    }
    return std::max( remaining( now, periodStart + period ), Millis{ 1 } );
}

} // namespace coursehead::decide
