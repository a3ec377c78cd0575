// SPDX-License-Identifier: BSL-1.0
#include "decide/accept_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

//! Lower than the load at which requests are refused, so that connections are refused first.
constexpr double highLoad = 0.8;
constexpr double lowLoad = 0.6;
//! After a high load the rate is cut as if the load were proportional to it, to reach this load.
constexpr double wantedLoad = 0.7;
//! The event loop's delay grows faster than the rate: a cut is never deeper than this.
constexpr double deepestCut = 0.4;
//! The rate grows by this factor a second, and by this many connections a second, each second.
constexpr double growthPerS = 1.2;
constexpr double addedPerS = 2;
constexpr double minPerS = 2;
//! Connections that come at once are accepted as far as the rate allows within this time.
constexpr double burstS = 0.2;
//! The platform's load balancer expects an accepted connection within the contact time.
constexpr Millis maxPause{ 1000 };
constexpr Millis timeToEnd{ 2000 };
constexpr double longestStepS = 1;
constexpr double refusingShareS = 3;
constexpr double mostOfTheTime = 0.5;

} // namespace

bool othersHaveRoom( const GatewaysSeen& seen ) {
    return seen.connected > seen.sidecars && 2 * seen.atCapacity <= seen.connected;
}

void AcceptLimiter::adaptRate( double load, double seconds, MonoTime now ) {
    if( load >= highLoad ) {
        if( !m_overloaded ) {
            const double before = m_limits ? m_perS : m_acceptedPerS;
            m_perS = std::max( minPerS, before * std::max( deepestCut, wantedLoad / load ) );
        }
        m_overloaded = true;
        m_limits = true;
        m_allowance = 0;
        m_usedUpAt = now;
        return;
    }
    m_overloaded = m_overloaded && load >= lowLoad;
    if( m_overloaded || !m_limits ) {
        return;
    }
    m_perS = m_perS * std::pow( growthPerS, seconds ) + addedPerS * seconds;
    const double most = std::max( 1.0, m_perS * burstS );
    m_allowance = std::min( most, m_allowance + m_perS * seconds );
    m_limits = now - m_usedUpAt < timeToEnd;
}

bool AcceptLimiter::note( double load, bool mayRefuse, MonoTime now ) {
    const bool first = m_notedAt == MonoTime{};
    const std::chrono::duration<double> passed = first ? MonoClock::duration{} : now - m_notedAt;
    const double seconds = std::min( passed.count(), longestStepS );
    m_notedAt = now;
    if( seconds > 0 ) {
        m_acceptedPerS += ( m_accepted / seconds - m_acceptedPerS ) * seconds;
    }
    m_accepted = 0;
    const double refusing = m_limits && m_allowance < 1 ? 1 : 0;
    m_refusingShare += ( refusing - m_refusingShare ) * seconds / refusingShareS;
    const bool before = m_limits;
    if( mayRefuse ) {
        adaptRate( load, seconds, now );
    } else {
        m_limits = false;
        m_overloaded = false;
    }
    return m_limits != before;
}

void AcceptLimiter::noteAccepted( MonoTime now ) {
    ++m_accepted;
    m_lastAcceptedAt = now;
    m_allowance = std::max( 0.0, m_allowance - 1 );
    if( m_allowance < 1 ) {
        m_usedUpAt = now;
    }
}

bool AcceptLimiter::atCapacity() const noexcept {
    return m_limits && m_refusingShare >= mostOfTheTime;
}

bool AcceptLimiter::mayAccept( MonoTime now ) const noexcept {
    return !m_limits || m_allowance >= 1 || now - m_lastAcceptedAt >= maxPause;
}

} // namespace coursehead::decide
