// SPDX-License-Identifier: BSL-1.0
#include "gateway/estimate.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Prompt reading of a request of which nothing more is known, in milliseconds.
constexpr double usualPrefillMs = 80;
//! Usual work of a plain service's request, in milliseconds, until slowness is measured.
constexpr double usualWorkMs = 20;
//! Loading an adapter that is not there: some milliseconds, and a round trip to the sidecar.
constexpr double adapterLoadMs = 25;
//! Waiting where every adapter slot is taken by running requests: streams last about a second.
constexpr double adapterFullMs = 800;
//! Usual rest of a model's order that is under way.
constexpr double orderWaitMs = 400;
//! Rest of a load that has taken longer than expected.
constexpr Millis leastLoad{ 50 };
//! What leaving the hall counts for: a review's 18 KB cost about one part in a hundred of its
//! worth, a tenth of that in time.
constexpr double crossHallMs = 4;
//! The same for plain services, which keep nothing that makes one better than the other.
constexpr double plainCrossHallMs = 15;
//! Leaving the region: a question to the engine's sidecar and the send take a round trip each, of
//! tens of milliseconds; as much again for the bytes, on links that are narrow.
constexpr double crossRegionMs = 240;
//! One round trip, and as much for the bytes.
constexpr double plainCrossRegionMs = 120;
//! A load also makes another model give way; it is chosen only when it wins this much.
constexpr double evictionMs = 150;
//! What is held elsewhere too leaves a hall that is emptied at once; what only it holds is still
//! sent there until a copy has come from a disk or the weight store, which takes longer than this.
constexpr double leavingHallMs = 350;
//! Usual wait until an upstream that was in a back-off takes one more.
constexpr double slowStartMs = 25;
constexpr double percent = 100;

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

//! Tokens of the parts that other prompts have too; the last part is the request's own.
std::int64_t sharedTokens( const Generation& generation ) {
    std::int64_t out = 0;
    for( std::size_t n = 0; n + 1 < generation.parts.size(); ++n ) {
        out += generation.parts[n].tokens;
    }
    return std::min( out, generation.promptTokens );
}

double loadMs( const Node& node, const Generation& generation, MonoTime now ) {
    if( !node.holdsModel( generation.model, now ) ) {
        const auto* model = node.engine->find( generation.model );
        if( model == nullptr ) {
            return 0;
        }
        const auto under = node.loading.find( generation.model );
        Millis load = model->storeLoad;
        if( node.report && contains( node.report->inMemory, generation.model ) ) {
            load = model->memoryLoad;
        } else if( node.report && contains( node.report->onDisk, generation.model ) ) {
            load = model->diskLoad;
        }
        if( under != node.loading.end() ) {
            // Others wait for it there already: what is left of the load, and no further order.
            const auto left = load - std::chrono::duration_cast<Millis>( now - under->second );
            return static_cast<double>( std::max( left, leastLoad ).count() );
        }
        const double busy = node.report && node.report->load.orderInProgress ? orderWaitMs : 0;
        return static_cast<double>( load.count() ) + evictionMs + busy;
    }
    if( generation.adapter.empty() ||
        node.holdsAdapter( generation.model, generation.adapter, now ) ) {
        return 0;
    }
    // Adapters wait for a model's order that is under way.
    const bool orderInProgress = node.reportFresh( now ) && node.report->load.orderInProgress;
    const bool full = node.reportFresh( now ) && !node.report->load.hasAdapterCapacity;
    return adapterLoadMs + ( orderInProgress ? orderWaitMs : 0 ) + ( full ? adapterFullMs : 0 );
}

} // namespace

Candidate estimate( const Node& node, const RequestNeeds& need, const ModelPace& pace,
                    Distance distance, MonoTime now ) {
    Candidate out;
    out.failures = recentFailures( node.health, now );
    out.slowness = slownessNow( node.health, now );
    out.otherHall = distance.otherHall;
    out.otherRegion = distance.otherRegion;
    out.crossRegionMs = crossRegionMs;
    out.crossHallMs = crossHallMs;
    out.evacuationPenaltyMs = node.stopAt ? leavingHallMs : 0;
    out.sendDelayMs = node.slowStart.admits( node.inFlight ) ? 0 : slowStartMs;
    out.avoided = node.health.avoidUntil > now || !node.engineReachable;
    if( need.generation == nullptr || !node.engine ) {
        out.workMs = usualWorkMs;
        out.crossHallMs = plainCrossHallMs;
        out.crossRegionMs = plainCrossRegionMs;
        out.backlogMs = usualWorkMs * node.inFlight / std::max( node.upstream.slots, 1 ) +
                        ( node.inFlight >= node.upstream.slots ? usualWorkMs : 0 );
        out.affinity = hash64( node.upstream.id, std::to_string( now.time_since_epoch().count() ) );
        return out;
    }
    const auto& generation = *need.generation;
    const auto cached = node.prefixes.cachedTokens( need.prefix, generation );
    const auto fresh = std::max<std::int64_t>( generation.promptTokens - cached, 0 );
    out.uncachedTokens = fresh;
    out.workMs = pace.readingMs( generation.model, static_cast<double>( fresh ) );
    out.seen = node.reportFresh( now );
    out.holds = node.holdsModel( generation.model, now );
    out.unsharedTokens = generation.promptTokens - sharedTokens( generation );
    out.unsharedWorkMs =
        pace.readingMs( generation.model, static_cast<double>( out.unsharedTokens ) );
    out.backlogMs = node.prefillMs;
    if( node.sidecarAdmitsPrompts( now ) ) {
        // It knows what all gateways have sent and are waiting to send.
        out.backlogMs = std::max( out.backlogMs, node.readingWaitLeft( now ) );
    } else if( node.gapTarget.count() > 0 ) {
        out.sendDelayMs += static_cast<double>(
            node.reading.wait( out.workMs, node.readingLimits( now ), now ).count() );
    }
    if( node.reportFresh( now ) ) {
        const auto waiting =
            static_cast<int>( node.report->load.queued + node.report->load.prefilling );
        if( !node.sidecarAdmitsPrompts( now ) ) {
            out.backlogMs += std::max( waiting - node.prefilling, 0 ) * usualPrefillMs;
        }
        const bool full = node.engine->slots > 0 &&
                          node.report->load.running >= static_cast<unsigned>( node.engine->slots );
        out.backlogMs += full ? usualPrefillMs * ( 1 + node.report->load.queued ) : 0;
    }
    if( node.reportFresh( now ) ) {
        out.decoding = node.report->load.running -
                       std::min( node.report->load.running, node.report->load.prefilling );
    }
    out.latePauseShare =
        node.reportFresh( now ) ? node.report->load.latePausesPercent / percent : 0;
    out.loadMs = loadMs( node, generation, now );
    const auto shared = need.prefix.size() > 1 ? need.prefix[need.prefix.size() - 2] : 0;
    const auto key =
        shared != 0 ? std::to_string( shared ) : generation.model + "/" + generation.adapter;
    out.affinity = hash64( node.upstream.id, key );
    return out;
}

bool beatsAnyLoad( const Candidate& candidate, const Node& node, std::string_view model ) {
    const auto* spec = node.engine ? node.engine->find( model ) : nullptr;
    const auto quickest = spec == nullptr ? Millis{ 0 } : spec->memoryLoad;
    return costOf( candidate ) + equalMs < evictionMs + static_cast<double>( quickest.count() );
}

bool hasWeights( const Node& node, const std::string& model ) {
    return node.report &&
           ( contains( node.report->inMemory, model ) || contains( node.report->onDisk, model ) );
}

} // namespace coursehead::gateway
