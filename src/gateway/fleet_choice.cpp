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

bool Fleet::mayServe( const Node& node, const Need& need, MonoTime now ) const {
    if( node.upstream.service != need.service || !node.takesRequests( now ) ) {
        return false;
    }
    const bool anywhere = need.homes.route.empty() && need.homes.organisation.empty();
    return anywhere || decide::mayServe( need.homes, regionOf( node ) );
}

Fleet::Rest Fleet::restOf( const Node& node, MonoTime now ) {
    Rest out;
    const auto backoff = node.announced.backoffLeft( now );
    out.full = node.limit.fullLeft( now ).count() > 0;
    out.time = out.full ? std::max( backoff, node.limit.comeBackLeft( now ) ) : backoff;
    return out;
}

Choice Fleet::choose( const Need& need, const std::set<std::string>& excluded,
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
        const auto rest = restOf( *node, now );
        if( rest.time.count() > 0 || rest.full ) {
            if( holds ) {
                soonest = std::min( soonest.value_or( rest.time ), rest.time );
            }
            if( holds && !rest.full ) {
                soonestBackoff = std::min( soonestBackoff.value_or( rest.time ), rest.time );
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
    assumeUnseen( candidates );
    auto best = gateway::choose( candidates );
    // A load costs more than most waits: the many that do not hold the model are looked at only
    // where none that does is good enough.
    const bool good = best && !candidates[*best].avoided && need.generation != nullptr &&
                      beatsAnyLoad( candidates[*best], *nodes[*best], need.generation->model );
    if( !good && !others.empty() ) {
        std::for_each( others.begin(), others.end(), consider );
        assumeUnseen( candidates );
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
        out.rest = ( backoffIsNearer ? soonestBackoff : soonest ).value_or( Millis{ 0 } );
        out.atLimit = soonest && soonest != soonestBackoff && !backoffIsNearer;
        return out;
    }
    const auto& it = candidates[*best];
    out.node = nodes[*best];
    out.bestCost = costOf( it );
    out.workMs = it.workMs;
    out.loadMs = it.loadMs;
    out.paceMs = it.paceMs;
    out.freshTokens = it.freshTokens;
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
