// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/estimate.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Assumed prompt reading time of a request that is only known from an engine's queue count.
constexpr double typicalPrefillMs = 80;
//! Assumed duration of a request to a plain service; measured slowness scales it.
constexpr double typicalPlainWorkMs = 20;
//! Time to load an adapter: a few milliseconds plus a round trip to the sidecar.
constexpr double adapterLoadMs = 25;
//! Wait for an adapter slot if running requests use all of them: streams last about a second.
constexpr double adapterSlotWaitMs = 800;
//! Typical time until a model order that is in progress completes, if the sidecar does not know it.
constexpr double typicalOrderLeftMs = 400;
//! Remaining time assumed for a load or an order that has already taken longer than expected.
constexpr Millis minLoadLeft{ 50 };
//! Penalty for another hall. Sending the 18 KB of a review request across halls costs about 1 % of
//! the request's value; the penalty in time is a tenth of that.
constexpr double crossHallMs = 4;
//! Penalty for another hall at plain services. It is larger than for engines, because the upstreams
//! cache nothing that would favour one of them.
constexpr double plainCrossHallMs = 15;
//! Penalty for another region: asking the engine's sidecar and sending the request take a round
//! trip of tens of milliseconds each, and transferring the bytes over narrow links as much again.
constexpr double crossRegionMs = 240;
//! Penalty for another region at plain services: one round trip, and as much again for the bytes.
constexpr double plainCrossRegionMs = 120;
//! Penalty for a load, because it evicts another model: a load is chosen only if it saves more than
//! this.
constexpr double evictionPenaltyMs = 150;
//! Penalty for a hall that is being evacuated. Requests for models that other halls hold too go
//! elsewhere at once. Requests for models that only this hall holds still go there until a copy is
//! loaded elsewhere, because a load from disk or the weight store costs more than this.
constexpr double evacuatedHallMs = 350;
//! Typical wait until an upstream in slow start after a back-off accepts one more request.
constexpr double slowStartWaitMs = 25;
constexpr double percent = 100;

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

//! Tokens of the parts that other prompts share: all but the last part.
std::int64_t sharedTokens( const Generation& generation ) {
    std::int64_t out = 0;
    for( std::size_t n = 0; n + 1 < generation.parts.size(); ++n ) {
        out += generation.parts[n].tokens;
    }
    return std::min( out, generation.promptTokens );
}

//! Time until the model order that is in progress at the engine ends; 0: there is none.
double orderLeftMs( const Node& node, MonoTime now ) {
    if( !node.report || !node.report->load.orderInProgress ) {
        return 0;
    }
    const Millis reported{ node.report->load.orderLeftMs };
    if( reported.count() < 0 ) {
        return typicalOrderLeftMs;
    }
    const auto left = reported - std::chrono::duration_cast<Millis>( now - node.reportAt );
    return static_cast<double>( std::max( left, minLoadLeft ).count() );
}

double loadMs( const Node& node, const Generation& generation, MonoTime now ) {
    if( !node.holdsModel( generation.model, now ) ) {
        const auto* model = node.engine->find( generation.model );
        if( model == nullptr ) {
            return 0;
        }
        const auto loadStart = node.loading.find( generation.model );
        Millis load = model->storeLoad;
        if( node.report && contains( node.report->inMemory, generation.model ) ) {
            load = model->memoryLoad;
        } else if( node.report && contains( node.report->onDisk, generation.model ) ) {
            load = model->diskLoad;
        }
        if( loadStart != node.loading.end() ) {
            // Other requests wait for this load already: only its remaining time counts, no new
            // order.
            const auto left = load - std::chrono::duration_cast<Millis>( now - loadStart->second );
            return static_cast<double>( std::max( left, minLoadLeft ).count() );
        }
        return static_cast<double>( load.count() ) + evictionPenaltyMs + orderLeftMs( node, now );
    }
    if( generation.adapter.empty() ||
        node.holdsAdapter( generation.model, generation.adapter, now ) ) {
        return 0;
    }
    // An adapter load waits for a model order that is in progress.
    const double orderLeft = node.reportFresh( now ) ? orderLeftMs( node, now ) : 0;
    const bool full = node.reportFresh( now ) && !node.report->load.hasAdapterCapacity;
    return adapterLoadMs + orderLeft + ( full ? adapterSlotWaitMs : 0 );
}

} // namespace

Candidate estimate( const Node& node, const RequestNeeds& need, const ModelPace& pace,
                    Distance distance, MonoTime now ) {
    Candidate out;
    out.failures = recentFailures( node.health, now );
    out.timeFactor = node.timeFactor( now );
    out.slowness = unexplainedSlowness( node.health, out.timeFactor, now );
    out.otherHall = distance.otherHall;
    out.otherRegion = distance.otherRegion;
    out.crossRegionMs = crossRegionMs;
    out.crossHallMs = crossHallMs;
    out.evacuationPenaltyMs = node.stopAt ? evacuatedHallMs : 0;
    out.sendDelayMs = node.slowStart.admits( node.inFlight ) ? 0 : slowStartWaitMs;
    out.avoided = node.health.avoidUntil > now || !node.engineReachable;
    if( need.generation == nullptr || !node.engine ) {
        out.workMs = typicalPlainWorkMs;
        out.crossHallMs = plainCrossHallMs;
        out.crossRegionMs = plainCrossRegionMs;
        out.backlogMs = typicalPlainWorkMs * node.inFlight / std::max( node.upstream.slots, 1 ) +
                        ( node.inFlight >= node.upstream.slots ? typicalPlainWorkMs : 0 );
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
    out.backlogMs = node.prefillMs * out.timeFactor;
    if( node.sidecarAdmitsPrompts( now ) ) {
        // The sidecar's figure covers what all gateways have sent and are waiting to send.
        out.backlogMs = std::max( out.backlogMs, node.readingWaitLeft( now ) );
    } else if( node.gapTarget.count() > 0 ) {
        out.sendDelayMs += static_cast<double>(
            node.reading.wait( out.workMs, node.readingLimits( now ), now ).count() );
    }
    if( node.reportFresh( now ) ) {
        const auto waiting =
            static_cast<int>( node.report->load.queued + node.report->load.prefilling );
        if( !node.sidecarAdmitsPrompts( now ) ) {
            out.backlogMs += std::max( waiting - node.prefilling, 0 ) * typicalPrefillMs;
        }
        const bool full = node.engine->slots > 0 &&
                          node.report->load.running >= static_cast<unsigned>( node.engine->slots );
        out.backlogMs += full ? typicalPrefillMs * ( 1 + node.report->load.queued ) : 0;
    }
    if( node.reportFresh( now ) ) {
        out.decoding = node.report->load.running -
                       std::min( node.report->load.running, node.report->load.prefilling );
    }
    if( node.reportFresh( now ) ) {
        const auto& load = node.report->load;
        out.latePauseShare = std::max( load.latePausesPercent / percent,
                                       decide::expectedLateShare( load.speed, node.gapTarget ) );
    }
    out.loadMs = loadMs( node, generation, now );
    const auto shared = need.prefix.size() > 1 ? need.prefix[need.prefix.size() - 2] : 0;
    const auto key =
        shared != 0 ? std::to_string( shared ) : generation.model + "/" + generation.adapter;
    out.affinity = hash64( node.upstream.id, key );
    return out;
}

bool cheaperThanAnyLoad( const Candidate& candidate, const Node& node, std::string_view model ) {
    const auto* spec = node.engine ? node.engine->find( model ) : nullptr;
    const auto fastestLoad = spec == nullptr ? Millis{ 0 } : spec->memoryLoad;
    return costOf( candidate ) + equalCostMs <
           evictionPenaltyMs + static_cast<double>( fastestLoad.count() );
}

bool hasLocalWeights( const Node& node, const std::string& model ) {
    return node.report &&
           ( contains( node.report->inMemory, model ) || contains( node.report->onDisk, model ) );
}

} // namespace coursehead::gateway
