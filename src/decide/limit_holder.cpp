// SPDX-License-Identifier: BSL-1.0
#include "decide/limit_holder.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! What upstreams bear beyond their limits, over all gateways: half of what a limit allows in the
//! window, and requests that cross.
constexpr QuotaRule limitRule{ Millis( 4000 ), 0.5, 5 };
//! Requests that may come together where the limit was not used: one, and so many seconds of it.
constexpr double burstS = 0.5;
//! A limit that nobody has spoken of for this long is forgotten.
constexpr Millis limitMemory{ 60000 };

//! The bucket that a limit is counted in.
QuotaRate rateOf( const std::string& start, double perS ) {
    const double rate = std::clamp( perS, leastLimitPerS, mostLimitPerS );
    return { start, rate, 1 + rate * burstS };
}

} // namespace

LimitHolder::LimitHolder() {
    m_buckets.setRule( limitRule );
}

LimitHolder::Limit& LimitHolder::note( const LimitStatement& statement, MonoTime now ) {
    auto& out = m_limits[statement.start];
    out.heard = now;
    out.changed = applyStatement( out.known, statement, now ) || out.changed;
    return out;
}

std::vector<LimitStatement> LimitHolder::takeChanges( MonoTime now ) {
    std::vector<LimitStatement> out;
    for( auto& [start, limit] : m_limits ) {
        if( std::exchange( limit.changed, false ) ) {
            out.push_back( statementOf( start, limit.known, now ) );
        }
    }
    return out;
}

void LimitHolder::takeUpdate( const LimitUpdate& news, MonoTime now ) {
    QuotaUpdate kept;
    kept.gateway = news.gateway;
    kept.gateways = news.gateways;
    for( const auto& it : news.statements ) {
        const auto& known = note( it, now ).known;
        UpstreamLimit own;
        applyStatement( own, it, now );
        if( own.perS() ) {
            kept.rates.push_back( rateOf( it.start, known.lastPerS() ) );
        }
    }
    m_buckets.takeUpdate( kept, now );
    forgetOld( now );
}

LimitAnswer LimitHolder::ask( const std::string& gateway, const LimitRequest& ask, MonoTime now ) {
    LimitAnswer out;
    out.number = ask.number;
    if( !note( ask.statement, now ).known.perS() ) {
        out.verdict = LimitVerdict::ended;
        return out;
    }
    QuotaRequest unit;
    unit.organisation = ask.statement.start;
    unit.needed = 1;
    unit.preferred = 1;
    const auto answer = m_buckets.ask( gateway, unit, now );
    if( !answer.known ) {
        return out;
    }
    if( answer.granted > 0 ) {
        out.verdict = LimitVerdict::granted;
        return out;
    }
    out.verdict = LimitVerdict::full;
    out.earliestWaitMs = std::max<std::int64_t>( answer.earliestWaitMs, 1 );
    out.waitMs = std::max( answer.waitMs, out.earliestWaitMs );
    return out;
}

void LimitHolder::acceptReturn( const LimitReturn& back, MonoTime now ) {
    m_buckets.acceptReturn( { back.start, 1 }, now );
}

void LimitHolder::forgetOld( MonoTime now ) {
    std::erase_if( m_limits, [&]( const auto& it ) {
        const bool old = now - it.second.heard > limitMemory;
        if( old ) {
            m_buckets.forget( it.first );
        }
        return old;
    } );
}

} // namespace coursehead::decide
