// SPDX-License-Identifier: BSL-1.0
#include "decide/quarantine_list.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Maximum number of quarantines, about 0.4 MB; the one that ends first is dropped for a new one.
constexpr std::size_t maxEntries = 4096;

} // namespace

void QuarantineList::evictIfFull() {
    if( m_entries.size() < maxEntries ) {
        return;
    }
    const auto endsEarlier = []( const auto& a, const auto& b ) {
        return a.second.until < b.second.until;
    };
    m_entries.erase( std::min_element( m_entries.begin(), m_entries.end(), endsEarlier ) );
}

bool QuarantineList::put( const Quarantine& entry, MonoTime now ) {
    const auto it = m_entries.find( entry.fingerprint );
    const bool firstEndKnown = entry.firstEndMsAgo >= 0;
    const auto since = firstEndKnown ? now - Millis( entry.firstEndMsAgo ) : now;
    if( it != m_entries.end() && it->second.times >= entry.times ) {
        const bool learnt = it->second.times == entry.times && firstEndKnown;
        if( learnt && !it->second.firstEndKnown ) {
            it->second.since = since;
            it->second.firstEndKnown = true;
        }
        return false;
    }
    if( it == m_entries.end() ) {
        evictIfFull();
    }
    m_entries[entry.fingerprint] = { entry.times, now + Millis( entry.holdMs ),
                                     since,       firstEndKnown,
                                     entry.kind,  entry.soundBefore };
    return true;
}

Millis QuarantineList::left( Fingerprint fingerprint, MonoTime now ) const {
    const auto it = m_entries.find( fingerprint );
    return it == m_entries.end() ? Millis{ 0 } : remaining( now, it->second.until );
}

int QuarantineList::times( Fingerprint fingerprint ) const {
    const auto it = m_entries.find( fingerprint );
    return it == m_entries.end() ? 0 : it->second.times;
}

bool QuarantineList::firstEndKnown( Fingerprint fingerprint ) const {
    const auto it = m_entries.find( fingerprint );
    return it != m_entries.end() && it->second.firstEndKnown;
}

bool QuarantineList::isRefuted( Fingerprint fingerprint, MonoTime begunAt ) const {
    const auto it = m_entries.find( fingerprint );
    return it != m_entries.end() && it->second.since < begunAt;
}

std::vector<Quarantine> QuarantineList::known( MonoTime now, Millis endedWithin ) const {
    std::vector<Quarantine> out;
    for( const auto& [fingerprint, entry] : m_entries ) {
        if( now - entry.until > endedWithin ) {
            continue;
        }
        const auto firstEndMsAgo = entry.firstEndKnown ? millisBetween( entry.since, now ) : -1;
        out.push_back( { fingerprint, entry.times, remaining( now, entry.until ).count(),
                         entry.kind, firstEndMsAgo, entry.soundBefore } );
    }
    return out;
}

std::vector<Quarantine> QuarantineList::all( MonoTime now ) const {
    auto out = known( now, Millis{ 0 } );
    std::erase_if( out, []( const Quarantine& it ) { return it.holdMs <= 0; } );
    return out;
}

} // namespace coursehead::decide
