// SPDX-License-Identifier: BSL-1.0
#include "decide/cold_gate.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

//! Part of the allowed rate that is used. The rest covers requests that arrive closer together than
//! they were sent, and sends of gateways that can't reach a process that counts them.
constexpr double usedFraction = 0.7;
constexpr Millis rateWindow{ 1000 };

} // namespace

double coldAllowance( const ColdRule& rule, double perS ) {
    return usedFraction * ( perS * rule.over + rule.slack );
}

void ColdGate::noteCold( Millis left, MonoTime now ) {
    m_coldUntil = std::max( m_coldUntil, now + left );
}

void ColdGate::take( MonoTime now ) {
    dropOldSends( now );
    m_recentSends.push_back( now );
    m_schedule.take( now );
}

void ColdGate::dropOldSends( MonoTime now ) {
    while( !m_recentSends.empty() && now - m_recentSends.front() >= rateWindow ) {
        m_recentSends.pop_front();
    }
}

Millis ColdGate::wait( double perS, MonoTime now ) {
    if( perS <= 0 || !isCold( now ) ) {
        return Millis{ 0 };
    }
    if( perS < 1 ) {
        return m_schedule.wait( perS, now );
    }
    const double count = std::floor( perS );
    dropOldSends( now );
    if( static_cast<double>( m_recentSends.size() ) < count ) {
        return Millis{ 0 };
    }
    return std::max( remaining( now, m_recentSends.front() + rateWindow ), Millis{ 1 } );
}

} // namespace coursehead::decide
