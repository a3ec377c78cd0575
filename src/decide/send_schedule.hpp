// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_SEND_SCHEDULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_SEND_SCHEDULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

namespace coursehead::decide {

/**
 * One gateway's turns to send where it can ask nobody who counts for all. The load that this
 * answers: hundreds of gateways before an upstream that takes one request a second. Each may send
 * once in a period that is as long as they are many; were that at any moment of the period, all
 * that had nothing to send for a while would send at once when a burst comes. So a turn lasts a
 * second at most, and the phase parts the gateways' turns.
 */
class SendSchedule {
public:
    //! `phase` in [0, 1) is the gateway's own.
    explicit SendSchedule( double phase = 0 ) : m_phase( phase ) {}

    double phase() const noexcept { return m_phase; }
    //! Until this gateway may send, at `perS` requests a second of its own; 0: now.
    Millis wait( double perS, MonoTime now ) const;
    //! Counts a send.
    void take( MonoTime now ) { m_last = now; }

private:
    double m_phase;
    std::optional<MonoTime> m_last;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_SEND_SCHEDULE_HPP_INCLUDED
