// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_limits.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! That a limit has ended is told for so long: others may have heard it named later than the
//! request was sent by which it is known, and later ones show them.
constexpr Millis endTold{ 5000 };
//! Part of a limit that gateways take by their own turns. The other part is for those that ask a
//! holder meanwhile, and for turns that overlap.
constexpr double turnsPart = 0.5;
//! An upstream without room is looked at again after this at the latest: its limit may have risen
//! or ended.
constexpr Millis longestFull{ 2000 };

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
    const auto noRoom = [&]( LimitOutcome outcome, Millis room, Millis wait ) {
        state.fullUntil = now + std::min( room, longestFull );
        state.retryAt = now + std::min( wait, longestFull );
        return LimitDecision{ outcome, state.retryLeft( now ) };
    };
    switch( answer ? answer->verdict : LimitVerdict::unknown ) {
    case LimitVerdict::granted:
        return { LimitOutcome::granted, Millis{ 0 } };
    case LimitVerdict::ended:
        state.known.noteNone( asked, now );
        return { LimitOutcome::ended, Millis{ 0 } };
    case LimitVerdict::full:
        return noRoom( LimitOutcome::full, Millis( answer->earliestWaitMs ),
                       Millis( answer->waitMs ) );
    case LimitVerdict::unknown:
        break;
    }
    const double perS =
        std::clamp( state.known.perS().value_or( mostLimitPerS ), leastLimitPerS, mostLimitPerS );
    const auto wait = state.sendSchedule.wait( turnsPart * perS / std::max( gateways, 1 ), now );
    if( wait.count() > 0 ) {
        return noRoom( LimitOutcome::noTurn, wait, wait );
    }
    state.sendSchedule.take( now );
    return { LimitOutcome::ownTurn, Millis{ 0 } };
}

bool isReportable( const UpstreamLimit& known, MonoTime now ) {
    const bool lately = known.endedAt() != MonoTime{} && now - known.endedAt() < endTold;
    return lately || known.perS().has_value();
}

void GatewayLimits::setStatements( Statements statements ) {
    m_words = std::move( statements );
    std::vector<QuotaRate> rates;
    rates.reserve( m_words.size() );
    for( const auto& it : m_words ) {
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
        out.statements.push_back( m_words.at( rate.organisation ) );
    }
    if( out.statements.empty() && !m_told.contains( candidate ) ) {
        return std::nullopt;
    }
    if( out.statements.empty() ) {
        m_told.erase( candidate );
    } else {
        m_told.insert( candidate );
    }
    m_holders.noteUpdateSent( candidate, now );
    return out;
}

} // namespace coursehead::decide
