// SPDX-License-Identifier: BSL-1.0
#include "decide/origin_table.hpp"

#include <algorithm>

namespace coursehead::decide {

bool OriginTable::put( const StreamOrigin& origin, MonoTime now ) {
    const Millis left = std::min( Millis( origin.leftMs ), maxOriginTime );
    if( left.count() <= 0 ) {
        return false;
    }
    const auto known = m_entries.find( origin.key );
    if( known == m_entries.end() ) {
        if( m_entries.size() >= m_maxSize ) {
            return false;
        }
        m_entries.emplace( origin.key, Entry{ origin.began, now + left } );
        return true;
    }
    auto& entry = known->second;
    entry.contradicted = entry.contradicted || entry.began != origin.began;
    entry.expires = std::max( entry.expires, now + left );
    return true;
}

std::optional<StreamVersion> OriginTable::find( StreamKey key, MonoTime now ) const {
    const auto it = m_entries.find( key );
    const bool usable =
        it != m_entries.end() && now < it->second.expires && !it->second.contradicted;
    return usable ? std::optional( it->second.began ) : std::nullopt;
}

std::vector<StreamOrigin> OriginTable::all( MonoTime now ) const {
    std::vector<StreamOrigin> out;
    for( const auto& [key, entry] : m_entries ) {
        const auto left = remaining( now, entry.expires );
        if( left.count() > 0 ) {
            out.push_back( { key, entry.began, left.count() } );
        }
    }
    return out;
}

void OriginTable::removeExpired( MonoTime now ) {
    std::erase_if( m_entries, [now]( const auto& it ) { return it.second.expires <= now; } );
}

} // namespace coursehead::decide
