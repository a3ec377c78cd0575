// SPDX-License-Identifier: BSL-1.0
#include "decide/reading_queue.hpp"

#include <algorithm>
#include <iterator>
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
//! A less urgent prompt may be made late by this much. The rest of the tolerance remains for an
//! engine that is slower than expected.
constexpr Millis yieldTolerance{ lateTolerance / 2 };
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

//! The fewest prompts that have to be removed, first to give way first, until `suffices` is true of
//! those kept; empty if it is not true even without all that may be removed.
template <typename MayRemove, typename Suffices>
std::vector<ReadingRequest> fewestRemoved( std::vector<ReadingRequest> kept,
                                           const ReadingAccounts& accounts,
                                           const MayRemove& mayRemove, const Suffices& suffices ) {
    std::vector<ReadingRequest> candidates;
    std::copy_if( kept.begin(), kept.end(), std::back_inserter( candidates ), mayRemove );
    sortByYield( candidates, accounts );
    std::vector<ReadingRequest> removed;
    bool enough = false;
    for( auto it = candidates.begin(); it != candidates.end() && !enough; ++it ) {
        std::erase_if( kept, [&]( const auto& other ) { return other.key == it->key; } );
        removed.push_back( *it );
        enough = suffices( kept );
    }
    if( !enough ) {
        return {};
    }
    std::vector<ReadingRequest> out;
    for( auto it = removed.rbegin(); it != removed.rend(); ++it ) {
        kept.push_back( *it );
        if( !suffices( kept ) ) {
            kept.pop_back();
            out.push_back( *it );
        }
    }
    return out;
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
    if( !request.organisation.empty() ) {
        m_share.noteAsk( request.organisation, now );
    }
    Prompts all( m_waiting.begin(), m_waiting.end() );
    all.push_back( request );
    // The order does not change back while prompts wait that were accepted by rank.
    m_ranked = !haveOneRank( all ) || ( m_ranked && !m_waiting.empty() );
    return m_ranked ? askRanked( request, now ) : askOneRank( request, now );
}

ReadingVerdict ReadingQueue::askOneRank( const ReadingRequest& request, MonoTime now ) {
    // If some waiting prompt is late already, this prompt is not refused for making others late.
    Prompts order( m_waiting.begin(), m_waiting.end() );
    const auto at = std::upper_bound( order.begin(), order.end(), request, startsBefore );
    const bool inTimeBefore = forecast( order, request.key, now ).allInTime;
    order.insert( at, request );
    const auto forecastWith = forecast( order, request.key, now );
    const bool accepted =
        forecastWith.start <= request.startBy && ( forecastWith.allInTime || !inTimeBefore );
    if( !accepted ) {
        return { false,
                 std::max( waitFor( request.workMs, now ), roundedUp( forecastWith.start - now ) ),
                 PromptRefusal::reading };
    }
    m_waiting.assign( order.begin(), order.end() );
    return { true, roundedUp( forecastWith.start - now ), PromptRefusal::none };
}

ReadingVerdict ReadingQueue::askRanked( const ReadingRequest& request, MonoTime now ) {
    const auto startsBefore = startsOf( readingOrder( now ), now );
    Prompts kept( m_waiting.begin(), m_waiting.end() );
    if( !fits( kept, request, startsBefore, now ) ) {
        const auto displaced = displacedFor( request, startsBefore, now );
        if( displaced.empty() ) {
            kept.push_back( request );
            sortByRank( kept, now );
            const auto start = startsOf( kept, now ).at( request.key );
            const bool overShare = isOverShare( request, accounts() );
            return { false, std::max( waitFor( request.workMs, now ), roundedUp( start - now ) ),
                     overShare ? PromptRefusal::share : PromptRefusal::reading };
        }
        displace( displaced );
    }
    insert( request );
    const auto start = startsOf( readingOrder( now ), now ).at( request.key );
    return { true, roundedUp( start - now ), PromptRefusal::none };
}

//! The waiting prompts in the order in which they are read.
ReadingQueue::Prompts ReadingQueue::readingOrder( MonoTime now ) const {
    Prompts out( m_waiting.begin(), m_waiting.end() );
    if( m_ranked ) {
        sortByRank( out, now );
    }
    return out;
}

ReadingQueue::Starts ReadingQueue::startsOf( std::span<const ReadingRequest> order,
                                             MonoTime now ) const {
    Starts out;
    SentPrompts sent = m_sent;
    for( const auto& it : order ) {
        out[it.key] = appendPeriod( sent, it, now );
    }
    return out;
}

//! What each organisation was served and has waiting.
ReadingAccounts ReadingQueue::accounts() const {
    ReadingAccounts out;
    for( const auto& it : m_waiting ) {
        if( !it.organisation.empty() ) {
            const auto at = out.emplace( it.organisation, m_share.servedMs( it.organisation ) );
            at.first->second += it.workMs;
        }
    }
    return out;
}

//! Whether the request starts in time among the prompts `kept`, and makes none of them late. A less
//! urgent one may become late by a time with which it is not dropped.
bool ReadingQueue::fits( Prompts kept, const ReadingRequest& request, const Starts& startsBefore,
                         MonoTime now ) const {
    kept.push_back( request );
    sortByRank( kept, now );
    const auto starts = startsOf( kept, now );
    return std::all_of( kept.begin(), kept.end(), [&]( const ReadingRequest& it ) {
        const auto start = starts.at( it.key );
        if( it.key == request.key ) {
            return start <= it.startBy;
        }
        const auto startBefore = startsBefore.at( it.key );
        const bool expires = startBefore > it.startBy + lateTolerance;
        const auto tolerance = it.urgency > request.urgency ? yieldTolerance : Millis{ 0 };
        return expires || start <= std::max( it.startBy + tolerance, startBefore );
    } );
}

//! The prompts that have to give way to the request; empty if it can't be in time even so.
ReadingQueue::Prompts ReadingQueue::displacedFor( const ReadingRequest& request,
                                                  const Starts& startsBefore, MonoTime now ) const {
    auto known = accounts();
    if( !request.organisation.empty() ) {
        known.emplace( request.organisation, m_share.servedMs( request.organisation ) );
    }
    return fewestRemoved(
        Prompts( m_waiting.begin(), m_waiting.end() ), known,
        [&]( const ReadingRequest& it ) { return givesWay( it, request, known, now ); },
        [&]( const Prompts& kept ) { return fits( kept, request, startsBefore, now ); } );
}

//! The prompts that have to give way to one that waits, because the engine is slower than expected.
//! No prompt that is not aged stands before an aged one that it would make late.
ReadingQueue::Prompts ReadingQueue::displacedForWaiting( const ReadingRequest& prompt,
                                                         MonoTime now ) const {
    const auto known = accounts();
    const bool aged = isAged( prompt, now );
    return fewestRemoved(
        Prompts( m_waiting.begin(), m_waiting.end() ), known,
        [&]( const ReadingRequest& it ) {
            return it.key != prompt.key &&
                   ( aged ? !isAged( it, now ) : givesWay( it, prompt, known, now ) );
        },
        [&]( const Prompts& kept ) { return startsInTime( kept, prompt, now ); } );
}

bool ReadingQueue::startsInTime( const Prompts& kept, const ReadingRequest& prompt,
                                 MonoTime now ) const {
    auto order = kept;
    sortByRank( order, now );
    return startsOf( order, now ).at( prompt.key ) <= prompt.startBy + lateTolerance;
}

void ReadingQueue::insert( const ReadingRequest& request ) {
    const auto at = std::upper_bound( m_waiting.begin(), m_waiting.end(), request, startsBefore );
    m_waiting.insert( at, request );
}

void ReadingQueue::remove( std::uint64_t key ) {
    std::erase_if( m_waiting, [key]( const auto& it ) { return it.key == key; } );
}

void ReadingQueue::displace( const Prompts& prompts ) {
    for( const auto& it : prompts ) {
        remove( it.key );
        m_displaced.push_back( it );
    }
}

std::vector<ReadingRequest> ReadingQueue::takeDisplaced() {
    return std::exchange( m_displaced, {} );
}

std::optional<MonoTime> ReadingQueue::nextAt( MonoTime now ) const {
    if( m_waiting.empty() ) {
        return std::nullopt;
    }
    return earliestStart( m_sent, readingOrder( now ).front().workMs, now ) - sendAhead;
}

std::optional<ReadingRequest> ReadingQueue::takeNext( MonoTime now ) {
    dropOld( now );
    const auto at = nextAt( now );
    if( !at || *at > now ) {
        return std::nullopt;
    }
    const auto out = readingOrder( now ).front();
    remove( out.key );
    appendPeriod( m_sent, out, now );
    if( !out.organisation.empty() ) {
        m_share.noteServed( out.organisation, out.workMs, now );
    }
    return out;
}

std::vector<ReadingRequest> ReadingQueue::takeExpired( MonoTime now ) {
    dropOld( now );
    return m_ranked ? removeExpiredRanked( now ) : removeExpired( now );
}

ReadingQueue::Prompts ReadingQueue::removeExpired( MonoTime now ) {
    Prompts out;
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

ReadingQueue::Prompts ReadingQueue::removeExpiredRanked( MonoTime now ) {
    Prompts out;
    for( ;; ) {
        const auto order = readingOrder( now );
        const auto starts = startsOf( order, now );
        const auto late = std::find_if( order.begin(), order.end(), [&]( const auto& it ) {
            return starts.at( it.key ) > it.startBy + lateTolerance;
        } );
        if( late == order.end() ) {
            return out;
        }
        const auto displaced = displacedForWaiting( *late, now );
        if( displaced.empty() ) {
            remove( late->key );
            out.push_back( *late );
        }
        displace( displaced );
    }
}

void ReadingQueue::withdraw( std::uint64_t key, MonoTime now ) {
    remove( key );
    std::erase_if( m_displaced, [key]( const auto& it ) { return it.key == key; } );
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
    m_displaced.clear();
    m_share.clear();
    m_readingSince.reset();
    m_unsettledMs = 0;
}

Millis ReadingQueue::waitFor( double workMs, MonoTime now ) const {
    SentPrompts sent = m_sent;
    for( const auto& it : readingOrder( now ) ) {
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
