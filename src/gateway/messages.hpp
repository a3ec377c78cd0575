// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_MESSAGES_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_MESSAGES_HPP_INCLUDED

#include "decide/engine_speed.hpp"
#include "decide/limit.hpp"
#include "decide/poison.hpp"
#include "decide/prompt_refusal.hpp"
#include "decide/quota.hpp"
#include "decide/stream_origin.hpp"
#include "gateway/model.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! Messages between gateways and the sidecars beside engines, encoded as CBOR. Fields are only
//! added at the end of a message: a reader ignores fields that it does not know, and gives missing
//! ones their defaults, so that processes of different versions understand each other.
namespace coursehead::gateway {

//! Identifies an engine description: a hash of its content.
using EngineSpecKey = std::uint64_t;

//! Introduces the gateway to a sidecar and names the engine beside that sidecar. It is the first
//! message on a connection, and is sent again when any field changes.
struct EngineUpdate {
    std::string gateway;
    std::uint64_t configVersion = 0;
    std::string upstreamId;       //!< current start of the engine
    StartTime born = 0;           //!< when that start took place
    std::int64_t gapTargetMs = 0; //!< longest pause in a stream that is not late; 0: none is set
    EngineSpecKey spec = 0;       //!< key of the engine's description
    std::string hall;             //!< of the gateway
};

//! A sidecar's request for the engine description that a gateway has named by its key.
struct SpecRequest {
    EngineSpecKey key = 0;
};

//! The description of an engine, with every model of its service. It is the same for all engines of
//! a service, and its size grows with the number of models.
struct SpecAnswer {
    EngineSpecKey key = 0;
    EngineSpec engine;
};

//! Urgency of a request that states none.
inline constexpr int defaultUrgency = 5;

//! Part of a prompt for which a gateway requests admission; parts are in the order of the prompt.
struct PendingPromptPart {
    std::uint64_t key = 0; //!< identifies model, adapter and all parts up to and including this one
    std::int64_t tokens = 0;
};

//! A prompt that a gateway wants to send to an engine.
struct PendingPrompt {
    std::int64_t tokens = 0; //!< of the whole prompt
    double msPerToken = 0;   //!< prompt reading time of the model, as the gateway measured it
    //! Prompt reading has to start within this time for the answer to be on time.
    std::int64_t goalMs = 0;
    bool mayStartLate = false; //!< may start after the goal, within the request's limit
    std::vector<PendingPromptPart> parts;
    std::string route;               //!< for counters
    std::string organisation;        //!< empty: the request belongs to none
    int urgency = defaultUrgency;    //!< 0 (most urgent) to 9, as sent to the engine
    std::int64_t maxTokens = 0;      //!< tokens that the answer may have
    decide::Fingerprint content = 0; //!< of the request's content, the same for each retry; 0: none
    //! Another engine, as IP:PORT, that probably has more of the prompt cached; empty: none.
    std::string cachedAt;
    std::int64_t cachedTokens = 0;  //!< tokens of the prompt that the other engine has cached
    bool cachedOtherHall = false;   //!< the other engine is in another hall than the asked one
    std::int64_t cachedReadyMs = 0; //!< until the other engine should have read those tokens
};

//! Requests that a model or adapter is made ready, and an admission permit for a prompt after that.
struct EnsureRequest {
    std::uint64_t number = 0; //!< chosen by the gateway; the answer repeats it
    std::string upstreamId;
    std::string model;
    std::string adapter;      //!< empty: the model alone
    bool fromStore = false;   //!< the weight store may be used
    std::int64_t limitMs = 0; //!< time after which the gateway stops waiting for the answer
    PendingPrompt prompt;     //!< without tokens: there is no prompt to send
    std::int64_t coldMs = 0;  //!< remaining cold time of the engine, as the gateway knows it
    double coldPerS = 0;      //!< prompts per second for the engine while it is cold; 0: no limit
};

//! Withdraws an EnsureRequest, or gives back the admission permit that its answer granted.
struct EnsureCancel {
    std::uint64_t number = 0;
};

enum class EnsureOutcome {
    ready,
    noCapacity,       //!< every model that could be unloaded for it is in higher demand
    needsWeightStore, //!< only the weight store holds it, and the request may not use the store
    failed,           //!< the engine did not accept the order, or is unreachable
    tooLate,          //!< the model is ready, but the engine can't read the prompt in time
};

//! Name of the outcome in logs.
std::string_view nameOf( EnsureOutcome outcome );

struct EnsureAnswer {
    std::uint64_t number = 0;
    EnsureOutcome outcome = EnsureOutcome::failed;
    std::int64_t waitMs = 0; //!< time until the engine could start on another prompt like this one
    double workMs = 0;       //!< reading time of the prompt, less the parts cached by the engine
    //! Prompt reading, in milliseconds per second, that all gateways request of the model;
    //! negative: unknown.
    double modelWorkPerS = -1;
    decide::PromptRefusal refusal = decide::PromptRefusal::none; //!< why the prompt is not admitted
    //! A place in the queue is held for the same content from `returnInMs` on, for this long; 0:
    //! none is.
    std::int64_t placeHeldMs = 0;
    //! The engine should fetch the prompt's cached parts from the engine that the request named.
    bool fetchParts = false;
    //! Time until the prompt's place opens. It is not less than `waitMs`, since other places may
    //! open before it.
    std::int64_t returnInMs = 0;
    StartTime born = 0; //!< start of the engine that the sidecar last heard from
};

//! Demand for a model, as one gateway measures it.
struct ModelDemand {
    std::string model;
    double perS = 0;     //!< requests per second, smoothed
    double workPerS = 0; //!< milliseconds of prompt reading per second, smoothed
    int copies = 0;      //!< number of upstreams that hold the model
    int running = 0;     //!< this gateway's requests in flight for the model at this engine
    //! Adapters used by requests that are in flight or were sent since the last message.
    std::vector<std::string> adaptersUsed;
};

//! Prompt part that several prompts share, as it was sent to an engine.
struct SentPart {
    std::uint64_t key = 0; //!< identifies model, adapter and all parts up to and including this one
    std::int64_t tokens = 0;
    std::string model;
};

//! A gateway's demand for the models of an engine. Sent at a fixed interval, so that it also shows
//! the sidecar that the gateway is alive.
struct DemandUpdate {
    std::vector<ModelDemand> models;
    std::vector<SentPart> sentParts; //!< parts sent since the last message, in order
    double readingShare = 0; //!< share of the engine's time spent on reading this gateway's prompts
    int gateways = 1;        //!< number of gateways that this one knows of, itself included
    bool atCapacity = false; //!< this gateway has more work than it can carry
};

//! Gateways of one hall that are connected to a sidecar.
struct HallGateways {
    std::string hall;
    int connected = 0;
    int atCapacity = 0; //!< of these, gateways with more work than they can carry

    bool operator==( const HallGateways& ) const = default;
};

//! Load figures of an engine, which change all the time.
struct EngineLoad {
    bool orderInProgress = false;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t prefilling = 0;
    //! Another adapter could be loaded without waiting for running requests.
    bool hasAdapterCapacity = true;
    int latePausesPercent = 0; //!< recent streams with a pause above the gap target
    int readingPercent = 0;    //!< engine time spent on reading prompts of all gateways
    //! Time until the engine could start on a prompt of the usual size.
    std::int64_t readingWaitMs = 0;
    int gateways = 0; //!< number connected to this sidecar
    //! Parts that gateways sent to the engine since the last message.
    std::vector<SentPart> sentParts;
    decide::EngineSpeed speed;    //!< measured by the sidecar
    int freePlaces = -1;          //!< requests that can start now; negative: unknown
    std::int64_t freeTokens = -1; //!< cache tokens not taken by requests; negative: unknown
    int promptsWaiting = 0;       //!< in the sidecar's queue
    //! Until the order in progress is done, by the load time of its model; negative: unknown.
    std::int64_t orderLeftMs = -1;
    std::vector<HallGateways> gatewayHalls; //!< empty: as last told
};

//! A sidecar's complete report on its engine. Sent to a gateway that connects, and when anything
//! but the load changes.
struct SidecarReport {
    bool reachable = false; //!< the engine answers the sidecar
    //! Earlier starts of the engine, known from its refusals.
    std::vector<std::string> formerUpstreams;
    std::vector<Resident> residents;
    std::vector<std::string> loadingAdapters; //!< as MODEL/NAME
    std::vector<std::string> onDisk;
    std::vector<std::string> inMemory;
    EngineLoad load;
    StartTime born = 0; //!< current start of the engine
};

//! The load alone, sent at a fixed interval, since most reports differ in nothing else.
struct LoadReport {
    EngineLoad load;
};

//! Asks a sidecar to start or to stop relaying the store's changes.
struct RelayRequest {
    bool wanted = false;
};

//! The part of the store that a message is about.
enum class StorePart {
    upstreams,
    configuration,
    quarantines,
    evacuations,
};

//! Changes in the store up to a position; a relay sends it after every answer of the store.
struct StoreUpdate {
    StorePart part = StorePart::upstreams;
    decide::StorePosition position;
    bool reachable = true; //!< the store answered; if not, only part and position are set
    bool whole = false;    //!< a snapshot of the part, not only its changes
    //! Added, or changed in more than their adapters or remaining cold time.
    std::vector<Upstream> upstreams;
    //! Ids of removed upstreams, or halls that are no longer evacuated.
    std::vector<std::string> gone;
    std::string configuration;                   //!< the operator's text; empty: unchanged
    std::vector<decide::Quarantine> quarantines; //!< added
    std::vector<std::string> emptied;            //!< halls under evacuation
};

using Message =
    std::variant<EngineUpdate, EnsureRequest, EnsureAnswer, DemandUpdate, SidecarReport, LoadReport,
                 RelayRequest, StoreUpdate, EnsureCancel, decide::QuotaUpdate, decide::QuotaRequest,
                 decide::QuotaAnswer, decide::QuotaReturn, decide::PoisonEvidence,
                 decide::PoisonCleared, decide::QuarantineUpdate, decide::LimitUpdate,
                 decide::LimitRequest, decide::LimitAnswer, decide::LimitReturn, SpecRequest,
                 SpecAnswer, decide::OriginUpdate, decide::OriginRequest, decide::OriginAnswer>;

//! Name of the message's type in logs and counters.
std::string_view kindOf( const Message& message );

std::string encode( const Message& message );
//! Decodes a message; nullopt when it is malformed.
std::optional<Message> decode( std::string_view bytes );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_MESSAGES_HPP_INCLUDED
