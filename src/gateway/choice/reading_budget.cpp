// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/reading_budget.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::gateway {

namespace {

// Parts of the gap target that may be spent on reading within any period of one gap target: burst
// and share add up to 0.8, and the rest is for the steps of the streams' own tokens. Larger values
// make streams pause too long. Smaller bursts (0.2 and 0.12) lose 2 to 3 % of the answers' value; a
// share of 0.4 makes no difference.
constexpr double burstPart = 0.3;
constexpr double readingShare = 0.5;
//! Share that every gateway may use, however much the others use.
constexpr double minShare = 0.12;
//! Time constant of the own share, in seconds: spans a few of the demand messages that report it.
constexpr double shareTimeConstantS = 1.0;
constexpr double millisPerSecond = 1000.0;

double exactMillis( MonoTime from, MonoTime to ) {
    return std::chrono::duration<double, std::milli>( to - from ).count();
}

} // namespace

double ReadingBudget::usedAt( const Limits& limits, MonoTime now ) const {
    return std::max( m_usedMs - exactMillis( m_at, now ) * limits.share, 0.0 );
}

Millis ReadingBudget::wait( double workMs, const Limits& limits, MonoTime now ) const {
    // A prompt larger than the burst fits once the used part of the burst is zero.
    const double freeBurstMs = std::max( limits.burstMs - workMs, 0.0 );
    const double excessMs = usedAt( limits, now ) - freeBurstMs;
    return excessMs <= 0
               ? Millis{ 0 }
               : Millis( static_cast<std::int64_t>( std::ceil( excessMs / limits.share ) ) );
}

void ReadingBudget::take( double workMs, const Limits& limits, MonoTime now ) {
    const double maxUsedMs = limits.burstMs * 2;
    m_usedMs = std::min( usedAt( limits, now ) + workMs, std::max( maxUsedMs, workMs ) );
    m_at = now;
    m_share = ownShare( now ) + workMs / ( shareTimeConstantS * millisPerSecond );
    m_shareAt = now;
}

double ReadingBudget::ownShare( MonoTime now ) const {
    return m_share *
           std::exp( -exactMillis( m_shareAt, now ) / ( shareTimeConstantS * millisPerSecond ) );
}

ReadingBudget::Limits readingLimits( Millis gapTarget, double othersShare ) {
    return { burstPart * static_cast<double>( gapTarget.count() ),
             std::max( readingShare - othersShare, minShare ) };
}

} // namespace coursehead::gateway
