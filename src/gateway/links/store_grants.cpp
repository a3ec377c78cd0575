// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/store_grants.hpp"

#include <algorithm>

namespace coursehead::gateway {

bool StoreGrants::take( const std::string& upstreamId, const std::string& model, int maxLoads,
                        MonoTime now ) {
    while( !m_loads.empty() && now - m_loads.front().at > m_window ) {
        m_loads.pop_front();
    }
    const bool sharesGrant = std::any_of( m_loads.begin(), m_loads.end(), [&]( const auto& it ) {
        return it.upstreamId == upstreamId && it.model == model;
    } );
    if( sharesGrant ) {
        return true;
    }
    if( static_cast<int>( m_loads.size() ) >= maxLoads ) {
        return false;
    }
    m_loads.push_back( { now, upstreamId, model } );
    return true;
}

void StoreGrants::release( const std::string& upstreamId, const std::string& model ) {
    std::erase_if( m_loads, [&]( const auto& it ) {
        return it.upstreamId == upstreamId && it.model == model;
    } );
}

int storeShare( double loadsPerS, Millis window, int gateways ) {
    const double seconds = std::chrono::duration<double>( window ).count();
    return std::max( static_cast<int>( loadsPerS * seconds / std::max( gateways, 1 ) ), 1 );
}

} // namespace coursehead::gateway
