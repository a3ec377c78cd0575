// SPDX-License-Identifier: BSL-1.0
#include "decide/part_fetch.hpp"

#include <cmath>

namespace coursehead::decide {

namespace {

//! Time until the first byte of a transfer arrives: the source is asked and looks up the parts.
constexpr Millis transferSetup{ 4 };
//! A transfer to another hall takes this many times as long.
constexpr double otherHallFactor = 2;
//! A transfer may take at most this part of the reading time. The source's link may be busy with
//! one transfer of the same size that this engine's sidecar does not know of, and the result should
//! still be no later than reading.
constexpr double maxTransferPart = 0.5;

constexpr double bitsPerByte = 8;
constexpr double bitsPerMsAndMbps = 1000;

} // namespace

Millis transferTime( const PartLink& link, const FetchOption& option ) {
    const double bits = static_cast<double>( option.tokens ) * link.tokenBytes * bitsPerByte;
    const double bytesMs = bits / ( link.linkMbps * bitsPerMsAndMbps );
    const double ms = option.otherHall ? bytesMs * otherHallFactor : bytesMs;
    return transferSetup + Millis( static_cast<std::int64_t>( std::ceil( ms ) ) );
}

FetchDecision decideFetch( const PartLink& link, const FetchOption& option ) {
    if( !link.usable() ) {
        return FetchDecision::noLink;
    }
    if( option.tokens <= 0 ) {
        return FetchDecision::noTokens;
    }
    if( option.recentFailure ) {
        return FetchDecision::failed;
    }
    const double readingMs = static_cast<double>( option.tokens ) * option.msPerToken;
    const auto transfer = option.queuedTransfers + transferTime( link, option );
    const auto transferMs = static_cast<double>( transfer.count() );
    if( transferMs > readingMs * maxTransferPart || readingMs - transferMs < minFetchSavingMs ) {
        return FetchDecision::noSavings;
    }
    if( option.readyIn > option.startIn ) {
        return FetchDecision::notReady;
    }
    return FetchDecision::fetch;
}

} // namespace coursehead::decide
