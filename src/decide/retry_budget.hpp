// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_RETRY_BUDGET_HPP_INCLUDED
#define COURSEHEAD_DECIDE_RETRY_BUDGET_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::decide {

//! The platform's bound on the retries that a service receives from all gateways within any window.
struct RetryBound {
    double ratio = 0.2; //!< retries per request
    double slack = 50;  //!< additional retries
    Millis window{ 10000 };
};

//! The slack is divided by the largest number of gateways reported within this time: a gateway that
//! sidecars see no longer may only be cut off from them, and still send to upstreams.
inline constexpr Millis retryGatewaysHold{ 60000 };

//! One gateway's share of the bound.
struct RetryShare {
    double perRequest = 0; //!< retries earned by each request
    double perS = 0;       //!< retries earned in each second
    double maxBalance = 0; //!< earned retries that are kept, besides the last request's credit
};

//! The share of one of `gateways` gateways.
RetryShare retryShare( const RetryBound& bound, int gateways );

/**
 * Token bucket for the retries of one service. It starts empty: earlier processes of the same
 * gateway may have sent retries that count in the same window. In any window the gateway therefore
 * sends at most what it has kept plus what it earns within the window, however often it restarts.
 */
struct RetryBudget {
    double balance = 0;
    MonoTime earnedUntil; //!< time up to which `perS` is credited; at first, from which it is
};

struct RetryDecision {
    bool granted = false;
    double balance = 0; //!< before the retry
};

//! Credits the budget for a request that is sent for the first time.
void earnRetry( RetryBudget& budget, const RetryShare& share, MonoTime now );
/**
 * Takes one retry from the budget. With a share of less than one retry in a window the balance
 * never reaches a whole one; the retry is then granted with a probability equal to the balance,
 * so that all gateways together still use the slack. `draw` is a random number in [0, 1).
 */
RetryDecision takeRetry( RetryBudget& budget, const RetryShare& share, double draw, MonoTime now );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_RETRY_BUDGET_HPP_INCLUDED
