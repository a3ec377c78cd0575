// SPDX-License-Identifier: BSL-1.0
#include "decide/quota_holder.hpp"

#include <algorithm>

namespace coursehead::decide {

double QuotaHolder::shareOf( std::string_view organisation, MonoTime now ) const {
    int users = 0;
    int present = 0;
    int reportedGateways = 1;
    for( const auto& [name, member] : m_members ) {
        present += now - member.lastMessageAt <= m_rule.window ? 1 : 0;
        if( now - member.lastMessageAt > quotaMembership ) {
            continue;
        }
        reportedGateways = std::max( reportedGateways, member.gateways );
        const auto& list = member.organisations;
        users += std::find( list.begin(), list.end(), organisation ) != list.end() ? 1 : 0;
    }
    return static_cast<double>( users ) / std::max( { present, reportedGateways, users, 1 } );
}

QuotaRate QuotaHolder::rateOf( const Account& account, MonoTime now ) const {
    QuotaRate out = account.rate;
    const double share = shareOf( out.organisation, now );
    out.perS *= share;
    out.burst *= share;
    return out;
}

void QuotaHolder::takeUpdate( const QuotaUpdate& update, MonoTime now ) {
    std::erase_if( m_members, [&]( const auto& it ) {
        return now - it.second.lastMessageAt > m_rule.window;
    } );
    std::vector<std::string> organisations;
    for( const auto& it : update.rates ) {
        organisations.push_back( it.organisation );
    }
    auto& member = m_members[update.gateway];
    const bool unchanged =
        now - member.lastMessageAt <= quotaMembership && member.organisations == organisations;
    if( !unchanged ) {
        // The shares change: units for the time until now are added by the previous shares.
        refillAll( member.organisations, now );
        refillAll( organisations, now );
        member.organisations = std::move( organisations );
    }
    member.lastMessageAt = now;
    member.gateways = update.gateways;
    for( const auto& it : update.rates ) {
        auto& account = m_accounts[it.organisation];
        if( update.version >= account.version ) {
            account.version = update.version;
            account.rate = it;
        }
        initialise( account, now );
    }
}

void QuotaHolder::initialise( Account& account, MonoTime now ) {
    const auto rate = rateOf( account, now );
    const bool isNew = account.bucket.at == MonoTime{};
    refill( account.bucket, rate, now );
    if( isNew ) {
        // With an empty bucket, requests that need more units than are earned while they wait would
        // be refused although no units have been requested: after a power loss 28 review requests
        // were refused.
        const double first = initialFraction * allowance( m_rule, account.rate );
        account.bucket.level = std::min( first, rate.burst );
    }
}

void QuotaHolder::refillAll( const std::vector<std::string>& organisations, MonoTime now ) {
    for( const auto& it : organisations ) {
        const auto found = m_accounts.find( it );
        if( found != m_accounts.end() ) {
            refill( found->second.bucket, rateOf( found->second, now ), now );
        }
    }
}

QuotaAnswer QuotaHolder::ask( const std::string& gateway, const QuotaRequest& request,
                              MonoTime now ) {
    QuotaAnswer out;
    out.number = request.number;
    const auto it = m_accounts.find( request.organisation );
    const auto member = m_members.find( gateway );
    if( it == m_accounts.end() || member == m_members.end() ) {
        return out;
    }
    const auto& listed = member->second.organisations;
    if( std::find( listed.begin(), listed.end(), request.organisation ) == listed.end() ) {
        return out;
    }
    const bool isCounted = now - member->second.lastMessageAt <= quotaMembership;
    if( !isCounted ) {
        refillAll( listed, now );
    }
    member->second.lastMessageAt = now;
    if( !isCounted ) {
        // This gateway's share was not counted, so a refusal now would say nothing about the limit.
        return out;
    }
    out.known = true;
    const auto grant = take( it->second.bucket, rateOf( it->second, now ), request, now );
    out.granted = grant.units;
    out.waitMs = grant.wait.count();
    out.earliestWaitMs = grant.earliestWait.count();
    if( grant.units <= 0 ) {
        // While a starting fleet connects, a holder's share may be about a hundredth, by which a
        // review request would be told to retry after half a minute. The times are scaled to the
        // whole limit: by the time the client retries, the share is whole again, or the client
        // asks another gateway.
        const double share = shareOf( request.organisation, now );
        out.waitMs = static_cast<std::int64_t>( static_cast<double>( out.waitMs ) * share );
        out.earliestWaitMs =
            static_cast<std::int64_t>( static_cast<double>( out.earliestWaitMs ) * share );
    }
    return out;
}

void QuotaHolder::forget( std::string_view organisation ) {
    const auto it = m_accounts.find( organisation );
    if( it != m_accounts.end() ) {
        m_accounts.erase( it );
    }
}

void QuotaHolder::acceptReturn( const QuotaReturn& returned, MonoTime now ) {
    const auto it = m_accounts.find( returned.organisation );
    if( it != m_accounts.end() ) {
        refund( it->second.bucket, rateOf( it->second, now ), returned.units, now );
    }
}

} // namespace coursehead::decide
