// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/evidence_holders.hpp"

#include "decide/poison.hpp"

namespace coursehead::gateway {

std::vector<std::shared_ptr<SidecarLink>>
evidenceHolders( const Fleet& fleet, decide::Fingerprint fingerprint, MonoTime now ) {
    std::vector<std::string_view> ips;
    std::vector<std::shared_ptr<SidecarLink>> links;
    for( const auto& [id, node] : fleet.nodes() ) {
        if( node->sidecar && node->connectedToAllGateways &&
            node->sidecar->mayBeResponsive( now ) ) {
            ips.emplace_back( node->upstream.ip );
            links.push_back( node->sidecar );
        }
    }
    std::vector<std::shared_ptr<SidecarLink>> out;
    for( const auto n : decide::poisonHolders( fingerprint, ips ) ) {
        out.push_back( links[n] );
    }
    return out;
}

} // namespace coursehead::gateway
