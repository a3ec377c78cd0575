// SPDX-License-Identifier: BSL-1.0
#include "gateway/messages.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace coursehead::decide {

using Json = nlohmann::json;

void to_json( Json& out, const EngineSpeed& in ) {
    out = Json::array( { in.timeRatio, in.stepMs, in.certainty, in.ageMs, in.readingStepMs } );
}

void to_json( Json& out, const PartLink& in ) {
    out = Json::array( { in.tokenBytes, in.linkMbps } );
}

void from_json( const Json& in, PartLink& out ) {
    out.tokenBytes = in.at( 0 ).get<double>();
    out.linkMbps = in.at( 1 ).get<double>();
}

void from_json( const Json& in, EngineSpeed& out ) {
    out.timeRatio = in.at( 0 ).get<double>();
    out.stepMs = in.at( 1 ).get<double>();
    out.certainty = in.at( 2 ).get<double>();
    out.ageMs = in.at( 3 ).get<std::int64_t>();
    constexpr std::size_t firstFields = 4;
    if( in.size() > firstFields ) {
        out.readingStepMs = in.at( firstFields ).get<double>();
    }
}

void to_json( Json& out, const StorePosition& in ) {
    out = Json::array( { in.era, in.revision } );
}

void from_json( const Json& in, StorePosition& out ) {
    out.era = in.at( 0 ).get<std::uint64_t>();
    out.revision = in.at( 1 ).get<std::uint64_t>();
}

void to_json( Json& out, const QuotaRate& in ) {
    out = Json::array( { in.organisation, in.perS, in.burst } );
}

void from_json( const Json& in, QuotaRate& out ) {
    out.organisation = in.at( 0 ).get<std::string>();
    out.perS = in.at( 1 ).get<double>();
    out.burst = in.at( 2 ).get<double>();
}

void to_json( Json& out, const QuotaUpdate& in ) {
    out = Json::array( { in.gateway, in.version, in.gateways, in.rates } );
}

void from_json( const Json& in, QuotaUpdate& out ) {
    out.gateway = in.at( 0 ).get<std::string>();
    out.version = in.at( 1 ).get<std::uint64_t>();
    out.gateways = in.at( 2 ).get<int>();
    out.rates = in.at( 3 ).get<std::vector<QuotaRate>>();
}

void to_json( Json& out, const QuotaRequest& in ) {
    out = Json::array( { in.number, in.organisation, in.needed, in.preferred, in.maxWaitMs } );
}

void from_json( const Json& in, QuotaRequest& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.organisation = in.at( 1 ).get<std::string>();
    out.needed = in.at( 2 ).get<double>();
    out.preferred = in.at( 3 ).get<double>();
    out.maxWaitMs = in.at( 4 ).get<std::int64_t>();
}

void to_json( Json& out, const QuotaAnswer& in ) {
    out = Json::array( { in.number, in.known, in.granted, in.waitMs } );
}

void from_json( const Json& in, QuotaAnswer& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.known = in.at( 1 ).get<bool>();
    out.granted = in.at( 2 ).get<double>();
    out.waitMs = in.at( 3 ).get<std::int64_t>();
}

void to_json( Json& out, const QuotaReturn& in ) {
    out = Json::array( { in.organisation, in.units } );
}

void from_json( const Json& in, QuotaReturn& out ) {
    out.organisation = in.at( 0 ).get<std::string>();
    out.units = in.at( 1 ).get<double>();
}

void to_json( Json& out, const LimitStatement& in ) {
    out = Json::array( { in.start, in.perS, in.namedAgoMs, in.noneAgoMs } );
}

void from_json( const Json& in, LimitStatement& out ) {
    out.start = in.at( 0 ).get<std::string>();
    out.perS = in.at( 1 ).get<double>();
    out.namedAgoMs = in.at( 2 ).get<std::int64_t>();
    out.noneAgoMs = in.at( 3 ).get<std::int64_t>();
}

void to_json( Json& out, const LimitUpdate& in ) {
    out = Json::array( { in.gateway, in.gateways, in.statements } );
}

void from_json( const Json& in, LimitUpdate& out ) {
    out.gateway = in.at( 0 ).get<std::string>();
    out.gateways = in.at( 1 ).get<int>();
    out.statements = in.at( 2 ).get<std::vector<LimitStatement>>();
}

void to_json( Json& out, const LimitRequest& in ) {
    out = Json::array( { in.number, in.statement } );
}

void from_json( const Json& in, LimitRequest& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.statement = in.at( 1 ).get<LimitStatement>();
}

void to_json( Json& out, const LimitAnswer& in ) {
    out = Json::array( { in.number, in.verdict, in.earliestWaitMs, in.waitMs } );
}

void from_json( const Json& in, LimitAnswer& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.verdict = in.at( 1 ).get<LimitVerdict>();
    out.earliestWaitMs = in.at( 2 ).get<std::int64_t>();
    out.waitMs = in.at( 3 ).get<std::int64_t>();
}

void to_json( Json& out, const LimitReturn& in ) {
    out = Json::array( { in.start } );
}

void from_json( const Json& in, LimitReturn& out ) {
    out.start = in.at( 0 ).get<std::string>();
}

void to_json( Json& out, const InterruptedRun& in ) {
    out = Json::array( { in.fingerprint, in.weight, in.quarantines } );
}

void from_json( const Json& in, InterruptedRun& out ) {
    out.fingerprint = in.at( 0 ).get<Fingerprint>();
    out.weight = in.at( 1 ).get<double>();
    out.quarantines = in.at( 2 ).get<int>();
}

void to_json( Json& out, const InterruptedPart& in ) {
    out = Json::array( { in.fingerprint, in.soundMsAgo } );
}

void from_json( const Json& in, InterruptedPart& out ) {
    out.fingerprint = in.at( 0 ).get<Fingerprint>();
    out.soundMsAgo = in.at( 1 ).get<std::int64_t>();
}

void to_json( Json& out, const PoisonEvidence& in ) {
    out = Json::array( { in.upstreamId, in.runs, in.parts, in.endedMsAgo } );
}

void from_json( const Json& in, PoisonEvidence& out ) {
    out.upstreamId = in.at( 0 ).get<std::string>();
    out.runs = in.at( 1 ).get<std::vector<InterruptedRun>>();
    if( in.size() > 2 ) {
        out.parts = in.at( 2 ).get<std::vector<InterruptedPart>>();
        out.endedMsAgo = in.at( 3 ).get<std::int64_t>();
    }
}

void to_json( Json& out, const PoisonCleared& in ) {
    out = Json::array( { in.fingerprint, in.soundMsAgo, in.times } );
}

void from_json( const Json& in, PoisonCleared& out ) {
    out.fingerprint = in.at( 0 ).get<Fingerprint>();
    if( in.size() > 1 ) {
        out.soundMsAgo = in.at( 1 ).get<std::int64_t>();
        out.times = in.at( 2 ).get<int>();
    }
}

void to_json( Json& out, const Quarantine& in ) {
    out = Json::array(
        { in.fingerprint, in.times, in.holdMs, in.kind, in.firstEndMsAgo, in.soundBefore } );
}

void from_json( const Json& in, Quarantine& out ) {
    out.fingerprint = in.at( 0 ).get<Fingerprint>();
    out.times = in.at( 1 ).get<int>();
    out.holdMs = in.at( 2 ).get<std::int64_t>();
    if( in.size() > 3 ) {
        out.kind = in.at( 3 ).get<PoisonKind>();
        out.firstEndMsAgo = in.at( 4 ).get<std::int64_t>();
        out.soundBefore = in.at( 5 ).get<bool>();
    }
}

void to_json( Json& out, const QuarantineUpdate& in ) {
    out = in.entries;
}

void from_json( const Json& in, QuarantineUpdate& out ) {
    out.entries = in.get<std::vector<Quarantine>>();
}

void to_json( Json& out, const StreamVersion& in ) {
    out = Json::array( { in.service, in.version } );
}

void from_json( const Json& in, StreamVersion& out ) {
    out.service = in.at( 0 ).get<std::string>();
    out.version = in.at( 1 ).get<std::string>();
}

void to_json( Json& out, const StreamOrigin& in ) {
    out = Json::array( { in.key, in.began, in.leftMs } );
}

void from_json( const Json& in, StreamOrigin& out ) {
    out.key = in.at( 0 ).get<StreamKey>();
    out.began = in.at( 1 ).get<StreamVersion>();
    out.leftMs = in.at( 2 ).get<std::int64_t>();
}

void to_json( Json& out, const OriginUpdate& in ) {
    out = Json::array( { in.origins, in.copy } );
}

void from_json( const Json& in, OriginUpdate& out ) {
    out.origins = in.at( 0 ).get<std::vector<StreamOrigin>>();
    out.copy = in.at( 1 ).get<bool>();
}

void to_json( Json& out, const OriginRequest& in ) {
    out = Json::array( { in.number, in.key } );
}

void from_json( const Json& in, OriginRequest& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.key = in.at( 1 ).get<StreamKey>();
}

void to_json( Json& out, const OriginAnswer& in ) {
    out = Json::array( { in.number, in.known, in.began, in.holderAgeMs } );
}

void from_json( const Json& in, OriginAnswer& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.known = in.at( 1 ).get<bool>();
    out.began = in.at( 2 ).get<StreamVersion>();
    out.holderAgeMs = in.at( 3 ).get<std::int64_t>();
}

} // namespace coursehead::decide

namespace coursehead::gateway {

using Json = nlohmann::json;

namespace {

//! Reads a field that older versions do not send; `out` keeps its value if the field is missing.
template <typename T>
void readAddedField( const Json& in, std::size_t index, T& out ) {
    if( index < in.size() ) {
        out = in.at( index ).get<T>();
    }
}

} // namespace

void to_json( Json& out, const SentPart& in ) {
    out = Json::array( { in.key, in.tokens, in.model } );
}

void from_json( const Json& in, SentPart& out ) {
    out.key = in.at( 0 ).get<std::uint64_t>();
    out.tokens = in.at( 1 ).get<std::int64_t>();
    out.model = in.at( 2 ).get<std::string>();
}

// Frequent messages are encoded as arrays, without field names, to keep them small.

void to_json( Json& out, const Resident& in ) {
    out = Json::array( { in.model, in.adapters } );
}

void from_json( const Json& in, Resident& out ) {
    out.model = in.at( 0 ).get<std::string>();
    out.adapters = in.at( 1 ).get<std::vector<std::string>>();
}

void to_json( Json& out, const ModelDemand& in ) {
    out = Json::array( { in.model, in.perS, in.workPerS, in.copies, in.running, in.adaptersUsed } );
}

void from_json( const Json& in, ModelDemand& out ) {
    out.model = in.at( 0 ).get<std::string>();
    out.perS = in.at( 1 ).get<double>();
    out.workPerS = in.at( 2 ).get<double>();
    out.copies = in.at( 3 ).get<int>();
    out.running = in.at( 4 ).get<int>();
    out.adaptersUsed = in.at( 5 ).get<std::vector<std::string>>();
}

void to_json( Json& out, const DemandUpdate& in ) {
    out = Json::array( { in.models, in.sentParts, in.readingShare, in.gateways, in.atCapacity } );
}

void from_json( const Json& in, DemandUpdate& out ) {
    out.models = in.at( 0 ).get<std::vector<ModelDemand>>();
    out.sentParts = in.at( 1 ).get<std::vector<SentPart>>();
    out.readingShare = in.at( 2 ).get<double>();
    out.gateways = in.at( 3 ).get<int>();
    readAddedField( in, 4, out.atCapacity );
}

void to_json( Json& out, const HallGateways& in ) {
    out = Json::array( { in.hall, in.connected, in.atCapacity } );
}

void from_json( const Json& in, HallGateways& out ) {
    out.hall = in.at( 0 ).get<std::string>();
    out.connected = in.at( 1 ).get<int>();
    out.atCapacity = in.at( 2 ).get<int>();
}

void to_json( Json& out, const EngineLoad& in ) {
    out = Json::array( { in.orderInProgress, in.queued, in.running, in.prefilling,
                         in.hasAdapterCapacity, in.latePausesPercent, in.sentParts,
                         in.readingPercent, in.readingWaitMs, in.gateways, in.speed, in.freePlaces,
                         in.freeTokens, in.promptsWaiting, in.orderLeftMs, in.gatewayHalls } );
}

void from_json( const Json& in, EngineLoad& out ) {
    out.orderInProgress = in.at( 0 ).get<bool>();
    out.queued = in.at( 1 ).get<std::uint32_t>();
    out.running = in.at( 2 ).get<std::uint32_t>();
    out.prefilling = in.at( 3 ).get<std::uint32_t>();
    out.hasAdapterCapacity = in.at( 4 ).get<bool>();
    out.latePausesPercent = in.at( 5 ).get<int>();
    out.sentParts = in.at( 6 ).get<std::vector<SentPart>>();
    out.readingPercent = in.at( 7 ).get<int>();
    out.readingWaitMs = in.at( 8 ).get<std::int64_t>();
    out.gateways = in.at( 9 ).get<int>();
    readAddedField( in, 10, out.speed );
    readAddedField( in, 11, out.freePlaces );
    readAddedField( in, 12, out.freeTokens );
    readAddedField( in, 13, out.promptsWaiting );
    readAddedField( in, 14, out.orderLeftMs );
    readAddedField( in, 15, out.gatewayHalls );
}

void to_json( Json& out, const SidecarReport& in ) {
    out = Json::array( { in.reachable, in.formerUpstreams, in.residents, in.loadingAdapters,
                         in.onDisk, in.inMemory, in.load, in.born } );
}

void from_json( const Json& in, SidecarReport& out ) {
    out.reachable = in.at( 0 ).get<bool>();
    out.formerUpstreams = in.at( 1 ).get<std::vector<std::string>>();
    out.residents = in.at( 2 ).get<std::vector<Resident>>();
    out.loadingAdapters = in.at( 3 ).get<std::vector<std::string>>();
    out.onDisk = in.at( 4 ).get<std::vector<std::string>>();
    out.inMemory = in.at( 5 ).get<std::vector<std::string>>();
    out.load = in.at( 6 ).get<EngineLoad>();
    out.born = in.at( 7 ).get<StartTime>();
}

void to_json( Json& out, const LoadReport& in ) {
    out = in.load;
}

void from_json( const Json& in, LoadReport& out ) {
    out.load = in.get<EngineLoad>();
}

void to_json( Json& out, const PendingPromptPart& in ) {
    out = Json::array( { in.key, in.tokens } );
}

void from_json( const Json& in, PendingPromptPart& out ) {
    out.key = in.at( 0 ).get<std::uint64_t>();
    out.tokens = in.at( 1 ).get<std::int64_t>();
}

void to_json( Json& out, const PendingPrompt& in ) {
    out = Json::array( { in.tokens, in.msPerToken, in.goalMs, in.mayStartLate, in.parts, in.route,
                         in.organisation, in.urgency, in.maxTokens, in.content, in.cachedAt,
                         in.cachedTokens, in.cachedOtherHall, in.cachedReadyMs } );
}

void from_json( const Json& in, PendingPrompt& out ) {
    out.tokens = in.at( 0 ).get<std::int64_t>();
    out.msPerToken = in.at( 1 ).get<double>();
    out.goalMs = in.at( 2 ).get<std::int64_t>();
    out.mayStartLate = in.at( 3 ).get<bool>();
    out.parts = in.at( 4 ).get<std::vector<PendingPromptPart>>();
    readAddedField( in, 5, out.route );
    readAddedField( in, 6, out.organisation );
    readAddedField( in, 7, out.urgency );
    readAddedField( in, 8, out.maxTokens );
    readAddedField( in, 9, out.content );
    readAddedField( in, 10, out.cachedAt );
    readAddedField( in, 11, out.cachedTokens );
    readAddedField( in, 12, out.cachedOtherHall );
    readAddedField( in, 13, out.cachedReadyMs );
}

void to_json( Json& out, const EnsureRequest& in ) {
    out = Json::array( { in.number, in.upstreamId, in.model, in.adapter, in.fromStore, in.limitMs,
                         in.prompt, in.coldMs, in.coldPerS } );
}

void from_json( const Json& in, EnsureRequest& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.upstreamId = in.at( 1 ).get<std::string>();
    out.model = in.at( 2 ).get<std::string>();
    out.adapter = in.at( 3 ).get<std::string>();
    out.fromStore = in.at( 4 ).get<bool>();
    out.limitMs = in.at( 5 ).get<std::int64_t>();
    out.prompt = in.at( 6 ).get<PendingPrompt>();
    out.coldMs = in.at( 7 ).get<std::int64_t>();
    out.coldPerS = in.at( 8 ).get<double>();
}

void to_json( Json& out, const EnsureAnswer& in ) {
    out = Json::array( { in.number, in.outcome, in.waitMs, in.workMs, in.modelWorkPerS, in.refusal,
                         in.placeHeldMs, in.fetchParts, in.returnInMs, in.born } );
}

void from_json( const Json& in, EnsureAnswer& out ) {
    out.number = in.at( 0 ).get<std::uint64_t>();
    out.outcome = in.at( 1 ).get<EnsureOutcome>();
    out.waitMs = in.at( 2 ).get<std::int64_t>();
    out.workMs = in.at( 3 ).get<double>();
    out.modelWorkPerS = in.at( 4 ).get<double>();
    readAddedField( in, 5, out.refusal );
    readAddedField( in, 6, out.placeHeldMs );
    readAddedField( in, 7, out.fetchParts );
    readAddedField( in, 8, out.returnInMs );
    readAddedField( in, 9, out.born );
}

// clang-format off
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( EnsureCancel, number )
// clang-format on

void to_json( Json& out, const ModelSpec& in ) {
    out = Json::array( { in.name, in.weightsMb, in.adapterMb, in.adapters, in.storeLoad.count(),
                         in.diskLoad.count(), in.memoryLoad.count() } );
}

void from_json( const Json& in, ModelSpec& out ) {
    out.name = in.at( 0 ).get<std::string>();
    out.weightsMb = in.at( 1 ).get<double>();
    out.adapterMb = in.at( 2 ).get<double>();
    out.adapters = in.at( 3 ).get<int>();
    out.storeLoad = Millis( in.at( 4 ).get<std::int64_t>() );
    out.diskLoad = Millis( in.at( 5 ).get<std::int64_t>() );
    out.memoryLoad = Millis( in.at( 6 ).get<std::int64_t>() );
}

// clang-format off
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( EngineSpec, slots, cacheTokens, weightsMb, adapterSlots, storeLoadsPerS, models, partLink )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT( EngineUpdate, gateway, configVersion, upstreamId, born, gapTargetMs, spec, hall )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( SpecRequest, key )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( SpecAnswer, key, engine )
// clang-format on

void to_json( Json& out, const Upstream& in ) {
    const Json created = in.created;
    const auto remainingMs = in.remaining ? in.remaining->count() : std::int64_t{ -1 };
    out = Json::array( { in.id, created, in.service, in.ip, in.port, in.hall, in.slots,
                         in.state == UpstreamState::draining, remainingMs, in.residents, in.born,
                         in.cold.count(), in.softwareVersion.value_or( "" ) } );
}

void from_json( const Json& in, Upstream& out ) {
    out.id = in.at( 0 ).get<std::string>();
    out.created = in.at( 1 ).get<decide::StorePosition>();
    out.service = in.at( 2 ).get<std::string>();
    out.ip = in.at( 3 ).get<std::string>();
    out.port = in.at( 4 ).get<int>();
    out.hall = in.at( 5 ).get<std::string>();
    out.slots = in.at( 6 ).get<int>();
    out.state = in.at( 7 ).get<bool>() ? UpstreamState::draining : UpstreamState::ready;
    const auto remainingMs = in.at( 8 ).get<std::int64_t>();
    if( remainingMs >= 0 ) {
        out.remaining = Millis( remainingMs );
    }
    out.residents = in.at( 9 ).get<std::vector<Resident>>();
    out.born = in.at( 10 ).get<StartTime>();
    out.cold = Millis( in.at( 11 ).get<std::int64_t>() );
    readAddedField( in, 12, *out.softwareVersion );
}

// clang-format off
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( RelayRequest, wanted )
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE( StoreUpdate, part, position, reachable, whole, upstreams, gone, configuration, quarantines, emptied )
// clang-format on

namespace {

template <std::size_t Index = 0>
std::optional<Message> decodeAs( std::size_t index, const Json& body ) {
    if constexpr( Index < std::variant_size_v<Message> ) {
        if( index == Index ) {
            return body.get<std::variant_alternative_t<Index, Message>>();
        }
        return decodeAs<Index + 1>( index, body );
    } else {
        return std::nullopt;
    }
}

} // namespace

std::string_view nameOf( EnsureOutcome outcome ) {
    switch( outcome ) {
    case EnsureOutcome::ready:
        return "ready";
    case EnsureOutcome::noCapacity:
        return "no_room";
    case EnsureOutcome::needsWeightStore:
        return "weight_store_rate";
    case EnsureOutcome::failed:
        return "failed";
    case EnsureOutcome::tooLate:
        return "later";
    }
    return "unknown";
}

std::string_view kindOf( const Message& message ) {
    static constexpr std::array<std::string_view, std::variant_size_v<Message>> names{
        "engine_news", "ensure_request", "ensure_answer", "demand",          "whole_report",
        "load_report", "relay_ask",      "store_news",    "ensure_cancel",   "quota_news",
        "quota_ask",   "quota_answer",   "quota_return",  "poison_evidence", "poison_cleared",
        "quarantines", "limit_news",     "limit_ask",     "limit_answer",    "limit_return",
        "spec_ask",    "spec",           "origin_news",   "origin_ask",      "origin_answer",
    };
    return names.at( message.index() );
}

std::string encode( const Message& message ) {
    Json body;
    std::visit( [&body]( const auto& it ) { body = it; }, message );
    const auto bytes = Json::to_cbor( Json::array( { message.index(), std::move( body ) } ) );
    return { bytes.begin(), bytes.end() };
}

std::optional<Message> decode( std::string_view bytes ) {
    try {
        const auto in = Json::from_cbor( bytes.begin(), bytes.end() );
        return decodeAs( in.at( 0 ).get<std::size_t>(), in.at( 1 ) );
    } catch( const Json::exception& ) {
        return std::nullopt;
    }
}

} // namespace coursehead::gateway
