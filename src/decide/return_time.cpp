// SPDX-License-Identifier: BSL-1.0
#include "decide/return_time.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Clients wait at most this part of the time that they have left.
constexpr int clientWaitDivisor = 3;
//! A client that returns sooner meets gateways that have not heard of a change: an engine's next
//! load report takes this long.
constexpr Millis minReturn{ 250 };
//! Longest random addition, as a part of the time told. With a smaller part those refused together
//! return together; with a larger one they wait longer than they have to.
constexpr int spreadDivisor = 4;
//! Part of a held place's time within which the client is told to return. The rest is for the
//! client's own delay.
constexpr int placeDivisor = 2;

} // namespace

std::optional<Millis> returnTime( const RefusalTimes& times, double randomUnit ) {
    const auto from = std::max( times.earliest, minReturn );
    const auto longest = times.clientLeft / clientWaitDivisor;
    if( from > longest ) {
        return std::nullopt;
    }
    auto spread = std::min( from / spreadDivisor, longest - from );
    if( times.placeHeld ) {
        spread = std::min( spread, *times.placeHeld / placeDivisor );
    }
    return from + Millis( static_cast<std::int64_t>( static_cast<double>( spread.count() ) *
                                                     randomUnit ) );
}

} // namespace coursehead::decide
