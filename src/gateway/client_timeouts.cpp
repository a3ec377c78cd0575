// SPDX-License-Identifier: BSL-1.0
#include "gateway/client_timeouts.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

// Clients leave a stream after a gap of the longest of these three, before its first event too. The
// figures are the clients': they stand in the platform's description of its wire.
constexpr Millis leastGap{ 2000 };
constexpr int goalsPerGap = 4;
constexpr int gapTargetsPerGap = 8;

//! Kept back for the way to the upstream and back, the first step of the engine, and a loop that
//! is late: the first event must be with the client before it leaves.
constexpr Millis wayBack{ 120 };

//! A request that comes before the configuration waits for it this long: a process that starts has
//! it after 20 to 90 ms when the store answers. With the retry after two seconds that was told
//! before, 194 requests after a loss of power came back when their time was nearly over.
constexpr Millis startPatience{ 500 };
//! A process that knows nothing by then has no store: its requests are refused at once. On the
//! thinnest VMs it takes 0.3 s for a large configuration to come over the link.
constexpr Millis startTime{ 1500 };

} // namespace

ClientTimeouts clientTimeoutsOf( const Route& route, std::optional<Millis> deadline ) {
    ClientTimeouts out;
    out.completeAnswer = deadline ? std::min( *deadline, route.timeout ) : route.timeout;
    out.firstEvent = out.completeAnswer;
    if( route.kind == RequestKind::stream ) {
        out.pause =
            std::max( { leastGap, route.goal * goalsPerGap, route.gapTarget * gapTargetsPerGap } );
        out.firstEvent = std::min( out.completeAnswer, out.pause );
    }
    return out;
}

Millis maxWaitBeforeSend( const ClientTimeouts& patience, Millis work ) {
    return std::max( patience.firstEvent - work - wayBack, Millis{ 0 } );
}

MonoTime startupWaitEnd( MonoTime arrived, MonoTime processStart ) {
    return std::min( arrived + startPatience, processStart + startTime );
}

} // namespace coursehead::gateway
