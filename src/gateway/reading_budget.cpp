// SPDX-License-Identifier: BSL-1.0
#include "gateway/reading_budget.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::gateway {

namespace {

// Reading within any time of one gap target: the burst and the share, 0.8 of it together. The rest
// is for the steps of the streams' own tokens. Bursts of 0.2 and 0.12 measured 0.02 and 0.03 less
// of a day's worth, a share of 0.4 the same.
constexpr double burstPart = 0.3;
constexpr double readingShare = 0.5;
//! What every gateway may take, however much the others do.
constexpr double leastShare = 0.12;
//! Time constant of the own share, in seconds: the same as demand reports cover a few times.
constexpr double shareTimeS = 1.0;
constexpr double millisPerSecond = 1000.0;

double exactMillis( MonoTime from, MonoTime to ) {
    return std::chrono::duration<double, std::milli>( to - from ).count();
}

} // namespace

double ReadingBudget::usedAt( const Limits& limits, MonoTime now ) const {
    return std::max( m_usedMs - exactMillis( m_at, now ) * limits.share, 0.0 );
}

Millis ReadingBudget::wait( double workMs, const Limits& limits, MonoTime now ) const {
    // A prompt larger than the burst goes alone.
    const double room = std::max( limits.burstMs - workMs, 0.0 );
    const double over = usedAt( limits, now ) - room;
    return over <= 0 ? Millis{ 0 }
                     : Millis( static_cast<std::int64_t>( std::ceil( over / limits.share ) ) );
}

void ReadingBudget::take( double workMs, const Limits& limits, MonoTime now ) {
    const double most = limits.burstMs * 2;
    m_usedMs = std::min( usedAt( limits, now ) + workMs, std::max( most, workMs ) );
    m_at = now;
    m_share = ownShare( now ) + workMs / ( shareTimeS * millisPerSecond );
    m_shareAt = now;
}

double ReadingBudget::ownShare( MonoTime now ) const {
    return m_share * std::exp( -exactMillis( m_shareAt, now ) / ( shareTimeS * millisPerSecond ) );
}

ReadingBudget::Limits readingLimits( Millis gapTarget, double othersShare ) {
    return { burstPart * static_cast<double>( gapTarget.count() ),
             std::max( readingShare - othersShare, leastShare ) };
}

} // namespace coursehead::gateway
