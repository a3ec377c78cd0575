// SPDX-License-Identifier: BSL-1.0
#include "decide/reading_queue.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Part of any gap target that may go to reading. The rest is for the streams' own steps: with
//! pieces of 54 ms and nine steps of 10 ms and more an event, eight of nine may carry a piece.
constexpr double readingPart = 0.7;
//! A prompt is sent this long before the engine is expected to be free for it: about a round trip
//! and a late loop, so that the engine does not wait for prompts.
constexpr Millis sendAhead{ 15 };
//! Estimates are no finer, and those who ask keep 120 ms back for the way: a prompt that starts
//! this much late is not turned away for it.
constexpr Millis lateSlack{ 90 };
//! What is left of a prompt that should have been read by now, as a part of it.
constexpr double overduePart = 0.5;
//! A prompt that was never seen read is forgotten this long after it should have been: it may have
//! gone with its connection.
constexpr Millis unseenLife{ 2000 };
//! Engine time for each millisecond of named work is believed after about this much of it, and what
//! was seen before fades by this part with each report: about half a second of reading counts.
constexpr double usualMs = 200;
constexpr double fading = 0.92;
//! Estimates of gateways that know nothing of a model are off by a factor of four at most.
constexpr double leastStretch = 0.25;
constexpr double mostStretch = 4;

using Work = std::chrono::duration<double, std::milli>;

Millis roundedUp( MonoTime::duration span ) {
    return std::chrono::ceil<Millis>( std::max( span, MonoTime::duration::zero() ) );
}

MonoTime::duration spanOf( double workMs ) {
    return std::chrono::duration_cast<MonoTime::duration>( Work( std::max( workMs, 0.0 ) ) );
}

bool startsBefore( const ReadingRequest& a, const ReadingRequest& b ) {
    return a.startBy < b.startBy;
}

} // namespace

MonoTime ReadingQueue::startOf( const Given& given, double workMs, MonoTime earliest ) const {
    const MonoTime free = given.empty() ? earliest : std::max( earliest, given.back().to );
    if( m_gapTarget.count() == 0 ) {
        return free;
    }
    const auto window = std::chrono::duration_cast<MonoTime::duration>( m_gapTarget );
    const auto most = std::chrono::duration_cast<MonoTime::duration>( m_gapTarget * readingPart );
    const auto work = std::min( engineTime( workMs ), most );
    // Goes back over what was given: the newest of it that fit into the window beside this prompt
    // stay, and the window begins where they do.
    auto room = most - work;
    for( auto it = given.rbegin(); it != given.rend(); ++it ) {
        const auto length = it->to - it->from;
        if( length > room ) {
            const MonoTime windowFrom = it->to - room;
            return std::max( free, windowFrom + window - work );
        }
        room -= length;
    }
    return free;
}

MonoTime ReadingQueue::place( Given& given, const ReadingRequest& ask, MonoTime now ) const {
    const auto start = startOf( given, ask.workMs, now );
    given.push_back( { ask.key, ask.workMs, start, start + engineTime( ask.workMs ), false } );
    return start;
}

ReadingQueue::Outlook ReadingQueue::outlook( std::span<const ReadingRequest> order,
                                             std::uint64_t key, MonoTime now ) const {
    Outlook out;
    Given given = m_given;
    for( const auto& it : order ) {
        const auto start = place( given, it, now );
        if( it.key == key ) {
            out.start = start;
        }
        out.allInTime = out.allInTime && start <= it.startBy;
    }
    return out;
}

ReadingVerdict ReadingQueue::ask( const ReadingRequest& ask, MonoTime now ) {
    forgetOld( now );
    // What is late already can't be made late by another one.
    std::vector<ReadingRequest> order( m_waiting.begin(), m_waiting.end() );
    const auto at = std::upper_bound( order.begin(), order.end(), ask, startsBefore );
    const bool inTimeBefore = outlook( order, ask.key, now ).allInTime;
    order.insert( at, ask );
    const auto with = outlook( order, ask.key, now );
    const bool accepted = with.start <= ask.startBy && ( with.allInTime || !inTimeBefore );
    if( !accepted ) {
        return { false, std::max( waitFor( ask.workMs, now ), roundedUp( with.start - now ) ) };
    }
    m_waiting.assign( order.begin(), order.end() );
    return { true, roundedUp( with.start - now ) };
}

std::optional<MonoTime> ReadingQueue::nextAt( MonoTime now ) const {
    if( m_waiting.empty() ) {
        return std::nullopt;
    }
    return startOf( m_given, m_waiting.front().workMs, now ) - sendAhead;
}

std::optional<ReadingRequest> ReadingQueue::takeNext( MonoTime now ) {
    forgetOld( now );
    const auto at = nextAt( now );
    if( !at || *at > now ) {
        return std::nullopt;
    }
    const auto out = m_waiting.front();
    m_waiting.pop_front();
    place( m_given, out, now );
    return out;
}

std::vector<ReadingRequest> ReadingQueue::takeExpired( MonoTime now ) {
    forgetOld( now );
    std::vector<ReadingRequest> out;
    Given given = m_given;
    std::erase_if( m_waiting, [&]( const ReadingRequest& it ) {
        const bool late = startOf( given, it.workMs, now ) > it.startBy + lateSlack;
        if( late ) {
            out.push_back( it );
        } else {
            place( given, it, now );
        }
        return late;
    } );
    return out;
}

void ReadingQueue::withdraw( std::uint64_t key, MonoTime now ) {
    std::erase_if( m_waiting, [key]( const auto& it ) { return it.key == key; } );
    // What the engine is taken to have read stays: only the rest comes free.
    for( auto& it : m_given ) {
        if( it.key == key && it.to > now ) {
            it.to = std::max( it.from, now );
        }
    }
}

void ReadingQueue::noteUnread( std::size_t prompts, MonoTime now ) {
    std::size_t left = prompts;
    std::size_t first = m_given.size();
    while( first > 0 && left > 0 && !m_given[first - 1].read ) {
        --first;
        --left;
    }
    double readMs = 0;
    for( std::size_t n = 0; n < first; ++n ) {
        auto& it = m_given[n];
        readMs += it.read ? 0 : it.workMs;
        it.read = true;
        it.to = std::min( it.to, now );
        it.from = std::min( it.from, it.to );
    }
    learnStretch( readMs, now );
    m_readingSince = first < m_given.size() ? std::optional( now ) : std::nullopt;
    MonoTime free = now;
    for( std::size_t n = first; n < m_given.size(); ++n ) {
        auto& it = m_given[n];
        const bool begun = it.from < now && n == first;
        const auto rest = std::max( it.to - now, engineTime( it.workMs * overduePart ) );
        it.from = begun ? it.from : free;
        it.to = free + ( begun ? rest : engineTime( it.workMs ) );
        free = it.to;
    }
}

//! Steps of streams lie between the pieces of a prompt, and gateways' estimates of a model's pace
//! may be wrong: both show in how fast prompts are read while some are there all the time.
void ReadingQueue::learnStretch( double readMs, MonoTime now ) {
    if( !m_readingSince ) {
        return;
    }
    const Work passed = now - *m_readingSince;
    m_seenMs = m_seenMs * fading + passed.count();
    m_namedMs = m_namedMs * fading + readMs;
}

MonoTime::duration ReadingQueue::engineTime( double workMs ) const {
    const double stretch = ( m_seenMs + usualMs ) / ( m_namedMs + usualMs );
    return spanOf( workMs * std::clamp( stretch, leastStretch, mostStretch ) );
}

bool ReadingQueue::busy( MonoTime now ) const {
    return !m_waiting.empty() || ( !m_given.empty() && m_given.back().to > now );
}

void ReadingQueue::clear() {
    m_given.clear();
    m_waiting.clear();
    m_readingSince.reset();
}

Millis ReadingQueue::waitFor( double workMs, MonoTime now ) const {
    Given given = m_given;
    for( const auto& it : m_waiting ) {
        place( given, it, now );
    }
    return roundedUp( startOf( given, workMs, now ) - now );
}

void ReadingQueue::forgetOld( MonoTime now ) {
    while( !m_given.empty() ) {
        const auto& it = m_given.front();
        const auto kept = it.read ? m_gapTarget : std::max( m_gapTarget, unseenLife );
        if( it.to + kept > now ) {
            return;
        }
        m_given.pop_front();
    }
}

} // namespace coursehead::decide
