// SPDX-License-Identifier: BSL-1.0
#include "decide/quota_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

constexpr double millisPerSecond = 1000;
//! Part of the burst that stays for what is asked for now: the rest may be granted ahead.
constexpr double keptPart = 0.5;
//! Times further away are not told: by then most of those who wait have left.
constexpr double longestPromiseS = 2;
//! A bucket that started empty is by then as full as its organisation's requests let it be: limits
//! lie above what is usual, and a burst is about a second's limit.
constexpr Millis youth{ 2000 };

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
    bucket.promised = std::max( bucket.promised - rate.perS * seconds, 0.0 );
    bucket.at = now;
}

QuotaGrant take( QuotaBucket& bucket, const QuotaRate& rate, const QuotaRequest& ask,
                 MonoTime now ) {
    refill( bucket, rate, now );
    if( rate.perS <= 0 ) {
        const auto longest = timeFor( longestPromiseS, 1 );
        return { 0, longest, longest };
    }
    const double missing = std::min( ask.needed, rate.burst ) - bucket.level;
    const Millis wait = missing <= 0 ? Millis{ 0 } : timeFor( missing, rate.perS );
    const bool young = now - bucket.since < youth;
    if( wait > Millis( young ? ask.maxWaitMs : 0 ) ) {
        const auto told = timeFor( missing + bucket.promised, rate.perS );
        const double most = longestPromiseS * rate.perS;
        bucket.promised = std::min( bucket.promised + ask.needed, most );
        return { 0, told, wait };
    }
    const double spare = bucket.level - ask.needed - keptPart * rate.burst;
    const double extra = std::clamp( ask.preferred - ask.needed, 0.0, std::max( spare, 0.0 ) );
    bucket.level -= ask.needed + extra;
    return { ask.needed + extra, wait };
}

void refund( QuotaBucket& bucket, const QuotaRate& rate, double units, MonoTime now ) {
    refill( bucket, rate, now );
    bucket.level = std::min( bucket.level + std::max( units, 0.0 ), rate.burst );
}

} // namespace coursehead::decide
