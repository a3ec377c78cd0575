// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_RETRY_WINDOW_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_RETRY_WINDOW_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <deque>

namespace coursehead::gateway {

//! This process's share of a retry budget that all gateways spend from.
struct RetryShare {
    double ratio = 0.2;     //!< retries per first send
    double slack = 50;      //!< retries per window on top, of all gateways
    Millis window{ 10000 }; //!< sliding
    int gateways = 1;       //!< that spend from the budget
};

//! First sends and retries of one service within a sliding window.
class RetryWindow {
public:
    void countFirstSend( MonoTime now );
    //! Takes one retry; false when the share is used up.
    bool take( const RetryShare& share, MonoTime now );

private:
    void forget( Millis window, MonoTime now );

    std::deque<MonoTime> m_firsts;
    std::deque<MonoTime> m_retries;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_RETRY_WINDOW_HPP_INCLUDED
