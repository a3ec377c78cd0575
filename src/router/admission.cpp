// SPDX-License-Identifier: BSL-1.0
#include "coursehead/router/admission.hpp"

#include <algorithm>

namespace coursehead::router {

namespace {
constexpr Millis leastRetryAfter{ 100 };
constexpr Millis mostRetryAfter{ 30000 };
constexpr int highestPriority = 9;
} // namespace

Millis expectedWait( const QueueView& queue ) {
    if( queue.running < queue.capacity ) {
        return Millis{ 0 };
    }
    const auto capacity = std::max<std::uint32_t>( queue.capacity, 1 );
    return queue.serviceTime * ( queue.queued + 1 ) / capacity;
}

Admission admit( const QueueView& queue, int priority, Millis patience ) {
    if( queue.running < queue.capacity && queue.queued == 0 ) {
        return { true, Millis{ 0 } };
    }
    const auto wait = expectedWait( queue );
    const auto rank = static_cast<std::uint32_t>( std::clamp( priority, 0, highestPriority ) );
    // Priority 0 may fill half of the queue, the highest all of it.
    const auto limit = queue.queueLimit / 2 + queue.queueLimit * rank / ( 2 * highestPriority );
    if( queue.queued < limit && wait < patience ) {
        return { true, Millis{ 0 } };
    }
    return { false, std::clamp( wait, leastRetryAfter, mostRetryAfter ) };
}

Millis smooth( Millis before, Millis sample ) {
    constexpr int weight = 8;
    return before.count() == 0 ? sample : ( before * ( weight - 1 ) + sample ) / weight;
}

} // namespace coursehead::router
