// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ROUTER_ADMISSION_HPP_INCLUDED
#define COURSEHEAD_ROUTER_ADMISSION_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

//! Admission control: decides immediately, from the current queue, whether to accept a request.
namespace coursehead::router {

//! The state of a queue for an upstream that runs up to `capacity` requests in parallel.
struct QueueView {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 1;
    std::uint32_t queueLimit = 0;
    Millis serviceTime{ 0 }; //!< smoothed time for which one request runs
};

struct Admission {
    bool admitted = false;
    Millis retryAfter{ 0 }; //!< if refused: the expected wait, within bounds
};

//! The expected wait of a request that joins the queue now.
Millis expectedWait( const QueueView& queue );

/**
 * Admits a request when it can run at once, or when the queue is not full and the expected wait is
 * less than `maxWait`: the request's deadline or its class's target for the first token, whichever
 * is less. A request that would start too late is refused, as it would only displace one that could
 * start in time. Low priorities have a shorter queue limit, so that they are shed first; `priority`
 * ranges from 0 to 9.
 */
Admission admit( const QueueView& queue, int priority, Millis maxWait );

//! Exponential moving average of the time for which requests run.
Millis smooth( Millis previous, Millis sample );

} // namespace coursehead::router

#endif // COURSEHEAD_ROUTER_ADMISSION_HPP_INCLUDED
