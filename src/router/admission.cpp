// SPDX-License-Identifier: BSL-1.0
#include "coursehead/router/admission.hpp"

#include <algorithm>

namespace coursehead::router {

namespace {
constexpr Millis minRetryAfter{ 100 };
constexpr Millis maxRetryAfter{ 30000 };
constexpr int highestPriority = 9;
} // namespace

Millis expectedWait( const QueueView& queue ) {
    if( queue.running < queue.capacity ) {
        return Millis{ 0 };
    }
    const auto capacity = std::max<std::uint32_t>( queue.capacity, 1 );
    return queue.serviceTime * ( queue.queued + 1 ) / capacity;
}

Admission admit( const QueueView& queue, int priority, Millis maxWait ) {
    if( queue.running < queue.capacity && queue.queued == 0 ) {
        return { true, Millis{ 0 } };
    }
    const auto wait = expectedWait( queue );
    const auto rank = static_cast<std::uint32_t>( std::clamp( priority, 0, highestPriority ) );
    // Priority 0 may fill half of the queue, the highest priority all of it.
    const auto limit = queue.queueLimit / 2 + queue.queueLimit * rank / ( 2 * highestPriority );
    if( queue.queued < limit && wait < maxWait ) {
        return { true, Millis{ 0 } };
    }
    return { false, std::clamp( wait, minRetryAfter, maxRetryAfter ) };
}

Millis smooth( Millis previous, Millis sample ) {
    constexpr int weight = 8;
    return previous.count() == 0 ? sample : ( previous * ( weight - 1 ) + sample ) / weight;
}

} // namespace coursehead::router
