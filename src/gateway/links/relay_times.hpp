// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_RELAY_TIMES_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_RELAY_TIMES_HPP_INCLUDED

#include "platform/node_settings.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

//! Times that a relay and the gateways it serves have in common. Those of the relay are fractions
//! of the drain bound, the time within which every gateway must stop sending to a leaving upstream:
//! a gateway whose relay falls silent has to have called the store itself well before that.
namespace coursehead::gateway {

inline Millis fractionOf( Millis duration, double fraction ) {
    return Millis(
        static_cast<std::int64_t>( static_cast<double>( duration.count() ) * fraction ) );
}

//! Length of a watch call on the configuration, or of a gateway's own watch call on upstreams. A
//! call that has hung since an outage has to end, its slack included, and a new one has to start
//! before the process counts as in contact with the store again: from then on it is expected to
//! know every change.
inline Millis watchWait( const platform::Bounds& bounds ) {
    constexpr double contactFraction = 0.9;
    // Used where the contact bound is hardly longer than the slack.
    constexpr double minContactFraction = 0.3;
    return std::max( fractionOf( bounds.contact, contactFraction ) - platform::watchSlack,
                     fractionOf( bounds.contact, minContactFraction ) );
}

//! Length of a relay's watch call on upstreams; the relay sends a message after each call.
inline Millis relayWatchWait( const platform::Bounds& bounds ) {
    constexpr double fraction = 0.33;
    return fractionOf( bounds.drain, fraction );
}

//! Pause between a relay's calls, so that changes arrive in batches.
inline Millis relayCallPause( const platform::Bounds& bounds ) {
    constexpr double fraction = 0.15;
    return fractionOf( bounds.drain, fraction );
}

//! Silence after which a gateway drops its relay: one watch call, one pause, and about a sixth of
//! the drain bound for the network.
inline Millis relaySilenceLimit( const platform::Bounds& bounds ) {
    constexpr double fraction = 0.65;
    return fractionOf( bounds.drain, fraction );
}

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_RELAY_TIMES_HPP_INCLUDED
