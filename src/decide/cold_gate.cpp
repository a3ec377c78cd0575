// SPDX-License-Identifier: BSL-1.0
#include "decide/cold_gate.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

//! Part of what a cold upstream may be sent: the rest covers what arrives closer together than it
//! was let through, and sends of gateways that reach nobody who counts.
constexpr double usedPart = 0.7;
constexpr double second = 1000;

} // namespace

double coldAllowance( const ColdRule& rule, double perS ) {
    return usedPart * ( perS * rule.over + rule.slack );
}

void ColdGate::noteCold( Millis left, MonoTime now ) {
    if( !isCold( now ) ) {
        m_since = now;
    }
    m_until = std::max( m_until, now + left );
}

//! One in each window, the first not at once: many who begin at the same moment would together let
//! as many through as they are.
Millis ColdGate::waitForSlot( Millis window, MonoTime now ) const {
    const auto shift = std::chrono::duration_cast<MonoTime::duration>( window * m_phase );
    const auto slotOf = [&]( MonoTime time ) {
        return ( time.time_since_epoch() + shift ) / window;
    };
    const auto last = m_taken.empty() ? m_since : std::max( m_since, m_taken.back() );
    if( slotOf( now ) > slotOf( last ) ) {
        return Millis{ 0 };
    }
    const MonoTime next( ( slotOf( last ) + 1 ) * window - shift );
    return std::max( remaining( now, next ), Millis{ 1 } );
}

Millis ColdGate::wait( double perS, MonoTime now ) {
    if( perS <= 0 || !isCold( now ) ) {
        return Millis{ 0 };
    }
    if( perS < 1 ) {
        return waitForSlot( Millis( static_cast<std::int64_t>( second / perS ) ), now );
    }
    const double count = std::floor( perS );
    constexpr Millis window{ static_cast<std::int64_t>( second ) };
    while( !m_taken.empty() && now - m_taken.front() >= window ) {
        m_taken.pop_front();
    }
    if( static_cast<double>( m_taken.size() ) < count ) {
        return Millis{ 0 };
    }
    return std::max( remaining( now, m_taken.front() + window ), Millis{ 1 } );
}

} // namespace coursehead::decide
