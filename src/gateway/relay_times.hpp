// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_RELAY_TIMES_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_RELAY_TIMES_HPP_INCLUDED

#include "platform/node_settings.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

//! Times that a relay and the gateways it serves have in common. Those of the relay are fractions
//! of the drain bound, the time within which every gateway must stop sending to a leaving upstream:
//! a gateway whose relay falls silent has to have called the store itself well before that.
namespace coursehead::gateway {

inline Millis partOf( Millis whole, double part ) {
    return Millis( static_cast<std::int64_t>( static_cast<double>( whole.count() ) * part ) );
}

//! Length of a watch call on the configuration, or of a gateway's own watch call on upstreams. A
//! call that has hung since an outage has to end, its slack included, and a new one has to start
//! before the process counts as in contact with the store again: from then on it is expected to
//! know every change.
inline Millis watchWait( const platform::Bounds& bounds ) {
    constexpr double inTime = 0.9;
    constexpr double least = 0.3; // used where the contact bound is hardly longer than the slack
    return std::max( partOf( bounds.contact, inTime ) - platform::watchSlack,
                     partOf( bounds.contact, least ) );
}

//! Length of a relay's watch call on upstreams; the relay sends a message after each call.
inline Millis relayWait( const platform::Bounds& bounds ) {
    constexpr double part = 0.33;
    return partOf( bounds.drain, part );
}

//! Pause between a relay's calls, so that changes arrive in batches.
inline Millis relayPause( const platform::Bounds& bounds ) {
    constexpr double part = 0.15;
    return partOf( bounds.drain, part );
}

//! Silence after which a gateway drops its relay: one watch call, one pause, and about a sixth of
//! the drain bound for the network.
inline Millis relaySilence( const platform::Bounds& bounds ) {
    constexpr double part = 0.65;
    return partOf( bounds.drain, part );
}

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_RELAY_TIMES_HPP_INCLUDED
