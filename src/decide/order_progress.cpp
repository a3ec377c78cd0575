// SPDX-License-Identifier: BSL-1.0
#include "decide/order_progress.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Least time left of an order, relative to the time that it has taken. With a smaller part, asks
//! wait again and again for an order that is about to end.
constexpr int overduePart = 10;

} // namespace

std::optional<Millis> orderLeft( const ModelOrder& order, MonoTime now ) {
    if( !order.expected ) {
        return std::nullopt;
    }
    const auto passed = std::chrono::duration_cast<Millis>( now - order.sentAt );
    return std::max( *order.expected - passed, passed / overduePart );
}

std::optional<Millis> waitBeyondLimit( const OrderWait& wait ) {
    if( !wait.orderLeft ) {
        return std::nullopt;
    }
    const auto needed = *wait.orderLeft + wait.ownLoad;
    return needed > wait.limitLeft ? std::optional( needed ) : std::nullopt;
}

} // namespace coursehead::decide
