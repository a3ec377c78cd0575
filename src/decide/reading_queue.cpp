// SPDX-License-Identifier: BSL-1.0
#include "decide/reading_queue.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! Part of any period as long as the gap target that may be used for prompt reading. The rest is
//! for the streams' own steps: with pieces of 54 ms and events of nine steps of at least 10 ms
//! each, eight of nine steps may read a piece.
constexpr double readingFraction = 0.7;
//! A prompt is sent this long before the engine is expected to be free, so that the engine does not
//! wait for prompts. The time covers a round trip and a late iteration of the event loop.
constexpr Millis sendAhead{ 15 };
//! A prompt that starts late by no more than this is not dropped: estimates are no more precise,
//! and gateways subtract 120 ms for transmission from the latest start time.
constexpr Millis lateTolerance{ 90 };
//! Remaining work of a prompt that should have been read by now, as a part of its whole work.
constexpr double overdueFraction = 0.5;
//! A prompt that no report shows as read is forgotten this long after its expected end: it may have
//! been lost with its connection.
constexpr Millis unseenLifetime{ 2000 };
//! The ratio of measured engine time to stated work starts at 1, with the weight of `priorMs` of
//! measured reading. Earlier measurements are multiplied by `decayFactor` at each report of prompts
//! that were read, so that the last twelve or so count.
constexpr double priorMs = 200;
constexpr double decayFactor = 0.92;
//! Bounds of that ratio: estimates of a gateway that has no measurements of a model are wrong by a
//! factor of four at most.
constexpr double minTimeRatio = 0.25;
constexpr double maxTimeRatio = 4;

using Work = std::chrono::duration<double, std::milli>;

Millis roundedUp( MonoTime::duration span ) {
    return std::chrono::ceil<Millis>( std::max( span, MonoTime::duration::zero() ) );
}

MonoTime::duration durationOf( double workMs ) {
    return std::chrono::duration_cast<MonoTime::duration>( Work( std::max( workMs, 0.0 ) ) );
}

bool startsBefore( const ReadingRequest& a, const ReadingRequest& b ) {
    return a.startBy < b.startBy;
}

} // namespace

MonoTime ReadingQueue::earliestStart( const SentPrompts& sent, double workMs,
                                      MonoTime earliest ) const {
    const MonoTime freeAt = sent.empty() ? earliest : std::max( earliest, sent.back().to );
    if( m_gapTarget.count() == 0 ) {
        return freeAt;
    }
    const auto window = std::chrono::duration_cast<MonoTime::duration>( m_gapTarget );
    const auto maxReading =
        std::chrono::duration_cast<MonoTime::duration>( m_gapTarget * readingFraction );
    const auto work = std::min( engineTime( workMs ), maxReading );
    // Goes back over the prompts sent, newest first, until the reading time that the window leaves
    // beside this prompt is used up; the window starts there.
    auto readingLeft = maxReading - work;
    for( auto it = sent.rbegin(); it != sent.rend(); ++it ) {
        const auto length = it->to - it->from;
        if( length > readingLeft ) {
            const MonoTime windowStart = it->to - readingLeft;
            return std::max( freeAt, windowStart + window - work );
        }
        readingLeft -= length;
    }
    return freeAt;
}

MonoTime ReadingQueue::appendPeriod( SentPrompts& sent, const ReadingRequest& request,
                                     MonoTime now ) const {
    const auto start = earliestStart( sent, request.workMs, now );
    sent.push_back(
        { request.key, request.workMs, start, start + engineTime( request.workMs ), false } );
    return start;
}

ReadingQueue::Forecast ReadingQueue::forecast( std::span<const ReadingRequest> order,
                                               std::uint64_t key, MonoTime now ) const {
    Forecast out;
    SentPrompts sent = m_sent;
    for( const auto& it : order ) {
        const auto start = appendPeriod( sent, it, now );
        if( it.key == key ) {
            out.start = start;
        }
        out.allInTime = out.allInTime && start <= it.startBy;
    }
    return out;
}

ReadingVerdict ReadingQueue::ask( const ReadingRequest& request, MonoTime now ) {
    dropOld( now );
    // If some waiting prompt is late already, this prompt is not refused for making others late.
    std::vector<ReadingRequest> order( m_waiting.begin(), m_waiting.end() );
    const auto at = std::upper_bound( order.begin(), order.end(), request, startsBefore );
    const bool inTimeBefore = forecast( order, request.key, now ).allInTime;
    order.insert( at, request );
    const auto forecastWith = forecast( order, request.key, now );
    const bool accepted =
        forecastWith.start <= request.startBy && ( forecastWith.allInTime || !inTimeBefore );
    if( !accepted ) {
        return { false, std::max( waitFor( request.workMs, now ),
                                  roundedUp( forecastWith.start - now ) ) };
    }
    m_waiting.assign( order.begin(), order.end() );
    return { true, roundedUp( forecastWith.start - now ) };
}

std::optional<MonoTime> ReadingQueue::nextAt( MonoTime now ) const {
    if( m_waiting.empty() ) {
        return std::nullopt;
    }
    return earliestStart( m_sent, m_waiting.front().workMs, now ) - sendAhead;
}

std::optional<ReadingRequest> ReadingQueue::takeNext( MonoTime now ) {
    dropOld( now );
    const auto at = nextAt( now );
    if( !at || *at > now ) {
        return std::nullopt;
    }
    const auto out = m_waiting.front();
    m_waiting.pop_front();
    appendPeriod( m_sent, out, now );
    return out;
}

std::vector<ReadingRequest> ReadingQueue::takeExpired( MonoTime now ) {
    dropOld( now );
    std::vector<ReadingRequest> out;
    SentPrompts sent = m_sent;
    std::erase_if( m_waiting, [&]( const ReadingRequest& it ) {
        const bool late = earliestStart( sent, it.workMs, now ) > it.startBy + lateTolerance;
        if( late ) {
            out.push_back( it );
        } else {
            appendPeriod( sent, it, now );
        }
        return late;
    } );
    return out;
}

void ReadingQueue::withdraw( std::uint64_t key, MonoTime now ) {
    std::erase_if( m_waiting, [key]( const auto& it ) { return it.key == key; } );
    // The part that the engine is estimated to have read still counts; only the rest is released.
    for( auto& it : m_sent ) {
        if( it.key == key && it.to > now ) {
            it.to = std::max( it.from, now );
        }
    }
}

void ReadingQueue::noteUnread( std::size_t prompts, MonoTime now ) {
    std::size_t unreadLeft = prompts;
    std::size_t first = m_sent.size();
    while( first > 0 && unreadLeft > 0 && !m_sent[first - 1].read ) {
        --first;
        --unreadLeft;
    }
    double readMs = 0;
    for( std::size_t n = 0; n < first; ++n ) {
        auto& it = m_sent[n];
        readMs += it.read ? 0 : it.workMs;
        it.read = true;
        it.to = std::min( it.to, now );
        it.from = std::min( it.from, it.to );
    }
    updateTimeRatio( readMs, now );
    m_readingSince = first < m_sent.size() ? std::optional( now ) : std::nullopt;
    m_unsettledMs = m_readingSince ? m_unsettledMs : 0;
    MonoTime freeAt = now;
    for( std::size_t n = first; n < m_sent.size(); ++n ) {
        auto& it = m_sent[n];
        const bool started = it.from < now && n == first;
        const bool overdue = it.to <= now;
        const auto remainingTime =
            overdue ? engineTime( it.workMs * overdueFraction ) : it.to - now;
        it.from = started ? it.from : freeAt;
        it.to = freeAt + ( started ? remainingTime : engineTime( it.workMs ) );
        freeAt = it.to;
    }
}

//! Measures the ratio of engine time to stated work while prompts are read continuously. It differs
//! from 1 because streams' steps lie between a prompt's pieces, and because gateways may estimate a
//! model's reading speed wrongly. The engine's time counts when its prompts have been read,
//! together with their work: else a long prompt counts as slow until it ends.
void ReadingQueue::updateTimeRatio( double readMs, MonoTime now ) {
    if( !m_readingSince ) {
        return;
    }
    m_unsettledMs += Work( now - *m_readingSince ).count();
    if( readMs > 0 ) {
        m_measuredMs = m_measuredMs * decayFactor + std::exchange( m_unsettledMs, 0 );
        m_statedMs = m_statedMs * decayFactor + readMs;
    }
}

MonoTime::duration ReadingQueue::engineTime( double workMs ) const {
    const double timeRatio = ( m_measuredMs + priorMs ) / ( m_statedMs + priorMs );
    return durationOf( workMs * std::clamp( timeRatio, minTimeRatio, maxTimeRatio ) );
}

bool ReadingQueue::busy( MonoTime now ) const {
    return !m_waiting.empty() || ( !m_sent.empty() && m_sent.back().to > now );
}

void ReadingQueue::clear() {
    m_sent.clear();
    m_waiting.clear();
    m_readingSince.reset();
    m_unsettledMs = 0;
}

Millis ReadingQueue::waitFor( double workMs, MonoTime now ) const {
    SentPrompts sent = m_sent;
    for( const auto& it : m_waiting ) {
        appendPeriod( sent, it, now );
    }
    return roundedUp( earliestStart( sent, workMs, now ) - now );
}

void ReadingQueue::dropOld( MonoTime now ) {
    while( !m_sent.empty() ) {
        const auto& it = m_sent.front();
        const auto keepTime = it.read ? m_gapTarget : std::max( m_gapTarget, unseenLifetime );
        if( it.to + keepTime > now ) {
            return;
        }
        m_sent.pop_front();
    }
}

} // namespace coursehead::decide
