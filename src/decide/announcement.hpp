// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ANNOUNCEMENT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ANNOUNCEMENT_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

//! What upstreams announce of themselves in their answers, whatever the request's outcome.
namespace coursehead::decide {

//! What an answer says of a limit on requests.
enum class LimitAnnouncement {
    none,  //!< nothing: its upstream takes what comes
    named, //!< so many requests a second, from all gateways together
    unreadable,
};

//! What one answer says of the upstream that gave it.
struct Announcement {
    std::optional<Millis> backoff; //!< this gateway is to send it nothing for so long
    bool leaving = false;          //!< it is about to end
    std::optional<Millis> cold;    //!< it stays slow from its start for so much longer
    LimitAnnouncement limit = LimitAnnouncement::none;
    double limitPerS = 0; //!< requests a second, where one is named

    bool operator==( const Announcement& ) const = default;
};

//! A longer back-off is cut to this: a header that was spoiled on its way would else take an
//! upstream from a gateway for good. Far above the seconds that overloaded servers ask for.
inline constexpr Millis maxBackoff = std::chrono::hours( 1 );

//! Likewise for how long it is cold: no start takes longer.
inline constexpr Millis maxColdTime = std::chrono::minutes( 10 );

//! What one start of an upstream has announced to one gateway.
class AnnouncedState {
public:
    //! Takes what an answer said that has come now. A back-off only ever grows: an answer that
    //! asks for less, or for none, belongs to a request that crossed the one that asked for more.
    void take( const Announcement& said, MonoTime now );
    //! What is left of the back-off; 0 when it takes requests.
    Millis backoffLeft( MonoTime now ) const { return remaining( now, m_backoffUntil ); }
    bool leaving() const noexcept { return m_leaving; }

private:
    MonoTime m_backoffUntil;
    bool m_leaving = false;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ANNOUNCEMENT_HPP_INCLUDED
