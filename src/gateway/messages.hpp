// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_MESSAGES_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_MESSAGES_HPP_INCLUDED

#include "decide/limit.hpp"
#include "decide/poison.hpp"
#include "decide/quota.hpp"
#include "gateway/model.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! The messages between gateways and the sidecars beside engines, as CBOR.
namespace coursehead::gateway {

//! Tells descriptions of engines apart: a hash of what they say.
using EngineSpecKey = std::uint64_t;

//! A gateway introduces itself, and says which engine the sidecar stands beside. Sent first, and
//! again when any of it changes.
struct EngineUpdate {
    std::string gateway;
    std::uint64_t configVersion = 0;
    std::string upstreamId;       //!< the engine's present start
    StartTime born = 0;           //!< the same
    std::int64_t gapTargetMs = 0; //!< longest pause that keeps a stream in time; 0: none is set
    EngineSpecKey spec = 0;       //!< what it is built like
};

//! A sidecar asks a gateway for the description that it named.
struct SpecRequest {
    EngineSpecKey key = 0;
};

//! What an engine is built like, with every model of its service: the same for all engines of a
//! service, and as large as the service has models.
struct SpecAnswer {
    EngineSpecKey key = 0;
    EngineSpec engine;
};

//! Part of a prompt that is to be sent, in the order of the prompt.
struct PendingPromptPart {
    std::uint64_t key = 0; //!< stands for model, adapter and all parts up to it
    std::int64_t tokens = 0;
};

//! A prompt that is to be sent to an engine.
struct PendingPrompt {
    std::int64_t tokens = 0; //!< in all
    double msPerToken = 0;   //!< pace at which the gateway saw the model read
    std::int64_t goalMs = 0; //!< reading has to begin within it for the answer to be in time
    bool late = false;       //!< it may begin after that too, within the question's limit
    std::vector<PendingPromptPart> parts;
};

//! Asks for a model or adapter to be made ready, and for leave to send a prompt then.
struct EnsureRequest {
    std::uint64_t number = 0; //!< of this gateway; the answer repeats it
    std::string upstreamId;
    std::string model;
    std::string adapter;      //!< empty: the model alone
    bool fromStore = false;   //!< the weight store may be used
    std::int64_t limitMs = 0; //!< the gateway waits no longer for the answer
    PendingPrompt prompt;     //!< without tokens: none is to be sent
    std::int64_t coldMs = 0;  //!< the engine stays cold for this much longer, as the gateway knows
    double coldPerS = 0;      //!< prompts a second that it is sent while cold; 0: no rule
};

//! The gateway has no use for an answer to this question, or for the leave that it was given.
struct EnsureCancel {
    std::uint64_t number = 0;
};

enum class EnsureOutcome {
    ready,
    noCapacity,       //!< everything that could make way is needed more
    needsWeightStore, //!< only the weight store has it, and it may not be used now
    failed,           //!< the engine did not take the order or cannot be reached
    tooLate,          //!< all is there, but the prompt can't be read in time
};

//! The outcome's name in logs.
std::string_view nameOf( EnsureOutcome outcome );

struct EnsureAnswer {
    std::uint64_t number = 0;
    EnsureOutcome outcome = EnsureOutcome::failed;
    std::int64_t waitMs = 0; //!< until the engine could begin with a further prompt like this one
    double workMs = 0;       //!< reading of the prompt, less what the engine keeps of it
    //! Milliseconds of prompt reading a second that all gateways ask of the model; negative: not
    //! known.
    double modelWorkPerS = -1;
};

//! How much a model is asked for, as one gateway sees it.
struct ModelDemand {
    std::string model;
    double perS = 0;                       //!< requests a second, smoothed
    double workPerS = 0;                   //!< milliseconds of prompt reading a second, smoothed
    int copies = 0;                        //!< upstreams that hold it
    int running = 0;                       //!< this gateway's requests for it in flight there
    std::vector<std::string> adaptersUsed; //!< sent there since the last message, or in flight
};

//! Part of a prompt that others share, as it was sent to an engine.
struct SentPart {
    std::uint64_t key = 0; //!< stands for model, adapter and all parts up to it
    std::int64_t tokens = 0;
    std::string model;
};

//! Sent regularly; also tells the sidecar that the gateway lives.
struct DemandUpdate {
    std::vector<ModelDemand> models;
    std::vector<SentPart> sentParts; //!< since the last message, in order
    double reading = 0;              //!< part of the engine's time that this gateway's prompts take
    int gateways = 1;                //!< as many as this one knows to be about
};

//! What moves all the time at an engine.
struct EngineLoad {
    bool orderInProgress = false; //!< an order is under way
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t prefilling = 0;
    bool hasAdapterCapacity =
        true; //!< another adapter could be loaded without waiting for requests to end
    int latePausesPercent = 0;       //!< part of its recent streams that paused too long
    int readingPercent = 0;          //!< part of its time that prompts of all gateways take
    std::int64_t readingWaitMs = 0;  //!< until it could begin with a prompt of the usual size
    int gateways = 0;                //!< connected to this sidecar
    std::vector<SentPart> sentParts; //!< that gateways sent there since the last message
};

//! All that a sidecar tells of its engine: to a new gateway, and when more than the load changes.
struct SidecarReport {
    bool reachable = false;                   //!< the engine answered the sidecar
    std::vector<std::string> formerUpstreams; //!< earlier starts of the engine, as refusals showed
    std::vector<Resident> residents;
    std::vector<std::string> loadingAdapters; //!< adapters on their way: MODEL/NAME
    std::vector<std::string> onDisk;
    std::vector<std::string> inMemory;
    EngineLoad load;
    StartTime born = 0; //!< the engine's present start
};

//! The load alone, regularly: most reports differ in nothing else.
struct LoadReport {
    EngineLoad load;
};

//! Asks a sidecar to pass on what changes in the store, or to cease to.
struct RelayRequest {
    bool wanted = false;
};

//! Which part of the store a message is about.
enum class StorePart {
    upstreams,
    configuration,
    quarantines,
    evacuations,
};

//! What has changed in the store up to a position; sent after every answer of the store.
struct StoreUpdate {
    StorePart part = StorePart::upstreams;
    decide::StorePosition position;
    bool reachable = true;           //!< the store answered; otherwise nothing else is set
    bool whole = false;              //!< all that exists, not only the changes
    std::vector<Upstream> upstreams; //!< added or changed in more than what they hold
    std::vector<std::string> gone;   //!< ids of upstreams, or halls no longer emptied
    std::string configuration;       //!< as the operator wrote it; empty: unchanged
    std::vector<decide::Quarantine> quarantines; //!< added
    std::vector<std::string> emptied;            //!< halls
};

using Message = std::variant<EngineUpdate, EnsureRequest, EnsureAnswer, DemandUpdate, SidecarReport,
                             LoadReport, RelayRequest, StoreUpdate, EnsureCancel,
                             decide::QuotaUpdate, decide::QuotaRequest, decide::QuotaAnswer,
                             decide::QuotaReturn, decide::PoisonEvidence, decide::PoisonCleared,
                             decide::QuarantineUpdate, decide::LimitUpdate, decide::LimitRequest,
                             decide::LimitAnswer, decide::LimitReturn, SpecRequest, SpecAnswer>;

//! What a message is about, in logs and counters.
std::string_view kindOf( const Message& message );

std::string encode( const Message& message );
//! Reads a message; nullopt when it is malformed.
std::optional<Message> decode( std::string_view bytes );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_MESSAGES_HPP_INCLUDED
