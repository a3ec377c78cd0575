// SPDX-License-Identifier: BSL-1.0
#include "decide/cold_gate.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

//! Part of the allowed rate that is used. The rest covers requests that arrive closer together than
//! they were sent, and sends of gateways that can't reach a process that counts them.
constexpr double usedPart = 0.7;
constexpr Millis window{ 1000 };

} // namespace

double coldAllowance( const ColdRule& rule, double perS ) {
    return usedPart * ( perS * rule.over + rule.slack );
}

void ColdGate::noteCold( Millis left, MonoTime now ) {
    m_until = std::max( m_until, now + left );
}

void ColdGate::take( MonoTime now ) {
    forgetOld( now );
    m_taken.push_back( now );
    m_turns.take( now );
}

void ColdGate::forgetOld( MonoTime now ) {
    while( !m_taken.empty() && now - m_taken.front() >= window ) {
        m_taken.pop_front();
    }
}

Millis ColdGate::wait( double perS, MonoTime now ) {
    if( perS <= 0 || !isCold( now ) ) {
        return Millis{ 0 };
    }
    if( perS < 1 ) {
        return m_turns.wait( perS, now );
    }
    const double count = std::floor( perS );
    forgetOld( now );
    if( static_cast<double>( m_taken.size() ) < count ) {
        return Millis{ 0 };
    }
    return std::max( remaining( now, m_taken.front() + window ), Millis{ 1 } );
}

} // namespace coursehead::decide
