// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_COLD_GATE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_COLD_GATE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/send_schedule.hpp"

#include <deque>

namespace coursehead::decide {

//! Rate that a cold upstream can serve, for all gateways together.
struct ColdRule {
    double over = 0;  //!< factor on the service's rate for cold upstreams that may be reached
    double slack = 0; //!< requests a second in addition

    bool inForce() const noexcept { return over > 0 || slack > 0; }
};

//! Requests a second that all gateways together send to a cold upstream; `perS` is the rate that
//! its service declares for cold upstreams. 0 when no rule is in force. This is only part of the
//! allowed rate, because requests that are sent a second apart may arrive closer together.
double coldAllowance( const ColdRule& rule, double perS );

/**
 * Limits the rate of requests to a cold upstream to what it can serve. It is designed for a hall
 * whose engines all restart: they are cold and have empty queues, so that every gateway prefers
 * them.
 */
class ColdGate {
public:
    //! `phase` in [0, 1) differs between gateways: it spreads the sends of gateways that each may
    //! send less than one request a second.
    explicit ColdGate( double phase = 0 ) : m_schedule( phase ) {}

    double phase() const noexcept { return m_schedule.phase(); }
    //! The upstream stays cold for this much longer; a later end that is already known is kept.
    void noteCold( Millis left, MonoTime now );
    bool isCold( MonoTime now ) const { return now < m_coldUntil; }
    //! Remaining cold time.
    Millis left( MonoTime now ) const { return remaining( now, m_coldUntil ); }
    //! Time until another request may be sent, at `perS` requests a second; 0: now.
    Millis wait( double perS, MonoTime now );
    //! Counts a request that is sent now.
    void take( MonoTime now );

private:
    void dropOldSends( MonoTime now );

    SendSchedule m_schedule; //!< used below one request a second
    MonoTime m_coldUntil;
    std::deque<MonoTime> m_recentSends; //!< sends within the last window
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_COLD_GATE_HPP_INCLUDED
