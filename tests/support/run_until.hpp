// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_RUN_UNTIL_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_RUN_UNTIL_HPP_INCLUDED

#include "net/net.hpp"

#include <functional>

namespace coursehead::support {

//! Long enough for whatever should happen on loopback, on a busy machine too.
inline constexpr Millis loopPatience{ 10000 };

//! Runs a loop until a condition holds; false when it does not within that time.
inline bool runUntil( net::asio::io_context& context, const std::function<bool()>& condition ) {
    constexpr Millis step{ 10 };
    const auto limit = MonoClock::now() + loopPatience;
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
