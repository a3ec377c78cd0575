// SPDX-License-Identifier: BSL-1.0
// Adds, updates and removes the fleet's upstreams.
#include "coursehead/kernel/log.hpp"
#include "gateway/choice/fleet.hpp"
#include "kernel/hash.hpp"

#include <cmath>

namespace coursehead::gateway {

namespace {

constexpr int hashBits = 64;
//! Largest number of changed upstreams that are logged one by one; for more, as at start, only the
//! counts are logged.
constexpr std::size_t maxLoggedUpstreams = 32;

void logAdded( const Upstream& upstream ) {
    log::info( "upstream_added",
               { { "upstream", upstream.id },
                 { "service", upstream.service },
                 { "version", upstream.softwareVersion.value_or( "" ) },
                 { "address", upstream.ip + ":" + std::to_string( upstream.port ) } } );
}

} // namespace

void Fleet::sync( const std::map<std::string, Member>& members, MonoTime now ) {
    std::set<std::string> all;
    for( const auto& it : m_nodes ) {
        all.insert( it.first );
    }
    for( const auto& it : members ) {
        all.insert( it.first );
    }
    sync( members, all, now );
}

void Fleet::sync( const std::map<std::string, Member>& members,
                  const std::set<std::string>& changed, MonoTime now ) {
    const auto countBefore = m_nodes.size();
    const bool logEach = changed.size() <= maxLoggedUpstreams;
    for( const auto& id : changed ) {
        const auto member = members.find( id );
        if( member == members.end() ) {
            remove( id );
        } else if( !m_nodes.contains( id ) ) {
            add( member->second.upstream, now );
            if( logEach ) {
                logAdded( member->second.upstream );
            }
        } else {
            update( *m_nodes.at( id ), member->second.upstream, now );
        }
    }
    if( !logEach ) {
        log::info( "upstreams_changed",
                   { { "changed", static_cast<std::int64_t>( changed.size() ) },
                     { "before", static_cast<std::int64_t>( countBefore ) },
                     { "now", static_cast<std::int64_t>( m_nodes.size() ) } } );
    }
    if( !changed.empty() ) {
        chooseLinks( now );
    }
}

void Fleet::remove( const std::string& id ) {
    const auto it = m_nodes.find( id );
    if( it == m_nodes.end() ) {
        return;
    }
    log::info( "upstream_gone",
               { { "upstream", id }, { "service", it->second->upstream.service } } );
    drop( *it->second );
    m_nodes.erase( it );
}

void Fleet::update( Node& node, const Upstream& listed, MonoTime now ) {
    if( isOlderStart( listed.born, node.upstream.born ) ) {
        return;
    }
    const bool restarted = isOlderStart( node.upstream.born, listed.born );
    if( restarted ) {
        restart( node, listed.born, now );
    }
    if( node.upstream.state != listed.state ) {
        log::info( "upstream_leaving", { { "upstream", listed.id } } );
    }
    const bool becameCold = listed.cold > node.upstream.cold;
    node.upstream = listed;
    if( restarted ) {
        setEngine( node );
    }
    if( restarted || becameCold ) {
        node.noteCold( node.upstream.cold, now );
    }
    if( node.upstream.remaining && !node.leavesAt ) {
        node.leavesAt = now + *node.upstream.remaining;
    }
}

void Fleet::restart( Node& node, StartTime born, MonoTime now ) {
    log::info(
        "upstream_restarted",
        { { "upstream", node.upstream.id }, { "born", born }, { "before", node.upstream.born } } );
    node.resetForRestart( born, now );
}

void Fleet::add( const Upstream& upstream, MonoTime now ) {
    const auto node = std::make_shared<Node>( upstream, now );
    node->stopAt = m_evacuations.stopAt( upstream.hall );
    const double phase =
        std::ldexp( static_cast<double>( hash64( upstream.id, m_settings.vm ) ), -hashBits );
    node->cold = decide::ColdGate( phase );
    node->limit.sendSchedule = decide::SendSchedule( phase );
    m_nodes.emplace( upstream.id, node );
    setEngine( *node );
    node->noteCold( upstream.cold, now );
}

} // namespace coursehead::gateway
