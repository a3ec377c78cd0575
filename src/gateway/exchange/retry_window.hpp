// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_RETRY_WINDOW_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_RETRY_WINDOW_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstddef>
#include <deque>

namespace coursehead::gateway {

//! The parameters of this gateway's share of the retry budget that all gateways share.
struct RetryShare {
    double ratio = 0.2;     //!< retries per first send
    double slack = 50;      //!< additional retries per window, for all gateways together
    Millis window{ 10000 }; //!< length of the sliding window
    int gateways = 1;       //!< number of gateways that share the budget
};

//! Verdict on one retry, with the figures that it is based on.
struct RetryDecision {
    bool granted = false;
    std::size_t firstSends = 0; //!< within the window
    std::size_t retries = 0;    //!< within the window, before this one
    double allowed = 0;         //!< retries that the share allows within the window
};

//! First sends and retries of one service within a sliding window.
class RetryWindow {
public:
    void countFirstSend( MonoTime now );
    //! Counts one retry against the share, unless the share is used up.
    RetryDecision take( const RetryShare& share, MonoTime now );

private:
    void forget( Millis window, MonoTime now );

    std::deque<MonoTime> m_firstSends;
    std::deque<MonoTime> m_retries;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_RETRY_WINDOW_HPP_INCLUDED
