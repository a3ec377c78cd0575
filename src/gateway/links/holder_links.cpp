// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/holder_links.hpp"

#include <algorithm>

namespace coursehead::gateway {

void HolderLinks::refresh( MonoTime now ) {
    m_links.clear();
    int gateways = 1;
    for( const auto& [id, node] : m_fleet.nodes() ) {
        if( !node->sidecar || !node->connectedToAllGateways ) {
            continue;
        }
        auto& link = m_links[node->upstream.ip];
        if( !link || node->sidecar->mayBeResponsive( now ) ) {
            link = node->sidecar;
        }
        gateways = std::max( gateways, node->report ? node->report->load.gateways : 1 );
    }
    m_gateways.note( gateways, now );
}

std::shared_ptr<SidecarLink> HolderLinks::find( std::string_view address ) const {
    const auto it = m_links.find( address );
    return it == m_links.end() ? nullptr : it->second;
}

std::vector<decide::HolderCandidate> HolderLinks::candidates( MonoTime now ) const {
    std::vector<decide::HolderCandidate> out;
    for( const auto& [ip, link] : m_links ) {
        out.push_back( { ip, link->mayBeResponsive( now ) } );
    }
    return out;
}

} // namespace coursehead::gateway
