// SPDX-License-Identifier: BSL-1.0
#include "decide/fetch_record.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! A source that gave nothing is not used for this long. A shorter time makes more prompts late
//! while the source is cut off; after a longer one parts that it has read again are not used.
constexpr Millis avoidance{ 4000 };
//! Transfers must save at least this much for their result to show: reports of the engine are up to
//! 40 ms old while prompts are read.
constexpr Millis minVisibleSaving{ 60 };
//! The whole reading time must be this many times the expected time. Steps of running streams
//! lengthen reading by up to about a half.
constexpr int minVisibleFactor = 2;
//! Number of prompts that are followed; more than an engine runs at the same time.
constexpr std::size_t maxFollowed = 256;
//! Number of sources that are remembered; the one that is avoided for the shortest time is dropped.
constexpr std::size_t maxSources = 64;

//! True if it shows in the engine's time for the prompt whether the parts were fetched.
bool isVisible( const StartedFetch& fetch ) {
    return fetch.readAll - fetch.expected >= minVisibleSaving &&
           fetch.readAll >= fetch.expected * minVisibleFactor;
}

} // namespace

Millis FetchRecord::queuedTransfers( MonoTime now ) const {
    return std::chrono::ceil<Millis>(
        std::max( m_linkBusyUntil - now, MonoTime::duration::zero() ) );
}

bool FetchRecord::failedLately( std::string_view source, MonoTime now ) const {
    const auto it = m_avoidUntil.find( source );
    return it != m_avoidUntil.end() && now < it->second;
}

void FetchRecord::noteSent( std::uint64_t key, MonoTime now ) {
    m_sent.push_back( { key, now, {} } );
    if( m_sent.size() > maxFollowed ) {
        m_sent.pop_front();
    }
}

void FetchRecord::noteFetch( StartedFetch fetch, MonoTime now ) {
    m_linkBusyUntil = std::max( m_linkBusyUntil, now ) + fetch.transfer;
    if( !m_sent.empty() && m_sent.back().key == fetch.key ) {
        m_sent.back().fetch = std::move( fetch );
    }
}

void FetchRecord::forget( std::uint64_t key ) {
    std::erase_if( m_sent, [key]( const Sent& it ) { return it.key == key; } );
}

std::vector<StartedFetch> FetchRecord::noteUnread( std::size_t prompts, MonoTime now ) {
    std::vector<StartedFetch> out;
    while( m_sent.size() > prompts ) {
        const Sent read = std::move( m_sent.front() );
        m_sent.pop_front();
        const auto& fetch = read.fetch;
        const bool readAll = now - read.startsAt >= fetch.readAll;
        if( !fetch.source.empty() && isVisible( fetch ) && readAll ) {
            noteFailure( fetch.source, now );
            out.push_back( fetch );
        }
        if( !m_sent.empty() ) {
            m_sent.front().startsAt = std::max( m_sent.front().startsAt, now );
        }
    }
    return out;
}

void FetchRecord::noteFailure( const std::string& source, MonoTime now ) {
    m_avoidUntil[source] = now + avoidance;
    if( m_avoidUntil.size() > maxSources ) {
        m_avoidUntil.erase( std::min_element(
            m_avoidUntil.begin(), m_avoidUntil.end(),
            []( const auto& a, const auto& b ) { return a.second < b.second; } ) );
    }
}

void FetchRecord::clear() {
    m_sent.clear();
    m_linkBusyUntil = {};
}

} // namespace coursehead::decide
