// SPDX-License-Identifier: BSL-1.0
#include "decide/yield_rule.hpp"

#include <algorithm>
#include <tuple>

namespace coursehead::decide {

namespace {

double accountOf( const ReadingAccounts& accounts, const std::string& organisation ) {
    const auto it = accounts.find( organisation );
    return it != accounts.end() ? it->second : 0;
}

//! The account of the waiting prompt's organisation stays the greater one even if the asking prompt
//! is read in its place. So no two prompts take each other's place in turn.
bool staysOverShare( const ReadingRequest& waiting, const ReadingRequest& asking,
                     const ReadingAccounts& accounts ) {
    if( waiting.organisation.empty() || asking.organisation.empty() ) {
        return false;
    }
    return waiting.organisation != asking.organisation &&
           accountOf( accounts, waiting.organisation ) - waiting.workMs >=
               accountOf( accounts, asking.organisation ) + asking.workMs;
}

MonoTime latestEnd( const ReadingRequest& prompt ) {
    using Work = std::chrono::duration<double, std::milli>;
    return prompt.startBy + std::chrono::duration_cast<MonoTime::duration>( Work( prompt.workMs ) );
}

} // namespace

bool haveOneRank( std::span<const ReadingRequest> prompts ) {
    return std::all_of( prompts.begin(), prompts.end(), [&]( const ReadingRequest& it ) {
        return it.organisation.empty() && it.urgency == prompts.front().urgency;
    } );
}

bool isAged( const ReadingRequest& prompt, MonoTime now ) {
    return now - prompt.since >= prompt.startBy - now;
}

void sortByRank( std::vector<ReadingRequest>& prompts, MonoTime now ) {
    const auto before = [now]( const ReadingRequest& a, const ReadingRequest& b ) {
        const bool aWaitsBehind = a.late && !isAged( a, now );
        const bool bWaitsBehind = b.late && !isAged( b, now );
        if( aWaitsBehind != bWaitsBehind ) {
            return bWaitsBehind;
        }
        if( aWaitsBehind ) {
            return std::tie( a.urgency, a.since ) < std::tie( b.urgency, b.since );
        }
        return latestEnd( a ) < latestEnd( b );
    };
    std::stable_sort( prompts.begin(), prompts.end(), before );
}

bool givesWay( const ReadingRequest& waiting, const ReadingRequest& asking,
               const ReadingAccounts& accounts, MonoTime now ) {
    if( asking.late || isAged( waiting, now ) || waiting.urgency < asking.urgency ) {
        return false;
    }
    return waiting.urgency > asking.urgency || waiting.late ||
           staysOverShare( waiting, asking, accounts );
}

void sortByYield( std::vector<ReadingRequest>& prompts, const ReadingAccounts& accounts ) {
    const auto before = [&]( const ReadingRequest& a, const ReadingRequest& b ) {
        const double aAccount = accountOf( accounts, a.organisation );
        const double bAccount = accountOf( accounts, b.organisation );
        return std::tie( a.urgency, a.late, aAccount, a.since ) >
               std::tie( b.urgency, b.late, bAccount, b.since );
    };
    std::stable_sort( prompts.begin(), prompts.end(), before );
}

bool isOverShare( const ReadingRequest& asking, const ReadingAccounts& accounts ) {
    if( asking.organisation.empty() ) {
        return false;
    }
    const double own = accountOf( accounts, asking.organisation );
    return std::any_of( accounts.begin(), accounts.end(), [&]( const auto& it ) {
        return it.first != asking.organisation && it.second + asking.workMs <= own;
    } );
}

} // namespace coursehead::decide
