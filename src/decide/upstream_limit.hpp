// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_UPSTREAM_LIMIT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_UPSTREAM_LIMIT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

namespace coursehead::decide {

/**
 * Known limit of one start of an upstream: the requests a second that it accepts from all gateways
 * together, for as long as its answers name the limit.
 */
class UpstreamLimit {
public:
    //! An answer named a limit at `at`. True when this changes the limit in force.
    bool noteNamed( double perS, MonoTime at );
    //! An answer named no limit; its request was sent at `sent`. It shows that the limit has ended
    //! only if the request was sent after the limit was last named: an answer to an earlier request
    //! may be older than the limit. True when the limit has ended `now`.
    bool noteNone( MonoTime sent, MonoTime now );

    //! The limit in force; nullopt if there is none.
    std::optional<double> perS() const;
    //! The limit that was named last, even if it has ended.
    double lastPerS() const noexcept { return m_perS; }
    //! When the limit was last named, and when the last request was sent whose answer named none.
    MonoTime namedAt() const noexcept { return m_namedAt; }
    MonoTime noneAt() const noexcept { return m_noneAt; }
    //! When the limit was last seen to have ended.
    MonoTime endedAt() const noexcept { return m_endedAt; }

private:
    double m_perS = 0;
    MonoTime m_namedAt;
    MonoTime m_noneAt;
    MonoTime m_endedAt;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_UPSTREAM_LIMIT_HPP_INCLUDED
