// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_limits.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! Time for which the end of a limit is reported. Other gateways may have seen the limit named
//! after the sending of the request that showed its end; reports on later requests show them the
//! end.
constexpr Millis endReportTime{ 5000 };
//! Part of a limit that gateways use by their own schedules. The rest is for gateways that ask a
//! holder at the same time, and for schedules that overlap.
constexpr double ownScheduleFraction = 0.5;
//! A limit that is used up is asked for again after this at the latest: it may have risen or ended
//! in the meantime.
constexpr Millis maxRetryDelay{ 2000 };

} // namespace

std::string_view nameOf( LimitOutcome outcome ) {
    switch( outcome ) {
    case LimitOutcome::granted:
        return "granted";
    case LimitOutcome::ended:
        return "ended";
    case LimitOutcome::full:
        return "full";
    case LimitOutcome::ownTurn:
        return "own_turn";
    case LimitOutcome::noTurn:
        return "no_turn";
    }
    return "unknown";
}

LimitDecision applyLimitAnswer( LimitState& state, const std::optional<LimitAnswer>& answer,
                                int gateways, MonoTime asked, MonoTime now ) {
    const auto refuse = [&]( LimitOutcome outcome, Millis earliestWait, Millis wait ) {
        state.fullUntil = now + std::min( earliestWait, maxRetryDelay );
        state.retryAt = now + std::min( wait, maxRetryDelay );
        return LimitDecision{ outcome, state.retryLeft( now ) };
    };
    switch( answer ? answer->verdict : LimitVerdict::unknown ) {
    case LimitVerdict::granted:
        return { LimitOutcome::granted, Millis{ 0 } };
    case LimitVerdict::ended:
        state.known.noteNone( asked, now );
        return { LimitOutcome::ended, Millis{ 0 } };
    case LimitVerdict::full:
        return refuse( LimitOutcome::full, Millis( answer->earliestWaitMs ),
                       Millis( answer->waitMs ) );
    case LimitVerdict::unknown:
        break;
    }
    const double perS =
        std::clamp( state.known.perS().value_or( maxLimitPerS ), minLimitPerS, maxLimitPerS );
    const auto wait =
        state.sendSchedule.wait( ownScheduleFraction * perS / std::max( gateways, 1 ), now );
    if( wait.count() > 0 ) {
        return refuse( LimitOutcome::noTurn, wait, wait );
    }
    state.sendSchedule.take( now );
    return { LimitOutcome::ownTurn, Millis{ 0 } };
}

bool isReportable( const UpstreamLimit& known, MonoTime now ) {
    const bool endedRecently =
        known.endedAt() != MonoTime{} && now - known.endedAt() < endReportTime;
    return endedRecently || known.perS().has_value();
}

void GatewayLimits::setStatements( Statements statements ) {
    m_statements = std::move( statements );
    std::vector<QuotaRate> rates;
    rates.reserve( m_statements.size() );
    for( const auto& it : m_statements ) {
        rates.push_back( { it.first, it.second.perS, 0 } );
    }
    m_holders.setRates( 0, rates );
}

bool GatewayLimits::setCandidates( std::span<const HolderCandidate> candidates, int gateways,
                                   MonoTime now ) {
    m_gateways = gateways;
    return m_holders.setCandidates( candidates, gateways, now );
}

std::optional<LimitUpdate> GatewayLimits::takeUpdate( const std::string& candidate, MonoTime now ) {
    LimitUpdate out;
    out.gateways = m_gateways;
    for( const auto& rate : m_holders.updateFor( candidate ).rates ) {
        out.statements.push_back( m_statements.at( rate.organisation ) );
    }
    if( out.statements.empty() && !m_countedBy.contains( candidate ) ) {
        return std::nullopt;
    }
    if( out.statements.empty() ) {
        m_countedBy.erase( candidate );
    } else {
        m_countedBy.insert( candidate );
    }
    m_holders.noteUpdateSent( candidate, now );
    return out;
}

} // namespace coursehead::decide
