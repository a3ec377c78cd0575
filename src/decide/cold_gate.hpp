// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_COLD_GATE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_COLD_GATE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/send_schedule.hpp"

#include <deque>

namespace coursehead::decide {

//! What an upstream bears while it is cold, over all gateways together.
struct ColdRule {
    double over = 0;  //!< factor on the service's rate that may be reached
    double slack = 0; //!< requests a second on top

    bool inForce() const noexcept { return over > 0 || slack > 0; }
};

//! Requests a second that are let through to a cold upstream of a service that says it bears
//! `perS`; 0 when no rule is in force. A part of what is allowed: requests that are let through a
//! second apart may arrive closer together.
double coldAllowance( const ColdRule& rule, double perS );

/**
 * Lets no more requests through to a cold upstream than it bears. The load that this answers: a
 * hall whose engines all come back cold and with nothing queued, which every gateway then prefers.
 */
class ColdGate {
public:
    //! `phase` in [0, 1) parts those who each let less than one request a second through.
    explicit ColdGate( double phase = 0 ) : m_turns( phase ) {}

    double phase() const noexcept { return m_turns.phase(); }
    //! The upstream stays cold for this much longer; what was known to last longer holds.
    void noteCold( Millis left, MonoTime now );
    bool isCold( MonoTime now ) const { return now < m_until; }
    //! What is left of it.
    Millis left( MonoTime now ) const { return remaining( now, m_until ); }
    //! Until another request may be let through, at `perS` requests a second; 0: at once.
    Millis wait( double perS, MonoTime now );
    //! Counts a request that is let through.
    void take( MonoTime now );

private:
    void forgetOld( MonoTime now );

    SendSchedule m_turns; //!< at less than one request a second
    MonoTime m_until;
    std::deque<MonoTime> m_taken; //!< within the last window
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_COLD_GATE_HPP_INCLUDED
