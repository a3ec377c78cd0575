// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_UPSTREAM_LIMIT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_UPSTREAM_LIMIT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

namespace coursehead::decide {

/**
 * What is known of the limit of one start of an upstream: the requests a second that it takes from
 * all gateways together, for as long as its answers say so.
 */
class UpstreamLimit {
public:
    //! An answer named a limit at `at`. True when that changes what is known.
    bool noteNamed( double perS, MonoTime at );
    //! An answer named none; its request was sent at `sent`. Only one to a request that was sent
    //! after the limit was last named shows that it has ended: others may have crossed. True when
    //! it has, `now`.
    bool noteNone( MonoTime sent, MonoTime now );

    //! The limit in force; nullopt: none.
    std::optional<double> perS() const;
    //! The limit that was named last, in force or not.
    double lastPerS() const noexcept { return m_perS; }
    //! When it was last named, and when a request was sent whose answer named none.
    MonoTime namedAt() const noexcept { return m_namedAt; }
    MonoTime noneAt() const noexcept { return m_noneAt; }
    //! When it was last seen to have ended.
    MonoTime endedAt() const noexcept { return m_endedAt; }

private:
    double m_perS = 0;
    MonoTime m_namedAt;
    MonoTime m_noneAt;
    MonoTime m_endedAt;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_UPSTREAM_LIMIT_HPP_INCLUDED
