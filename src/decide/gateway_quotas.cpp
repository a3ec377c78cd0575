// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_quotas.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

//! A request to a holder includes the units expected for this time, which is well within the lease.
constexpr double lookaheadS = 0.2;
//! Time over which the rate of requested units is smoothed.
constexpr double rateSmoothingS = 1.0;
//! Time that the other candidates have to answer after the first one has. A gateway that knows only
//! some of the candidates would choose other holders than the other gateways do.
constexpr Millis answerTime{ 500 };

} // namespace

void GatewayQuotas::setRates( std::uint64_t version, std::span<const QuotaRate> rates ) {
    m_version = version;
    std::set<std::string_view> named;
    for( const auto& it : rates ) {
        named.insert( it.organisation );
        m_accounts[it.organisation].rate = it;
    }
    std::erase_if( m_accounts, [&]( const auto& it ) { return !named.contains( it.first ); } );
}

void GatewayQuotas::chooseHolder( Account& account, MonoTime now ) {
    const std::string* best = nullptr;
    std::uint64_t bestScore = 0;
    for( const auto& it : m_responsive ) {
        const auto score = hash64( it, account.rate.organisation );
        if( best == nullptr || score > bestScore ) {
            best = &it;
            bestScore = score;
        }
    }
    if( best == nullptr || *best == account.holder ) {
        return;
    }
    const bool reachable =
        std::binary_search( m_responsive.begin(), m_responsive.end(), account.holder );
    const auto lastUpdate = m_lastUpdateSent.find( account.holder );
    // A holder that can't be reached still counts this gateway for a while.
    const bool stillCounted =
        !account.holder.empty() && !reachable && lastUpdate != m_lastUpdateSent.end();
    account.usableFrom = stillCounted ? lastUpdate->second + quotaMembership : now;
    account.holder = *best;
    account.grants.clear();
    account.unused = 0;
}

bool GatewayQuotas::setCandidates( std::span<const HolderCandidate> candidates, int gateways,
                                   MonoTime now ) {
    m_gateways = gateways;
    std::vector<std::string> responsiveNames;
    for( const auto& it : candidates ) {
        if( it.responsive ) {
            responsiveNames.push_back( it.name );
        }
    }
    std::sort( responsiveNames.begin(), responsiveNames.end() );
    responsiveNames.erase( std::unique( responsiveNames.begin(), responsiveNames.end() ),
                           responsiveNames.end() );
    if( !responsiveNames.empty() && !m_firstAnswered ) {
        m_firstAnswered = now;
    }
    m_settled = m_settled ||
                ( !responsiveNames.empty() && responsiveNames.size() == candidates.size() ) ||
                ( m_firstAnswered && now - *m_firstAnswered >= answerTime );
    if( !m_settled ) {
        return false;
    }
    const bool unchanged = responsiveNames == m_responsive;
    m_responsive = std::move( responsiveNames );
    bool changed = false;
    for( auto& [name, account] : m_accounts ) {
        if( unchanged && !account.holder.empty() ) {
            continue;
        }
        const auto before = account.holder;
        chooseHolder( account, now );
        changed = changed || before != account.holder;
    }
    return changed;
}

QuotaUpdate GatewayQuotas::updateFor( std::string_view candidate ) const {
    QuotaUpdate out;
    out.version = m_version;
    out.gateways = m_gateways;
    for( const auto& [name, account] : m_accounts ) {
        if( account.holder == candidate ) {
            out.rates.push_back( account.rate );
        }
    }
    return out;
}

void GatewayQuotas::noteUpdateSent( std::string_view candidate, MonoTime now ) {
    m_lastUpdateSent[std::string( candidate )] = now;
}

void GatewayQuotas::expire( Account& account, MonoTime now ) {
    while( !account.grants.empty() && account.grants.front().expires <= now ) {
        account.unused += account.grants.front().units;
        account.grants.pop_front();
    }
}

std::vector<GatewayQuotas::Unused> GatewayQuotas::takeUnused( MonoTime now ) {
    std::vector<Unused> out;
    for( auto& [name, account] : m_accounts ) {
        expire( account, now );
        if( account.unused > 0 ) {
            out.push_back( { account.holder, { name, account.unused } } );
            account.unused = 0;
        }
    }
    return out;
}

bool GatewayQuotas::spend( std::string_view organisation, double units, MonoTime now ) {
    const auto it = m_accounts.find( organisation );
    if( it == m_accounts.end() ) {
        return true;
    }
    auto& grants = it->second.grants;
    expire( it->second, now );
    double unspent = 0;
    for( const auto& grant : grants ) {
        unspent += grant.units;
    }
    if( unspent < units ) {
        return false;
    }
    while( units > 0 ) {
        auto& grant = grants.front();
        const double taken = std::min( grant.units, units );
        grant.units -= taken;
        units -= taken;
        if( grant.units <= 0 ) {
            grants.pop_front();
        }
    }
    return true;
}

std::string GatewayQuotas::holderOf( std::string_view organisation, MonoTime now ) const {
    const auto it = m_accounts.find( organisation );
    const bool usable =
        it != m_accounts.end() && now >= it->second.usableFrom &&
        std::binary_search( m_responsive.begin(), m_responsive.end(), it->second.holder );
    return usable ? it->second.holder : std::string();
}

double GatewayQuotas::amountToRequest( std::string_view organisation, double units, MonoTime now ) {
    const auto it = m_accounts.find( organisation );
    if( it == m_accounts.end() ) {
        return units;
    }
    auto& account = it->second;
    const double seconds = std::chrono::duration<double>( now - account.askedAt ).count();
    account.perS = account.perS * std::exp( -seconds / rateSmoothingS ) + units / rateSmoothingS;
    account.askedAt = now;
    return units + account.perS * lookaheadS;
}

void GatewayQuotas::addGrant( std::string_view organisation, double units, MonoTime asked ) {
    const auto it = m_accounts.find( organisation );
    if( it != m_accounts.end() && units > 0 ) {
        it->second.grants.push_back( { units, asked + quotaLease } );
    }
}

bool GatewayQuotas::spendReserve( std::string_view organisation, double units, MonoTime now ) {
    const auto it = m_accounts.find( organisation );
    if( it == m_accounts.end() ) {
        return true;
    }
    auto& account = it->second;
    auto& spent = account.reserve;
    while( !spent.empty() && now - spent.front().at > m_rule.window ) {
        spent.pop_front();
    }
    double sum = units;
    for( const auto& past : spent ) {
        sum += past.units;
    }
    const double share =
        reserveFraction * allowance( m_rule, account.rate ) / std::max( m_gateways, 1 );
    if( sum > share ) {
        return false;
    }
    spent.push_back( { units, now } );
    return true;
}

} // namespace coursehead::decide
