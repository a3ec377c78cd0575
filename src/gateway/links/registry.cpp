// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/registry.hpp"

#include <set>
#include <utility>

namespace coursehead::gateway {

namespace {

//! Departed starts are remembered for longer than the age of any copy of the store, so that a copy
//! can't bring them back.
constexpr auto departedRetention = std::chrono::minutes( 10 );

//! True when a draining member has to stay so: a draining start never becomes ready again, but the
//! store may have been restored from a copy that is older than its drain.
bool keepsDraining( const Upstream& known, const Upstream& listed ) {
    return known.state == UpstreamState::draining && listed.born <= known.born;
}

} // namespace

bool Registry::hasDeparted( const Upstream& upstream ) const {
    const auto it = m_departed.find( upstream.id );
    return it != m_departed.end() && upstream.born <= it->second.born;
}

void Registry::recordDeparture( const Upstream& upstream, MonoTime now ) {
    std::erase_if( m_departed,
                   [now]( const auto& it ) { return now - it.second.at > departedRetention; } );
    m_departed[upstream.id] = { upstream.born, now };
}

bool Registry::storeUnreliable( MonoTime now ) const {
    return !m_reachable || ( m_storeBackAt && now - *m_storeBackAt < m_settings.missingEntryHold );
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
    if( hasDeparted( upstream ) ) {
        return;
    }
    if( known != m_members.end() && keepsDraining( known->second.upstream, upstream ) ) {
        upstream.state = UpstreamState::draining;
        upstream.remaining = known->second.upstream.remaining;
    }
    // Entries of former starts live on for some heartbeats. Of two entries with one address the one
    // that was created later is valid.
    const auto address = addressOf( upstream );
    const auto sameAddress = m_byAddress.find( address );
    if( sameAddress != m_byAddress.end() && sameAddress->second != upstream.id ) {
        const std::string other = sameAddress->second;
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
        recordDeparture( it->second.upstream, now );
    }
    if( leaving || !storeUnreliable( now ) ) {
        erase( id );
        return;
    }
    it->second.missing = true;
}

void Registry::storeReachable( bool reachable, MonoTime now ) {
    if( reachable && !m_reachable ) {
        m_storeBackAt = now;
    }
    m_reachable = reachable;
}

void Registry::expire( MonoTime now ) {
    if( storeUnreliable( now ) ) {
        return;
    }
    std::vector<std::string> expired;
    for( const auto& [id, member] : m_members ) {
        if( member.missing ) {
            expired.push_back( id );
        }
    }
    for( const auto& id : expired ) {
        erase( id );
    }
}

} // namespace coursehead::gateway
