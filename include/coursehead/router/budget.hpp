// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ROUTER_BUDGET_HPP_INCLUDED
#define COURSEHEAD_ROUTER_BUDGET_HPP_INCLUDED

//! The retry budget: retries may add at most a share of the requests seen.
namespace coursehead::router {

struct RetryBudget {
    double share = 0.1; //!< retries per request
    double most = 20.0; //!< retries saved up at the most
    double saved = 5.0;
};

//! Counts a first attempt.
inline void earn( RetryBudget& budget ) noexcept {
    budget.saved += budget.share;
    if( budget.saved > budget.most ) {
        budget.saved = budget.most;
    }
}

//! Takes one retry; false when the budget is used up.
inline bool spend( RetryBudget& budget ) noexcept {
    if( budget.saved < 1.0 ) {
        return false;
    }
    budget.saved -= 1.0;
    return true;
}

} // namespace coursehead::router

#endif // COURSEHEAD_ROUTER_BUDGET_HPP_INCLUDED
