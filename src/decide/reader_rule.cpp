// SPDX-License-Identifier: BSL-1.0
#include "decide/reader_rule.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace coursehead::decide {

namespace {

//! Share of the vm's memory for answers that wait for their clients. The rest holds the process,
//! request bodies and the bytes in the sockets.
constexpr std::uint64_t memoryShareDivisor = 8;
//! Bound where the settings state no memory limit.
constexpr std::size_t defaultTotalBytes = std::size_t{ 32 } << 20U;
//! Bound for one answer: a long text as events, so that its engine can finish it without waiting
//! for the client. A larger one would let few clients fill the store.
constexpr std::size_t maxAnswerBytes = std::size_t{ 256 } << 10U;
//! No single answer gets more than this part of the store.
constexpr std::size_t answerShareDivisor = 8;
//! Part of the store that is freed when it is full. With less, all other answers would wait for
//! room again at once, and stay unread for seconds while one reader after the other is cut.
constexpr std::size_t freedShareDivisor = 4;
//! A reader stands when it has acknowledged no bytes for this long. Upstreams cut off an answer
//! that is left unread for some seconds; a shorter time would cut clients after a single lost
//! packet.
constexpr Millis standingTime{ 1000 };
constexpr double shortestStep = 0.001; // seconds

std::optional<ReaderCutCause> ownCause( const ReaderState& reader, const ReaderLimits& limits,
                                        MonoTime now ) {
    const auto stood = now - reader.tookBytesAt;
    if( stood >= limits.idleTime ) {
        return ReaderCutCause::stalled;
    }
    if( stood < standingTime ) {
        return std::nullopt;
    }
    if( reader.deadline != MonoTime{} && now >= reader.deadline ) {
        return ReaderCutCause::late;
    }
    if( reader.upstreamWaits && reader.heldBytes >= limits.answerBytes ) {
        return ReaderCutCause::answerFull;
    }
    return std::nullopt;
}

//! Bytes a second that a reader takes at most, by its last step and the time since. A client that
//! reads steadily acknowledges up to its whole receive buffer at a time, which may take it seconds.
double readingRate( const ReaderState& reader, MonoTime now ) {
    const auto time = std::max<MonoClock::duration>( reader.stepTime, now - reader.tookBytesAt );
    const auto seconds = std::chrono::duration<double>( time ).count();
    return static_cast<double>( reader.stepBytes ) / std::max( seconds, shortestStep );
}

} // namespace

ReaderLimits readerLimits( std::uint64_t memoryBytes, Millis idleTime ) {
    ReaderLimits out;
    out.totalBytes = memoryBytes > 0 ? memoryBytes / memoryShareDivisor : defaultTotalBytes;
    out.answerBytes = std::min( maxAnswerBytes, out.totalBytes / answerShareDivisor );
    out.idleTime = idleTime;
    return out;
}

std::string_view readerCutText( ReaderCutCause cause ) {
    switch( cause ) {
    case ReaderCutCause::stalled:
        return "stalled";
    case ReaderCutCause::late:
        return "late";
    case ReaderCutCause::answerFull:
        return "answer_full";
    case ReaderCutCause::totalFull:
        return "total_full";
    }
    return "unknown";
}

std::vector<ReaderCut> readersToCut( std::span<const ReaderState> readers, std::size_t totalBytes,
                                     const ReaderLimits& limits, MonoTime now ) {
    std::vector<ReaderCut> out;
    std::vector<std::size_t> standing;
    auto left = totalBytes;
    for( std::size_t n = 0; n < readers.size(); ++n ) {
        const auto& it = readers[n];
        if( it.heldBytes == 0 ) {
            continue;
        }
        const auto cause = ownCause( it, limits, now );
        if( cause ) {
            out.push_back( { n, *cause } );
            left -= it.heldBytes;
        } else if( now - it.tookBytesAt >= standingTime ) {
            standing.push_back( n );
        }
    }
    if( left < limits.totalBytes ) {
        return out;
    }
    std::sort( standing.begin(), standing.end(), [readers, now]( std::size_t a, std::size_t b ) {
        const auto rateOfA = readingRate( readers[a], now );
        const auto rateOfB = readingRate( readers[b], now );
        return std::pair( rateOfA, readers[a].tookBytesAt ) <
               std::pair( rateOfB, readers[b].tookBytesAt );
    } );
    const auto enough = limits.totalBytes - limits.totalBytes / freedShareDivisor;
    for( const auto n : standing ) {
        if( left < enough ) {
            break;
        }
        out.push_back( { n, ReaderCutCause::totalFull } );
        left -= readers[n].heldBytes;
    }
    return out;
}

bool mayReadOn( std::size_t heldBytes, std::size_t totalBytes, const ReaderLimits& limits ) {
    const bool room = heldBytes < limits.answerBytes && totalBytes < limits.totalBytes;
    return heldBytes == 0 || room;
}

} // namespace coursehead::decide
