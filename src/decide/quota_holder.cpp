// SPDX-License-Identifier: BSL-1.0
#include "decide/quota_holder.hpp"

#include <algorithm>

namespace coursehead::decide {

double QuotaHolder::shareOf( std::string_view organisation, MonoTime now ) const {
    int holdingTo = 0;
    int heard = 0;
    int told = 1;
    for( const auto& [name, member] : m_members ) {
        heard += now - member.heard <= m_rule.window ? 1 : 0;
        if( now - member.heard > quotaMembership ) {
            continue;
        }
        told = std::max( told, member.gateways );
        const auto& list = member.organisations;
        holdingTo += std::find( list.begin(), list.end(), organisation ) != list.end() ? 1 : 0;
    }
    return static_cast<double>( holdingTo ) / std::max( { heard, told, holdingTo, 1 } );
}

QuotaRate QuotaHolder::rateOf( const Account& account, MonoTime now ) const {
    QuotaRate out = account.rate;
    const double part = shareOf( out.organisation, now );
    out.perS *= part;
    out.burst *= part;
    return out;
}

void QuotaHolder::takeUpdate( const QuotaUpdate& news, MonoTime now ) {
    std::erase_if( m_members,
                   [&]( const auto& it ) { return now - it.second.heard > m_rule.window; } );
    std::vector<std::string> organisations;
    for( const auto& it : news.rates ) {
        organisations.push_back( it.organisation );
    }
    auto& member = m_members[news.gateway];
    const bool stays =
        now - member.heard <= quotaMembership && member.organisations == organisations;
    if( !stays ) {
        // The parts change: what was earned until now was earned by the parts until now.
        refillAll( member.organisations, now );
        refillAll( organisations, now );
        member.organisations = std::move( organisations );
    }
    member.heard = now;
    member.gateways = news.gateways;
    for( const auto& it : news.rates ) {
        auto& account = m_accounts[it.organisation];
        if( news.version >= account.version ) {
            account.version = news.version;
            account.rate = it;
        }
        start( account, now );
    }
}

void QuotaHolder::start( Account& account, MonoTime now ) {
    const auto rate = rateOf( account, now );
    const bool isNew = account.bucket.at == MonoTime{};
    refill( account.bucket, rate, now );
    if( isNew ) {
        // Requests larger than what comes in while they wait would be refused though nobody has
        // asked for anything: after a loss of power 28 reviews were.
        const double first = startPart * allowance( m_rule, account.rate );
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

QuotaAnswer QuotaHolder::ask( const std::string& gateway, const QuotaRequest& ask, MonoTime now ) {
    QuotaAnswer out;
    out.number = ask.number;
    const auto it = m_accounts.find( ask.organisation );
    const auto member = m_members.find( gateway );
    if( it == m_accounts.end() || member == m_members.end() ) {
        return out;
    }
    const auto& listed = member->second.organisations;
    if( std::find( listed.begin(), listed.end(), ask.organisation ) == listed.end() ) {
        return out;
    }
    const bool belongs = now - member->second.heard <= quotaMembership;
    if( !belongs ) {
        refillAll( listed, now );
    }
    member->second.heard = now;
    if( !belongs ) {
        // Its part was not counted, so what it would be told now is no word on the limit.
        return out;
    }
    out.known = true;
    const auto grant = take( it->second.bucket, rateOf( it->second, now ), ask, now );
    out.granted = grant.units;
    out.waitMs = grant.wait.count();
    out.earliestWaitMs = grant.room.count();
    if( grant.units <= 0 ) {
        // While the links of a fleet that starts come up, a holder has a part of a hundredth or so,
        // and by that part a review would be told to come back after half a minute. By the time the
        // client is back the part is whole again, or the client asks elsewhere.
        const double part = shareOf( ask.organisation, now );
        out.waitMs = static_cast<std::int64_t>( static_cast<double>( out.waitMs ) * part );
        out.earliestWaitMs =
            static_cast<std::int64_t>( static_cast<double>( out.earliestWaitMs ) * part );
    }
    return out;
}

void QuotaHolder::forget( std::string_view organisation ) {
    const auto it = m_accounts.find( organisation );
    if( it != m_accounts.end() ) {
        m_accounts.erase( it );
    }
}

void QuotaHolder::acceptReturn( const QuotaReturn& back, MonoTime now ) {
    const auto it = m_accounts.find( back.organisation );
    if( it != m_accounts.end() ) {
        refund( it->second.bucket, rateOf( it->second, now ), back.units, now );
    }
}

} // namespace coursehead::decide
