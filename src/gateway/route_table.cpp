// SPDX-License-Identifier: BSL-1.0
#include "gateway/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace coursehead::gateway {

namespace {

std::string normalisedHost( std::string_view host ) {
    std::string out( host.substr( 0, host.find( ':' ) ) );
    std::transform( out.begin(), out.end(), out.begin(),
                    []( unsigned char c ) { return static_cast<char>( std::tolower( c ) ); } );
    return out;
}

} // namespace

RouteTable::RouteTable( Configuration configuration )
    : m_configuration( std::move( configuration ) ) {
    for( const auto& it : m_configuration.routes ) {
        m_hosts[normalisedHost( it.host )].push_back( &it );
        for( const auto& split : it.splits ) {
            if( it.kind == RequestKind::stream && it.gapTarget.count() > 0 ) {
                auto& target = m_gapTargets.emplace( split.service, it.gapTarget ).first->second;
                target = std::min( target, it.gapTarget );
            }
        }
    }
    for( const auto& it : m_configuration.organisations ) {
        for( const auto& key : it.keys ) {
            m_keys.emplace( key, &it );
        }
    }
    for( auto& [host, routes] : m_hosts ) {
        std::stable_sort( routes.begin(), routes.end(), []( const Route* a, const Route* b ) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        } );
    }
}

const Route* RouteTable::find( std::string_view host, std::string_view target ) const {
    const auto routes = m_hosts.find( normalisedHost( host ) );
    if( routes == m_hosts.end() ) {
        return nullptr;
    }
    const auto path = target.substr( 0, target.find( '?' ) );
    const auto it =
        std::find_if( routes->second.begin(), routes->second.end(), [path]( const Route* route ) {
            return path.starts_with( route->pathPrefix );
        } );
    return it == routes->second.end() ? nullptr : *it;
}

const Service* RouteTable::service( std::string_view name ) const {
    const auto it = m_configuration.services.find( name );
    return it == m_configuration.services.end() ? nullptr : &it->second;
}

const Organisation* RouteTable::organisationOf( const KeyDigest& key ) const {
    const auto it = m_keys.find( key );
    return it == m_keys.end() ? nullptr : it->second;
}

Millis RouteTable::gapTarget( std::string_view service ) const {
    const auto it = m_gapTargets.find( service );
    return it == m_gapTargets.end() ? Millis{ 0 } : it->second;
}

const Split* pickSplit( const Route& route, double unitRandom ) {
    int total = 0;
    for( const auto& it : route.splits ) {
        total += it.weight;
    }
    double left = unitRandom * total;
    for( const auto& it : route.splits ) {
        left -= it.weight;
        if( left < 0 ) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace coursehead::gateway
