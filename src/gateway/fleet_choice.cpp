// SPDX-License-Identifier: BSL-1.0
// Which upstream a request goes to.
#include "gateway/fleet.hpp"

#include <algorithm>
#include <vector>

namespace coursehead::gateway {

std::string_view Fleet::regionOf( const Node& node ) const {
    const auto it = m_settings.regions.find( node.upstream.hall );
    return it == m_settings.regions.end() ? std::string_view{} : std::string_view( it->second );
}

Distance Fleet::distanceTo( const Node& node ) const {
    const auto own = m_settings.regions.find( m_settings.hall );
    const auto region = regionOf( node );
    const bool known = own != m_settings.regions.end() && !region.empty();
    return { node.upstream.hall != m_settings.hall, known && region != own->second };
}

bool Fleet::mayServe( const Node& node, const RequestNeeds& need, MonoTime now ) const {
    if( node.upstream.service != need.service || !node.takesRequests( now ) ) {
        return false;
    }
    const bool anywhere =
        need.allowedRegions.route.empty() && need.allowedRegions.organisation.empty();
    return anywhere || decide::mayServe( need.allowedRegions, regionOf( node ) );
}

Fleet::Rest Fleet::restOf( const Node& node, MonoTime now ) {
    Rest out;
    const auto backoff = node.announced.backoffLeft( now );
    out.full = node.limit.fullLeft( now ).count() > 0;
    out.time = out.full ? std::max( backoff, node.limit.retryLeft( now ) ) : backoff;
    return out;
}

Choice Fleet::choose( const RequestNeeds& need, const std::set<std::string>& excluded,
                      MonoTime now ) const {
    std::vector<Candidate> candidates;
    std::vector<NodePtr> nodes;
    // Those that would have to load the model first.
    std::vector<NodePtr> others;
    // When the first that has what it needs takes requests again, those that turned this one away
    // among them.
    std::optional<Millis> soonest;
    std::optional<Millis> soonestBackoff;
    const auto consider = [&]( const NodePtr& node ) {
        candidates.push_back( estimate( *node, need, m_pace, distanceTo( *node ), now ) );
        nodes.push_back( node );
    };
    for( const auto& [id, node] : m_nodes ) {
        if( !mayServe( *node, need, now ) ) {
            continue;
        }
        const bool holds =
            need.generation == nullptr || node->holdsModel( need.generation->model, now );
        const auto unavailableFor = restOf( *node, now );
        if( unavailableFor.time.count() > 0 || unavailableFor.full ) {
            if( holds ) {
                soonest = std::min( soonest.value_or( unavailableFor.time ), unavailableFor.time );
            }
            if( holds && !unavailableFor.full ) {
                soonestBackoff =
                    std::min( soonestBackoff.value_or( unavailableFor.time ), unavailableFor.time );
            }
            continue;
        }
        if( excluded.contains( id ) ) {
            continue;
        }
        if( holds || node->loading.contains( need.generation->model ) ) {
            consider( node );
        } else {
            others.push_back( node );
        }
    }
    estimateUnseenLoads( candidates );
    auto best = gateway::choose( candidates );
    // A load costs more than most waits: the many that do not hold the model are looked at only
    // where none that does is good enough.
    const bool good = best && !candidates[*best].avoided && need.generation != nullptr &&
                      beatsAnyLoad( candidates[*best], *nodes[*best], need.generation->model );
    if( !good && !others.empty() ) {
        std::for_each( others.begin(), others.end(), consider );
        estimateUnseenLoads( candidates );
        best = gateway::choose( candidates );
    }
    // A load elsewhere that takes longer than a back-off would only push another model out. A limit
    // may last: what it leaves no room for is served elsewhere, loaded first if need be.
    const bool backoffIsNearer =
        soonestBackoff && best &&
        candidates[*best].loadMs > static_cast<double>( soonestBackoff->count() );
    Choice out;
    out.candidates = candidates.size();
    if( !best || backoffIsNearer ) {
        out.unavailableFor = ( backoffIsNearer ? soonestBackoff : soonest ).value_or( Millis{ 0 } );
        out.atLimit = soonest && soonest != soonestBackoff && !backoffIsNearer;
        return out;
    }
    const auto& it = candidates[*best];
    out.node = nodes[*best];
    out.bestCost = costOf( it );
    out.workMs = it.workMs;
    out.loadMs = it.loadMs;
    out.sendDelayMs = it.sendDelayMs;
    out.uncachedTokens = it.uncachedTokens;
    out.unqueued = it.backlogMs <= 0 && it.loadMs <= 0;
    out.expectedMs = it.backlogMs + it.workMs + it.loadMs;
    if( need.generation != nullptr && out.node->engine ) {
        out.holdsModel = out.node->holdsModel( need.generation->model, now );
        out.holdsAdapter =
            need.generation->adapter.empty() ||
            out.node->holdsAdapter( need.generation->model, need.generation->adapter, now );
    }
    return out;
}

} // namespace coursehead::gateway
