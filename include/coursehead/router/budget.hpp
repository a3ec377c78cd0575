// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ROUTER_BUDGET_HPP_INCLUDED
#define COURSEHEAD_ROUTER_BUDGET_HPP_INCLUDED

//! The retry budget: limits retries to a share of the first attempts, plus a bounded balance.
namespace coursehead::router {

struct RetryBudget {
    double share = 0.1;       //!< retries earned by each first attempt
    double maxBalance = 20.0; //!< upper bound of the balance
    double balance = 5.0;
};

//! Credits the budget for a first attempt.
inline void earn( RetryBudget& budget ) noexcept {
    budget.balance += budget.share;
    if( budget.balance > budget.maxBalance ) {
        budget.balance = budget.maxBalance;
    }
}

//! Debits one retry; false when the budget is exhausted.
inline bool spend( RetryBudget& budget ) noexcept {
    if( budget.balance < 1.0 ) {
        return false;
    }
    budget.balance -= 1.0;
    return true;
}

} // namespace coursehead::router

#endif // COURSEHEAD_ROUTER_BUDGET_HPP_INCLUDED
