// SPDX-License-Identifier: BSL-1.0
#include "decide/retry_budget.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Part of the bound that is used. Retries are counted on arrival at the upstream, a little later
//! than here, so the full bound could be exceeded in the window counted there.
constexpr double usedPart = 0.85;
//! Part of the slack that a gateway may keep for a burst of failures; the rest is earned over time,
//! so that a restarted gateway does not depend on its requests alone.
constexpr double keptPart = 0.5;

double seconds( MonoClock::duration time ) {
    return std::chrono::duration<double>( time ).count();
}

void limitBalance( RetryBudget& budget, const RetryShare& share ) {
    // The last request's credit is kept in addition: with hundreds of gateways it may exceed the
    // share of the slack.
    budget.balance = std::min( budget.balance, share.maxBalance + share.perRequest );
}

void earnOverTime( RetryBudget& budget, const RetryShare& share, MonoTime now ) {
    if( now > budget.earnedUntil ) {
        budget.balance += share.perS * seconds( now - budget.earnedUntil );
        budget.earnedUntil = now;
    }
    limitBalance( budget, share );
}

} // namespace

RetryShare retryShare( const RetryBound& bound, int gateways ) {
    const double slack = usedPart * bound.slack / std::max( gateways, 1 );
    RetryShare out;
    out.perRequest = usedPart * bound.ratio;
    out.maxBalance = std::max( keptPart * slack, std::min( slack, 1.0 ) );
    out.perS = ( slack - out.maxBalance ) / seconds( bound.window );
    return out;
}

void earnRetry( RetryBudget& budget, const RetryShare& share, MonoTime now ) {
    earnOverTime( budget, share, now );
    budget.balance += share.perRequest;
    limitBalance( budget, share );
}

RetryDecision takeRetry( RetryBudget& budget, const RetryShare& share, double draw, MonoTime now ) {
    earnOverTime( budget, share, now );
    RetryDecision out;
    out.balance = budget.balance;
    if( budget.balance >= 1.0 ) {
        out.granted = true;
        budget.balance -= 1.0;
    } else if( share.maxBalance < 1.0 ) {
        out.granted = draw < budget.balance;
        budget.balance = 0;
    }
    return out;
}

} // namespace coursehead::decide
