// SPDX-License-Identifier: BSL-1.0
#include "decide/return_places.hpp"

#include <algorithm>
#include <utility>

namespace coursehead::decide {

namespace {

//! Places held at the same time. Those who wait for more than this are served sooner elsewhere, and
//! their number has to be bounded.
constexpr std::size_t maxPlaces = 64;
//! A place is held for half of the time until it opens, within these bounds. The least covers a
//! client's new connection and a late event loop; a longer time keeps room from others.
constexpr int heldDivisor = 2;
constexpr Millis minHeld{ 250 };
constexpr Millis maxHeld{ 1000 };
//! A client that returns this much before its time is let in: its clock and ours differ, and times
//! are told in hundredths of a second.
constexpr Millis earlyTolerance{ 15 };
//! Weight of one place in the share that was taken up: about the last ten places count.
constexpr double takenUpSmoothing = 0.1;

Millis heldTime( Millis wait ) {
    return std::clamp( wait / heldDivisor, minHeld, maxHeld );
}

} // namespace

HeldPlace ReturnPlaces::hold( const RefusedPrompt& prompt, MonoTime now ) {
    expire( now );
    const auto known = m_places.find( prompt.content );
    if( known != m_places.end() ) {
        const auto wait =
            std::max( std::chrono::ceil<Millis>( known->second.from - now ), prompt.wait );
        const auto left = std::chrono::floor<Millis>( known->second.until - now );
        return { wait, std::max( left - wait, Millis{ 0 } ) };
    }
    if( prompt.content == 0 || m_places.size() >= maxPlaces ) {
        return { prompt.wait, Millis{ 0 } };
    }
    double aheadMs = 0;
    for( const auto& it : m_places ) {
        aheadMs += it.second.workMs * m_takenUpShare;
    }
    const auto wait = prompt.wait + Millis( static_cast<std::int64_t>( aheadMs ) );
    const auto held = heldTime( wait );
    m_places.emplace( prompt.content, Place{ prompt.key, prompt.urgency, prompt.workMs, now + wait,
                                             now + wait + held } );
    return { wait, held };
}

ReturnVerdict ReturnPlaces::arrive( Fingerprint content, MonoTime now ) {
    expire( now );
    const auto it = m_places.find( content );
    if( it == m_places.end() ) {
        return ReturnVerdict::unknown;
    }
    if( now + earlyTolerance < it->second.from ) {
        return ReturnVerdict::early;
    }
    noteTakenUp( true );
    m_places.erase( it );
    return ReturnVerdict::inTime;
}

void ReturnPlaces::release( std::uint64_t key ) {
    std::erase_if( m_places, [key]( const auto& it ) { return it.second.key == key; } );
}

std::size_t ReturnPlaces::expire( MonoTime now ) {
    const auto dropped =
        std::erase_if( m_places, [now]( const auto& it ) { return it.second.until <= now; } );
    for( std::size_t n = 0; n < dropped; ++n ) {
        noteTakenUp( false );
    }
    return dropped;
}

double ReturnPlaces::reservedMs( int urgency, MonoTime startAt ) const {
    double out = 0;
    for( const auto& it : m_places ) {
        const auto& place = it.second;
        const bool counts = place.from <= startAt && place.urgency <= urgency;
        out += counts ? place.workMs : 0;
    }
    return out * m_takenUpShare;
}

void ReturnPlaces::noteTakenUp( bool takenUp ) {
    m_takenUpShare += takenUpSmoothing * ( ( takenUp ? 1.0 : 0.0 ) - m_takenUpShare );
}

} // namespace coursehead::decide
