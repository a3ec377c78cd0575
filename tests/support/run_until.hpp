// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_RUN_UNTIL_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_RUN_UNTIL_HPP_INCLUDED

#include "net/net.hpp"

#include <functional>

namespace coursehead::support {

//! Upper bound on any expected event on loopback, under heavy load too.
inline constexpr Millis runUntilTimeout{ 10000 };

//! Runs the event loop until the condition holds; false when it does not within runUntilTimeout.
inline bool runUntil( net::asio::io_context& context, const std::function<bool()>& condition ) {
    constexpr Millis step{ 10 };
    const auto limit = MonoClock::now() + runUntilTimeout;
    while( !condition() ) {
        if( MonoClock::now() > limit ) {
            return false;
        }
        context.run_one_for( step );
    }
    return true;
}

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_RUN_UNTIL_HPP_INCLUDED
