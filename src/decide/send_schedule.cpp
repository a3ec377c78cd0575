// SPDX-License-Identifier: BSL-1.0
#include "decide/send_schedule.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

constexpr Millis longestTurn{ 1000 };
//! A period beyond this is as good as never, and keeps the arithmetic within its range.
constexpr double longestPeriodMs = 24 * 3600 * 1000.0;
constexpr double millisPerSecond = 1000;

} // namespace

Millis SendSchedule::wait( double perS, MonoTime now ) const {
    const double periodMs =
        perS > 0 ? std::min( millisPerSecond / perS, longestPeriodMs ) : longestPeriodMs;
    const auto period = std::chrono::duration_cast<MonoTime::duration>(
        std::chrono::duration<double, std::milli>( periodMs ) );
    if( period <= longestTurn ) {
        return m_last ? remaining( now, *m_last + period ) : Millis{ 0 };
    }
    const auto shift = std::chrono::duration_cast<MonoTime::duration>( period * m_phase );
    const auto turn = ( now.time_since_epoch() + shift ) / period;
    const MonoTime begin( turn * period - shift );
    const bool unused = !m_last || *m_last < begin;
    if( unused && now - begin < longestTurn ) {
        return Millis{ 0 };
    }
    return std::max( remaining( now, begin + period ), Millis{ 1 } );
}

} // namespace coursehead::decide
