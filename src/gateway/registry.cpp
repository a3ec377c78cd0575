// SPDX-License-Identifier: BSL-1.0
#include "gateway/registry.hpp"

#include <set>

namespace coursehead::gateway {

bool Registry::storeTrouble( MonoTime now ) const {
    return !m_reachable || ( m_troubleEnd && now - *m_troubleEnd < m_settings.lapseHold );
}

void Registry::list( std::vector<Upstream> upstreams, MonoTime now ) {
    std::set<std::string> seen;
    for( auto& it : upstreams ) {
        seen.insert( it.id );
        put( std::move( it ), now );
    }
    std::vector<std::string> missing;
    for( const auto& [id, member] : m_members ) {
        if( !seen.contains( id ) ) {
            missing.push_back( id );
        }
    }
    for( const auto& id : missing ) {
        remove( id, now );
    }
}

void Registry::put( Upstream upstream, MonoTime ) {
    const auto known = m_members.find( upstream.id );
    if( known != m_members.end() && isFormer( upstream.born, known->second.upstream.born ) ) {
        return;
    }
    // Entries of former starts live on for some heartbeats: of two at one address the one that was
    // made later holds.
    const auto sameAddress = [&upstream]( const Upstream& other ) {
        return other.id != upstream.id && other.ip == upstream.ip && other.port == upstream.port;
    };
    for( const auto& it : m_members ) {
        const auto& other = it.second.upstream;
        if( sameAddress( other ) && other.created > upstream.created ) {
            return;
        }
    }
    std::erase_if( m_members, [&]( const auto& it ) { return sameAddress( it.second.upstream ); } );
    auto& member = m_members[upstream.id];
    member.upstream = std::move( upstream );
    member.missing = false;
}

void Registry::remove( const std::string& id, MonoTime now ) {
    const auto it = m_members.find( id );
    if( it == m_members.end() ) {
        return;
    }
    const bool leaving = it->second.upstream.state == UpstreamState::draining;
    if( leaving || !storeTrouble( now ) ) {
        m_members.erase( it );
        return;
    }
    it->second.missing = true;
}

void Registry::storeReachable( bool reachable, MonoTime now ) {
    if( reachable && !m_reachable ) {
        m_troubleEnd = now;
    }
    m_reachable = reachable;
}

void Registry::expire( MonoTime now ) {
    if( storeTrouble( now ) ) {
        return;
    }
    std::erase_if( m_members, []( const auto& it ) { return it.second.missing; } );
}

} // namespace coursehead::gateway
