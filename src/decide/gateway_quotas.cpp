// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_quotas.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace coursehead::decide {

namespace {

//! One question serves about this time's requests, well within the lease.
constexpr double aheadS = 0.2;
//! The pace of requests is smoothed over about this time.
constexpr double paceS = 1.0;
//! From the first candidate that answers, the others have this long to: while a gateway knows only
//! some of them, its choice would differ from the others'.
constexpr Millis settleTime{ 500 };

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
    for( const auto& it : m_answering ) {
        const auto score = hash64( it, account.rate.organisation );
        if( best == nullptr || score > bestScore ) {
            best = &it;
            bestScore = score;
        }
    }
    if( best == nullptr || *best == account.holder ) {
        return;
    }
    const bool reached =
        std::binary_search( m_answering.begin(), m_answering.end(), account.holder );
    const auto told = m_told.find( account.holder );
    // A holder that can't be told goes on counting this gateway for a while.
    const bool counted = !account.holder.empty() && !reached && told != m_told.end();
    account.usableFrom = counted ? told->second + quotaMembership : now;
    account.holder = *best;
    account.lots.clear();
    account.unused = 0;
}

bool GatewayQuotas::setCandidates( std::span<const HolderCandidate> candidates, int gateways,
                                   MonoTime now ) {
    m_gateways = gateways;
    std::vector<std::string> answering;
    for( const auto& it : candidates ) {
        if( it.answers ) {
            answering.push_back( it.name );
        }
    }
    std::sort( answering.begin(), answering.end() );
    answering.erase( std::unique( answering.begin(), answering.end() ), answering.end() );
    if( !answering.empty() && !m_firstAnswered ) {
        m_firstAnswered = now;
    }
    m_settled = m_settled || ( !answering.empty() && answering.size() == candidates.size() ) ||
                ( m_firstAnswered && now - *m_firstAnswered >= settleTime );
    if( !m_settled ) {
        return false;
    }
    const bool same = answering == m_answering;
    m_answering = std::move( answering );
    bool changed = false;
    for( auto& [name, account] : m_accounts ) {
        if( same && !account.holder.empty() ) {
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
    m_told[std::string( candidate )] = now;
}

void GatewayQuotas::expire( Account& account, MonoTime now ) {
    while( !account.lots.empty() && account.lots.front().expires <= now ) {
        account.unused += account.lots.front().units;
        account.lots.pop_front();
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
    auto& lots = it->second.lots;
    expire( it->second, now );
    double held = 0;
    for( const auto& lot : lots ) {
        held += lot.units;
    }
    if( held < units ) {
        return false;
    }
    while( units > 0 ) {
        auto& lot = lots.front();
        const double taken = std::min( lot.units, units );
        lot.units -= taken;
        units -= taken;
        if( lot.units <= 0 ) {
            lots.pop_front();
        }
    }
    return true;
}

std::string GatewayQuotas::holderOf( std::string_view organisation, MonoTime now ) const {
    const auto it = m_accounts.find( organisation );
    const bool usable =
        it != m_accounts.end() && now >= it->second.usableFrom &&
        std::binary_search( m_answering.begin(), m_answering.end(), it->second.holder );
    return usable ? it->second.holder : std::string();
}

double GatewayQuotas::amountToRequest( std::string_view organisation, double units, MonoTime now ) {
    const auto it = m_accounts.find( organisation );
    if( it == m_accounts.end() ) {
        return units;
    }
    auto& account = it->second;
    const double seconds = std::chrono::duration<double>( now - account.askedAt ).count();
    account.perS = account.perS * std::exp( -seconds / paceS ) + units / paceS;
    account.askedAt = now;
    return units + account.perS * aheadS;
}

void GatewayQuotas::addGrant( std::string_view organisation, double units, MonoTime asked ) {
    const auto it = m_accounts.find( organisation );
    if( it != m_accounts.end() && units > 0 ) {
        it->second.lots.push_back( { units, asked + quotaLease } );
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
    const double mine = reservePart * allowance( m_rule, account.rate ) / std::max( m_gateways, 1 );
    if( sum > mine ) {
        return false;
    }
    spent.push_back( { units, now } );
    return true;
}

} // namespace coursehead::decide
