// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ROUTER_ADMISSION_HPP_INCLUDED
#define COURSEHEAD_ROUTER_ADMISSION_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

//! Whether to take a request in, decided at once from what is known.
namespace coursehead::router {

//! What a queue in front of `capacity` parallel places looks like.
struct QueueView {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 1;
    std::uint32_t queueLimit = 0;
    Millis serviceTime{ 0 }; //!< smoothed time that one request holds a place
};

struct Admission {
    bool admitted = false;
    Millis retryAfter{ 0 }; //!< when refused: when a place should be free
};

//! How long a request that joins the queue now would wait.
Millis expectedWait( const QueueView& queue );

/**
 * Admits when a place is free, or when the queue has room and the expected wait is within the
 * request's patience: its deadline or its class's target for the first token, whichever is less. A
 * request that would start too late only takes the place of one that would not.
 * Low priorities see a shorter queue, so that they are shed first; `priority` runs from 0 to 9.
 */
Admission admit( const QueueView& queue, int priority, Millis patience );

//! Smooths the time that a request held its place.
Millis smooth( Millis before, Millis sample );

} // namespace coursehead::router

#endif // COURSEHEAD_ROUTER_ADMISSION_HPP_INCLUDED
