// SPDX-License-Identifier: BSL-1.0
#include "gateway/registry.hpp"

#include <set>
#include <utility>

namespace coursehead::gateway {

namespace {

//! Starts that have left are remembered for longer than any copy of the store is old.
constexpr auto leftKept = std::chrono::minutes( 10 );

//! The store's copy may be older than what a start has said: none that leaves stays after all.
bool leavesForGood( const Upstream& known, const Upstream& told ) {
    return known.state == UpstreamState::draining && told.born <= known.born;
}

} // namespace

bool Registry::hasLeft( const Upstream& upstream ) const {
    const auto it = m_left.find( upstream.id );
    return it != m_left.end() && upstream.born <= it->second.born;
}

void Registry::noteLeft( const Upstream& upstream, MonoTime now ) {
    std::erase_if( m_left, [now]( const auto& it ) { return now - it.second.at > leftKept; } );
    m_left[upstream.id] = { upstream.born, now };
}

bool Registry::storeTrouble( MonoTime now ) const {
    return !m_reachable || ( m_troubleEnd && now - *m_troubleEnd < m_settings.lapseHold );
}

void Registry::applyListing( std::vector<Upstream> upstreams, MonoTime now ) {
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
    if( known != m_members.end() && isOlderStart( upstream.born, known->second.upstream.born ) ) {
        return;
    }
    if( hasLeft( upstream ) ) {
        return;
    }
    if( known != m_members.end() && leavesForGood( known->second.upstream, upstream ) ) {
        upstream.state = UpstreamState::draining;
        upstream.remaining = known->second.upstream.remaining;
    }
    // Entries of former starts live on for some heartbeats: of two at one address the one that was
    // made later holds.
    const auto address = addressOf( upstream );
    const auto there = m_byAddress.find( address );
    if( there != m_byAddress.end() && there->second != upstream.id ) {
        const std::string other = there->second;
        if( m_members.at( other ).upstream.created > upstream.created ) {
            return;
        }
        erase( other );
    }
    const auto moved = m_members.find( upstream.id );
    if( moved != m_members.end() && addressOf( moved->second.upstream ) != address ) {
        m_byAddress.erase( addressOf( moved->second.upstream ) );
    }
    m_byAddress[address] = upstream.id;
    m_changed.insert( upstream.id );
    auto& member = m_members[upstream.id];
    member.upstream = std::move( upstream );
    member.missing = false;
}

void Registry::erase( const std::string& id ) {
    const auto it = m_members.find( id );
    if( it == m_members.end() ) {
        return;
    }
    m_byAddress.erase( addressOf( it->second.upstream ) );
    m_members.erase( it );
    m_changed.insert( id );
}

void Registry::remove( const std::string& id, MonoTime now ) {
    const auto it = m_members.find( id );
    if( it == m_members.end() ) {
        return;
    }
    const bool leaving = it->second.upstream.state == UpstreamState::draining;
    if( leaving ) {
        noteLeft( it->second.upstream, now );
    }
    if( leaving || !storeTrouble( now ) ) {
        erase( id );
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
    std::vector<std::string> over;
    for( const auto& [id, member] : m_members ) {
        if( member.missing ) {
            over.push_back( id );
        }
    }
    for( const auto& id : over ) {
        erase( id );
    }
}

} // namespace coursehead::gateway
