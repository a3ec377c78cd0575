// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/client_timeouts.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

// A client disconnects from a stream after a pause longer than the largest of these three, also
// before the first event. The platform's protocol description states these values.
constexpr Millis minPauseTimeout{ 2000 };
constexpr int goalsPerPauseTimeout = 4;
constexpr int gapTargetsPerPauseTimeout = 8;

//! Reserve for the transfer to the upstream and back, the engine's first step and a delayed event
//! loop, so that the first event reaches the client before it disconnects.
constexpr Millis deliveryReserve{ 120 };

//! A request that arrives before the configuration waits for it this long. A starting process has
//! the configuration after 20 to 90 ms if the store answers. If such requests were refused with a
//! Retry-After of two seconds, clients would retry when their deadline is nearly over, for example
//! after a loss of power.
constexpr Millis startupRequestWait{ 500 };
//! A process that has no configuration this long after its start cannot reach the store and refuses
//! requests at once. On VMs with the narrowest links a large configuration takes 0.3 s to arrive.
constexpr Millis startupTimeout{ 1500 };

} // namespace

ClientTimeouts clientTimeoutsOf( const Route& route, std::optional<Millis> deadline ) {
    ClientTimeouts out;
    out.completeAnswer = deadline ? std::min( *deadline, route.timeout ) : route.timeout;
    out.firstEvent = out.completeAnswer;
    if( route.kind == RequestKind::stream ) {
        out.pause = std::max( { minPauseTimeout, route.goal * goalsPerPauseTimeout,
                                route.gapTarget * gapTargetsPerPauseTimeout } );
        out.firstEvent = std::min( out.completeAnswer, out.pause );
    }
    return out;
}

Millis maxWaitBeforeSend( const ClientTimeouts& timeouts, Millis work ) {
    return std::max( timeouts.firstEvent - work - deliveryReserve, Millis{ 0 } );
}

SendWindow sendWindow( const Route& route, const ClientTimeouts& timeouts,
                       const RequestProgress& progress, Millis work ) {
    const bool resumed = progress.lastEvent.has_value();
    const auto from = progress.lastEvent.value_or( progress.arrived );
    const ClientTimeouts goal{ resumed ? route.gapTarget : route.goal, {}, {} };
    const ClientTimeouts patience{ resumed ? timeouts.pause : timeouts.firstEvent, {}, {} };
    SendWindow out;
    out.goalEnd = from + maxWaitBeforeSend( goal, work );
    out.latest = std::min( from + maxWaitBeforeSend( patience, work ), progress.deadline );
    return out;
}

MonoTime startupWaitEnd( MonoTime arrived, MonoTime processStart ) {
    return std::min( arrived + startupRequestWait, processStart + startupTimeout );
}

} // namespace coursehead::gateway
