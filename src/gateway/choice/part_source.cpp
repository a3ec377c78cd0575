// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/part_source.hpp"

#include "decide/part_fetch.hpp"
#include "gateway/choice/fleet.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace coursehead::gateway {

namespace {

//! An engine with more recent failures gives no parts. A failure counts 1 and halves every two
//! seconds, so one failure excludes the engine for about two seconds and a refusal, which counts
//! 0.5 and shows only that the engine is full, hardly at all.
constexpr double maxFailures = 0.5;

//! True if the engine's cache is intact as far as known, and its link can be used now.
bool canGiveParts( const Node& node, const PartQuery& query ) {
    const auto& generation = query.generation;
    const bool healthy = node.engineReachable && node.health.avoidUntil <= query.now &&
                         recentFailures( node.health, query.now ) <= maxFailures;
    const bool inUse = node.isAvailable( query.now ) && !node.stopAt;
    const bool holds = node.reportFresh( query.now ) &&
                       node.holdsModel( generation.model, query.now ) &&
                       ( generation.adapter.empty() ||
                         node.holdsAdapter( generation.model, generation.adapter, query.now ) );
    return healthy && inUse && holds;
}

} // namespace

std::optional<PartSource> partSourceAt( const Node& node, const PartQuery& query ) {
    const bool sameVersion = node.upstream.softwareVersion == query.target.upstream.softwareVersion;
    const bool isTarget = node.upstream.id == query.target.upstream.id;
    if( isTarget || !sameVersion || !canGiveParts( node, query ) ) {
        return std::nullopt;
    }
    const auto there = node.prefixes.cachedPrefix( query.keys, query.generation );
    const auto here = query.target.prefixes.cachedTokens( query.keys, query.generation );
    const auto gain = static_cast<double>( there.tokens - here ) * query.msPerToken;
    if( gain < decide::minFetchSavingMs ) {
        return std::nullopt;
    }
    PartSource out;
    out.address = node.upstream.ip + ":" + std::to_string( node.upstream.port );
    out.tokens = there.tokens;
    const Millis reading( static_cast<std::int64_t>(
        std::ceil( static_cast<double>( there.tokens ) * query.msPerToken ) ) );
    out.readyIn = remaining( query.now, there.sentAt + reading );
    out.otherHall = node.upstream.hall != query.target.upstream.hall;
    out.affinity = hash64( node.upstream.id, query.target.upstream.id );
    return out;
}

bool isBetterSource( const PartSource& a, const PartSource& b ) {
    const auto rank = []( const PartSource& it ) {
        return std::tuple( it.tokens, -it.readyIn.count(), !it.otherHall, it.affinity );
    };
    return rank( a ) > rank( b );
}

void Fleet::addPartSource( PendingPrompt& prompt, const Choice& choice, const RequestNeeds& need,
                           const std::set<std::string>& excluded, MonoTime now ) const {
    const auto& engine = choice.node->engine;
    if( need.generation == nullptr || !engine || !engine->partLink.usable() ) {
        return;
    }
    const PartQuery query{ *choice.node, *need.generation, need.prefix, prompt.msPerToken, now };
    std::optional<PartSource> best;
    for( const auto& [id, node] : m_nodes ) {
        if( excluded.contains( id ) || !mayServe( *node, need, now ) ) {
            continue;
        }
        auto source = partSourceAt( *node, query );
        if( source && ( !best || isBetterSource( *source, *best ) ) ) {
            best = std::move( source );
        }
    }
    if( best ) {
        prompt.cachedAt = best->address;
        prompt.cachedTokens = best->tokens;
        prompt.cachedOtherHall = best->otherHall;
        prompt.cachedReadyMs = best->readyIn.count();
    }
}

} // namespace coursehead::gateway
