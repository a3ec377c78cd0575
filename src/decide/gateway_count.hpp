// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_GATEWAY_COUNT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_GATEWAY_COUNT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::decide {

/**
 * How many gateways share what all of them may do together, as one of them knows it: the most that
 * any sidecar has seen connected within a while. A sidecar that has just started has seen one
 * gateway, or two; taken at its word, each gateway would use the share of all.
 */
class GatewayCount {
public:
    //! `assumed` until anybody has said anything; a larger number seen counts for `hold`.
    GatewayCount( int assumed, Millis hold ) : m_count( assumed ), m_hold( hold ) {}

    void setHold( Millis hold ) { m_hold = hold; }
    //! A sidecar sees so many; true when the count has changed by it.
    bool note( int seen, MonoTime now );
    int count() const noexcept { return m_count; }

private:
    int m_count;
    Millis m_hold;
    bool m_known = false;
    int m_since = 1; //!< the most seen since `m_at`
    MonoTime m_at;   //!< when as many as are counted were last seen
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_GATEWAY_COUNT_HPP_INCLUDED
