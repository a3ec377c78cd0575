// SPDX-License-Identifier: BSL-1.0
#include "decide/fair_share.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! An organisation that asks for nothing for this long is forgotten. It is longer than the goals of
//! interactive routes, so that one which sends a request after the other is remembered.
constexpr Millis idleLifetime{ 2000 };
//! An organisation that was served less than others is credited with this much reading at the most:
//! an engine that reads nothing else serves it within a second.
constexpr double maxCreditMs = 1000;
//! Bounds the memory; the organisation that was idle the longest is forgotten first.
constexpr std::size_t maxOrganisations = 256;

bool servedLess( const auto& a, const auto& b ) {
    return a.second.servedMs < b.second.servedMs;
}

} // namespace

void FairShare::noteAsk( std::string_view organisation, MonoTime now ) {
    auto& account = accountOf( organisation, now );
    account.servedMs = std::max( account.servedMs, mostMs() - maxCreditMs );
    account.usedAt = now;
}

void FairShare::noteServed( std::string_view organisation, double workMs, MonoTime now ) {
    auto& account = accountOf( organisation, now );
    account.servedMs += workMs;
    account.usedAt = now;
}

double FairShare::servedMs( std::string_view organisation ) const {
    const auto it = m_accounts.find( organisation );
    return it != m_accounts.end() ? it->second.servedMs : leastMs();
}

FairShare::Account& FairShare::accountOf( std::string_view organisation, MonoTime now ) {
    forgetIdle( now );
    const auto it = m_accounts.find( organisation );
    if( it != m_accounts.end() ) {
        return it->second;
    }
    keepBelowBound();
    const Account account{ leastMs(), now };
    return m_accounts.emplace( organisation, account ).first->second;
}

void FairShare::forgetIdle( MonoTime now ) {
    std::erase_if( m_accounts,
                   [now]( const auto& it ) { return it.second.usedAt + idleLifetime <= now; } );
}

void FairShare::keepBelowBound() {
    if( m_accounts.size() < maxOrganisations ) {
        return;
    }
    const auto usedBefore = []( const auto& a, const auto& b ) {
        return a.second.usedAt < b.second.usedAt;
    };
    m_accounts.erase( std::min_element( m_accounts.begin(), m_accounts.end(), usedBefore ) );
}

double FairShare::leastMs() const {
    const auto it =
        std::min_element( m_accounts.begin(), m_accounts.end(),
                          []( const auto& a, const auto& b ) { return servedLess( a, b ); } );
    return it != m_accounts.end() ? it->second.servedMs : 0;
}

double FairShare::mostMs() const {
    const auto it =
        std::max_element( m_accounts.begin(), m_accounts.end(),
                          []( const auto& a, const auto& b ) { return servedLess( a, b ); } );
    return it != m_accounts.end() ? it->second.servedMs : 0;
}

} // namespace coursehead::decide
