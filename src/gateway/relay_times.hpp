// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_RELAY_TIMES_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_RELAY_TIMES_HPP_INCLUDED

#include "platform/node_settings.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

//! Times that a relay and the gateways it serves agree on. All are parts of the time in which
//! nobody may send to a leaving upstream any more: a gateway whose relay fell silent must have
//! asked the store itself well before.
namespace coursehead::gateway {

inline Millis partOf( Millis whole, double part ) {
    return Millis( static_cast<std::int64_t>( static_cast<double>( whole.count() ) * part ) );
}

//! How long a watch on the configuration, or a gateway's own on upstreams, waits. A call that has
//! hung since an outage must have ended, its slack included, and another begun, before the process
//! counts as in touch again: from then on it is judged by what it would have heard.
inline Millis watchWait( const platform::Bounds& bounds ) {
    constexpr double inTime = 0.9;
    constexpr double least = 0.3; // where the time is hardly longer than the slack
    return std::max( partOf( bounds.contact, inTime ) - platform::watchSlack,
                     partOf( bounds.contact, least ) );
}

//! How long a relay's watch on upstreams waits: it speaks at least that often.
inline Millis relayWatchWait( const platform::Bounds& bounds ) {
    constexpr double part = 0.33;
    return partOf( bounds.drain, part );
}

//! Between a relay's calls, so that changes come in batches.
inline Millis relayCallPause( const platform::Bounds& bounds ) {
    constexpr double part = 0.15;
    return partOf( bounds.drain, part );
}

//! Silence after which a relay is left: a wait, a pause, and a sixth for the way.
inline Millis relaySilenceLimit( const platform::Bounds& bounds ) {
    constexpr double part = 0.65;
    return partOf( bounds.drain, part );
}

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_RELAY_TIMES_HPP_INCLUDED
