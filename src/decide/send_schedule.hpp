// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_SEND_SCHEDULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_SEND_SCHEDULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

namespace coursehead::decide {

/**
 * Schedule of one gateway's sends to an upstream while it can ask no process that counts for all
 * gateways. It is designed for hundreds of gateways that share an upstream with a rate of one
 * request a second. Each gateway may send once in a period whose length grows with the number of
 * gateways. If it could send at any time of the period, all gateways that were idle for a while
 * would send at once when a burst comes. A send window therefore lasts a second at most, and the
 * phase spreads the gateways' windows over the period.
 */
class SendSchedule {
public:
    //! `phase` in [0, 1) differs between gateways.
    explicit SendSchedule( double phase = 0 ) : m_phase( phase ) {}

    double phase() const noexcept { return m_phase; }
    //! Time until this gateway may send, at `perS` requests a second for it alone; 0: now.
    Millis wait( double perS, MonoTime now ) const;
    //! Counts a request that is sent now.
    void take( MonoTime now ) { m_last = now; }

private:
    double m_phase;
    std::optional<MonoTime> m_last;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_SEND_SCHEDULE_HPP_INCLUDED
