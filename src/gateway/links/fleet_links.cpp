// SPDX-License-Identifier: BSL-1.0
// Chooses the sidecars to which this gateway is connected.
#include "coursehead/kernel/log.hpp"
#include "gateway/choice/fleet.hpp"

#include <vector>

namespace coursehead::gateway {

namespace {

//! A connection without a request for this long is not in use. The time is longer than the delay
//! after which a refused caller retries, and than a load from the weight store.
constexpr Millis linkIdleTime{ 10000 };

decide::Nearness nearnessOf( Distance distance ) {
    if( distance.otherRegion ) {
        return decide::Nearness::otherRegion;
    }
    return distance.otherHall ? decide::Nearness::sameRegion : decide::Nearness::sameHall;
}

} // namespace

decide::LinkCandidate Fleet::linkCandidate( const Node& node, MonoTime now ) const {
    const auto& link = *node.sidecar;
    decide::LinkCandidate out;
    out.id = node.upstream.id;
    out.nearness = nearnessOf( distanceTo( node ) );
    out.open = link.state() != LinkState::closed;
    out.inUse = node.inFlight > 0 || !link.unusedSince( now - linkIdleTime );
    out.failing = link.state() == LinkState::failing;
    return out;
}

void Fleet::chooseLinks( MonoTime now ) {
    std::vector<decide::LinkCandidate> candidates;
    std::vector<Node*> nodes;
    for( const auto& it : m_nodes ) {
        if( it.second->sidecar ) {
            candidates.push_back( linkCandidate( *it.second, now ) );
            nodes.push_back( it.second.get() );
        }
    }
    const auto connectedToAllGateways = decide::commonSidecars( candidates );
    for( std::size_t n = 0; n < nodes.size(); ++n ) {
        nodes[n]->connectedToAllGateways = connectedToAllGateways[n];
    }
    const auto changes = decide::chooseLinks( candidates, m_settings.vm );
    for( const auto n : changes.open ) {
        nodes[n]->sidecar->open();
    }
    for( const auto n : changes.close ) {
        nodes[n]->sidecar->close();
        // Without the connection the gateway would not learn that the engine is reachable again.
        nodes[n]->engineReachable = true;
    }
    if( !changes.close.empty() ) {
        log::debug( "sidecar_links",
                    { { "opened", static_cast<std::int64_t>( changes.open.size() ) },
                      { "closed", static_cast<std::int64_t>( changes.close.size() ) },
                      { "known", static_cast<std::int64_t>( nodes.size() ) } } );
    }
}

} // namespace coursehead::gateway
