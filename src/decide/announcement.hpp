// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ANNOUNCEMENT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ANNOUNCEMENT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

//! Announcements that an upstream makes about itself in its answers, whatever the request's
//! outcome.
namespace coursehead::decide {

//! Whether an answer names a limit on requests.
enum class LimitAnnouncement {
    none,  //!< the answer names no limit: its upstream accepts requests at any rate
    named, //!< a limit in requests a second, for all gateways together
    unreadable,
};

//! The announcements in one answer about the upstream that sent it.
struct Announcement {
    std::optional<Millis> backoff; //!< this gateway must send it nothing for this long
    bool leaving = false;          //!< the upstream is about to end
    std::optional<Millis> cold;    //!< the upstream stays slow after its start for this much longer
    LimitAnnouncement limit = LimitAnnouncement::none;
    double limitPerS = 0; //!< requests a second, if a limit is named

    bool operator==( const Announcement& ) const = default;
};

//! Longer back-offs are cut to this: otherwise a header corrupted on its way would keep a gateway
//! from using an upstream for good. Overloaded upstreams ask for seconds, far less than this.
inline constexpr Millis maxBackoff = std::chrono::hours( 1 );

//! Longer cold times are cut to this, for the same reason: no start takes longer.
inline constexpr Millis maxColdTime = std::chrono::minutes( 10 );

//! The announcements in force that one start of an upstream has made to one gateway.
class AnnouncedState {
public:
    //! Applies the announcements of an answer that arrived now. The end of a back-off only moves
    //! later: an answer that asks for less, or for none, belongs to a request that was in flight
    //! at the same time as the one whose answer asked for more.
    void take( const Announcement& announcement, MonoTime now );
    //! Remaining back-off; 0 when the upstream accepts requests.
    Millis backoffLeft( MonoTime now ) const { return remaining( now, m_backoffUntil ); }
    bool leaving() const noexcept { return m_leaving; }

private:
    MonoTime m_backoffUntil;
    bool m_leaving = false;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ANNOUNCEMENT_HPP_INCLUDED
