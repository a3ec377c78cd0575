// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_GATEWAY_COUNT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_GATEWAY_COUNT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::decide {

/**
 * Number of gateways that share a common allowance, as one gateway knows it: the largest number of
 * connected gateways that any sidecar has reported within the hold time. The maximum is needed
 * because a sidecar that has just started sees only one or two gateways; with its number, each
 * gateway would use the share of all.
 */
class GatewayCount {
public:
    //! `assumed` is used until the first report; a larger reported number is kept for `hold`.
    GatewayCount( int assumed, Millis hold ) : m_count( assumed ), m_hold( hold ) {}

    void setHold( Millis hold ) { m_hold = hold; }
    //! A sidecar reports `seen` connected gateways; true when this changes the count.
    bool note( int seen, MonoTime now );
    int count() const noexcept { return m_count; }

private:
    int m_count;
    Millis m_hold;
    bool m_known = false;
    int m_maxSeen = 1;      //!< largest number reported since `m_countSeenAt`
    MonoTime m_countSeenAt; //!< when the current count was last reported
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_GATEWAY_COUNT_HPP_INCLUDED
