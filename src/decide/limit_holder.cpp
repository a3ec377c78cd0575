// SPDX-License-Identifier: BSL-1.0
#include "decide/limit_holder.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! Excess over their limits that upstreams tolerate, from all gateways together: half of the
//! requests that a limit allows within the window, and a few that are in flight when the limit is
//! named.
constexpr QuotaRule limitRule{ Millis( 4000 ), 0.5, 5 };
//! Burst of an unused limit: one request, and the limit's rate for this many seconds.
constexpr double burstS = 0.5;
//! A limit that no gateway has mentioned for this long is forgotten.
constexpr Millis limitLifetime{ 60000 };

//! Rate and burst of the bucket that counts a limit.
QuotaRate rateOf( const std::string& start, double perS ) {
    const double rate = std::clamp( perS, minLimitPerS, maxLimitPerS );
    return { start, rate, 1 + rate * burstS };
}

} // namespace

LimitHolder::LimitHolder() {
    m_buckets.setRule( limitRule );
}

LimitHolder::Limit& LimitHolder::note( const LimitStatement& statement, MonoTime now ) {
    auto& out = m_limits[statement.start];
    out.lastMentioned = now;
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

void LimitHolder::takeUpdate( const LimitUpdate& update, MonoTime now ) {
    QuotaUpdate quotaUpdate;
    quotaUpdate.gateway = update.gateway;
    quotaUpdate.gateways = update.gateways;
    for( const auto& it : update.statements ) {
        const auto& known = note( it, now ).known;
        UpstreamLimit sentByGateway;
        applyStatement( sentByGateway, it, now );
        if( sentByGateway.perS() ) {
            quotaUpdate.rates.push_back( rateOf( it.start, known.lastPerS() ) );
        }
    }
    m_buckets.takeUpdate( quotaUpdate, now );
    dropUnmentioned( now );
}

LimitAnswer LimitHolder::ask( const std::string& gateway, const LimitRequest& request,
                              MonoTime now ) {
    LimitAnswer out;
    out.number = request.number;
    if( !note( request.statement, now ).known.perS() ) {
        out.verdict = LimitVerdict::ended;
        return out;
    }
    QuotaRequest unitRequest;
    unitRequest.organisation = request.statement.start;
    unitRequest.needed = 1;
    unitRequest.preferred = 1;
    const auto answer = m_buckets.ask( gateway, unitRequest, now );
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

void LimitHolder::acceptReturn( const LimitReturn& returned, MonoTime now ) {
    m_buckets.acceptReturn( { returned.start, 1 }, now );
}

void LimitHolder::dropUnmentioned( MonoTime now ) {
    std::erase_if( m_limits, [&]( const auto& it ) {
        const bool expired = now - it.second.lastMentioned > limitLifetime;
        if( expired ) {
            m_buckets.forget( it.first );
        }
        return expired;
    } );
}

} // namespace coursehead::decide
