// SPDX-License-Identifier: BSL-1.0
// Chooses the upstream for a request.
#include "gateway/choice/fleet.hpp"

#include <algorithm>
#include <optional>
#include <span>
#include <vector>

namespace coursehead::gateway {

std::string_view Fleet::regionOf( const Node& node ) const {
    const auto it = m_settings.regions.find( node.upstream.hall );
    return it == m_settings.regions.end() ? std::string_view{} : std::string_view( it->second );
}

Distance Fleet::distanceTo( const Node& node ) const {
    const auto own = m_settings.regions.find( m_settings.hall );
    const auto region = regionOf( node );
    const bool regionsKnown = own != m_settings.regions.end() && !region.empty();
    return { node.upstream.hall != m_settings.hall, regionsKnown && region != own->second };
}

bool Fleet::mayServe( const Node& node, const RequestNeeds& need, MonoTime now ) const {
    if( node.upstream.service != need.service || !node.takesRequests( now ) ) {
        return false;
    }
    if( need.softwareVersion && node.certainVersion( now ) != need.softwareVersion ) {
        return false;
    }
    const bool unrestricted =
        need.allowedRegions.route.empty() && need.allowedRegions.organisation.empty();
    return unrestricted || decide::mayServe( need.allowedRegions, regionOf( node ) );
}

bool Fleet::listsVersion( std::string_view service, std::string_view version ) const {
    return std::any_of( m_nodes.begin(), m_nodes.end(), [&]( const auto& it ) {
        const auto& upstream = it.second->upstream;
        return upstream.service == service && upstream.softwareVersion == version;
    } );
}

Fleet::Unavailability Fleet::unavailabilityOf( const Node& node, MonoTime now ) {
    Unavailability out;
    const auto backoff = node.announced.backoffLeft( now );
    out.atLimit = node.limit.fullLeft( now ).count() > 0;
    out.timeLeft = out.atLimit ? std::max( backoff, node.limit.retryLeft( now ) ) : backoff;
    return out;
}

namespace {

//! Of the candidates that hold the model, the best one that is not avoided.
std::optional<std::size_t> bestHolder( std::span<const Candidate> candidates ) {
    std::vector<Candidate> holders;
    std::vector<std::size_t> indices;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        if( candidates[n].holds && !candidates[n].avoided ) {
            holders.push_back( candidates[n] );
            indices.push_back( n );
        }
    }
    const auto best = gateway::choose( holders );
    return best ? std::optional( indices[*best] ) : std::nullopt;
}

decide::ServingOption servingOption( const Candidate& candidate ) {
    return { firstEventMs( candidate ), costOf( candidate ) };
}

//! The holder that serves the request better than the load that costs least; nullopt: none does.
std::optional<std::size_t> holderInsteadOfLoad( std::span<const Candidate> candidates,
                                                std::size_t load, const RequestNeeds& need ) {
    if( !need.firstEvent || candidates[load].holds || candidates[load].avoided ) {
        return std::nullopt;
    }
    const auto holder = bestHolder( candidates );
    if( !holder ) {
        return std::nullopt;
    }
    const auto choice = decide::chooseLoadOrHolder(
        servingOption( candidates[*holder] ), servingOption( candidates[load] ), *need.firstEvent );
    return choice == decide::LoadChoice::holder ? holder : std::nullopt;
}

} // namespace

Choice Fleet::choose( const RequestNeeds& need, const std::set<std::string>& excluded,
                      MonoTime now ) const {
    std::vector<Candidate> candidates;
    std::vector<NodePtr> nodes;
    // Nodes that would have to load the model first.
    std::vector<NodePtr> loadCandidates;
    // Time until the first node that holds the model takes requests again, including nodes that
    // have already refused this request.
    std::optional<Millis> shortestWait;
    std::optional<Millis> shortestBackoff;
    const auto addCandidate = [&]( const NodePtr& node ) {
        candidates.push_back( estimate( *node, need, m_pace, distanceTo( *node ), now ) );
        nodes.push_back( node );
    };
    for( const auto& [id, node] : m_nodes ) {
        if( !mayServe( *node, need, now ) ) {
            continue;
        }
        const bool holds =
            need.generation == nullptr || node->holdsModel( need.generation->model, now );
        const auto wait = unavailabilityOf( *node, now );
        if( wait.timeLeft.count() > 0 || wait.atLimit ) {
            if( holds ) {
                shortestWait = std::min( shortestWait.value_or( wait.timeLeft ), wait.timeLeft );
            }
            if( holds && !wait.atLimit ) {
                shortestBackoff =
                    std::min( shortestBackoff.value_or( wait.timeLeft ), wait.timeLeft );
            }
            continue;
        }
        if( excluded.contains( id ) ) {
            continue;
        }
        if( holds || node->loading.contains( need.generation->model ) ) {
            addCandidate( node );
        } else {
            loadCandidates.push_back( node );
        }
    }
    estimateUnseenLoads( candidates );
    auto best = gateway::choose( candidates );
    // A load costs more than most waits. The many nodes that do not hold the model are considered
    // only if no node that holds it is cheaper than any load.
    const bool goodEnough =
        best && !candidates[*best].avoided && need.generation != nullptr &&
        cheaperThanAnyLoad( candidates[*best], *nodes[*best], need.generation->model );
    if( !goodEnough && !loadCandidates.empty() ) {
        std::for_each( loadCandidates.begin(), loadCandidates.end(), addCandidate );
        estimateUnseenLoads( candidates );
        best = gateway::choose( candidates );
    }
    Choice out;
    if( best ) {
        if( const auto holder = holderInsteadOfLoad( candidates, *best, need ) ) {
            out.avoidedLoad = nodes[*best];
            out.avoidedLoadMs = firstEventMs( candidates[*best] );
            best = holder;
        }
    }
    if( best && need.generation != nullptr ) {
        best = spread( candidates, *best, m_random.unit() );
    }
    // If a load elsewhere takes longer than a back-off, waiting is better: the load would only
    // evict another model. A limit may last, so requests beyond it are served elsewhere, after a
    // load if necessary.
    const bool backoffIsShorter =
        shortestBackoff && best &&
        candidates[*best].loadMs > static_cast<double>( shortestBackoff->count() );
    out.candidates = candidates.size();
    if( !best || backoffIsShorter ) {
        out.unavailableFor =
            ( backoffIsShorter ? shortestBackoff : shortestWait ).value_or( Millis{ 0 } );
        out.atLimit = shortestWait && shortestWait != shortestBackoff && !backoffIsShorter;
        return out;
    }
    const auto& it = candidates[*best];
    out.node = nodes[*best];
    out.bestCost = costOf( it );
    out.workMs = it.workMs;
    out.timeFactor = it.timeFactor;
    out.loadMs = it.loadMs;
    out.sendDelayMs = it.sendDelayMs;
    out.uncachedTokens = it.uncachedTokens;
    out.unqueued = it.backlogMs <= 0 && it.loadMs <= 0;
    out.expectedMs = it.backlogMs + it.workMs * it.timeFactor + it.loadMs;
    if( need.generation != nullptr && out.node->engine ) {
        out.holdsModel = out.node->holdsModel( need.generation->model, now );
        out.holdsAdapter =
            need.generation->adapter.empty() ||
            out.node->holdsAdapter( need.generation->model, need.generation->adapter, now );
    }
    return out;
}

} // namespace coursehead::gateway
