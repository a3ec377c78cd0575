// SPDX-License-Identifier: BSL-1.0
#include "decide/quota_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

constexpr double millisPerSecond = 1000;
//! Part of the burst that is kept for the units that requests need now; units beyond it may be
//! granted for requests expected next.
constexpr double reservedBurstFraction = 0.5;
//! Upper bound of the units promised to refused requests, in seconds at the limit's rate: by then
//! most of their clients have given up. It is also the retry delay of a limit whose rate is 0.
constexpr double maxRetryDelayS = 2;
//! Time for which a bucket counts as new. A bucket that started empty has recovered by then, as far
//! as its organisation's requests allow: limits are above the usual load, and a burst is about a
//! second's limit.
constexpr Millis newBucketTime{ 2000 };

Millis timeFor( double units, double perS ) {
    return Millis( static_cast<std::int64_t>( std::ceil( units / perS * millisPerSecond ) ) );
}

} // namespace

double allowance( const QuotaRule& rule, const QuotaRate& rate ) {
    const double seconds = std::chrono::duration<double>( rule.window ).count();
    return rule.over * ( rate.perS * seconds + rate.burst ) + rule.slack;
}

void refill( QuotaBucket& bucket, const QuotaRate& rate, MonoTime now ) {
    if( bucket.at == MonoTime{} ) {
        bucket.at = now;
        bucket.since = now;
    }
    const double seconds = std::chrono::duration<double>( now - bucket.at ).count();
    if( seconds <= 0 ) {
        return;
    }
    bucket.level = std::min( bucket.level + rate.perS * seconds, rate.burst );
    bucket.promisedUnits = std::max( bucket.promisedUnits - rate.perS * seconds, 0.0 );
    bucket.at = now;
}

QuotaGrant take( QuotaBucket& bucket, const QuotaRate& rate, const QuotaRequest& request,
                 MonoTime now ) {
    refill( bucket, rate, now );
    if( rate.perS <= 0 ) {
        const auto longest = timeFor( maxRetryDelayS, 1 );
        return { 0, longest, longest };
    }
    const double missing = std::min( request.needed, rate.burst ) - bucket.level;
    const Millis wait = missing <= 0 ? Millis{ 0 } : timeFor( missing, rate.perS );
    const bool isNew = now - bucket.since < newBucketTime;
    if( wait > Millis( isNew ? request.maxWaitMs : 0 ) ) {
        const auto retryDelay = timeFor( missing + bucket.promisedUnits, rate.perS );
        const double maxPromised = maxRetryDelayS * rate.perS;
        bucket.promisedUnits = std::min( bucket.promisedUnits + request.needed, maxPromised );
        return { 0, retryDelay, wait };
    }
    const double available = bucket.level - request.needed - reservedBurstFraction * rate.burst;
    const double extra =
        std::clamp( request.preferred - request.needed, 0.0, std::max( available, 0.0 ) );
    bucket.level -= request.needed + extra;
    return { request.needed + extra, wait };
}

void refund( QuotaBucket& bucket, const QuotaRate& rate, double units, MonoTime now ) {
    refill( bucket, rate, now );
    bucket.level = std::min( bucket.level + std::max( units, 0.0 ), rate.burst );
}

} // namespace coursehead::decide
