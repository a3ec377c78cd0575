// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_MESSAGES_HPP_INCLUDED
#define COURSEHEAD_PEER_MESSAGES_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! Messages between entries and agents. Each stream path carries the messages named beside it.
namespace coursehead::peer {

inline constexpr const char* runPath = "/run";     //!< RunRequest → RunAccepted, RunChunk…
inline constexpr const char* joinPath = "/join";   //!< JoinRequest → RunChunk…, RunDone
inline constexpr const char* barPath = "/bar";     //!< BarRequest → BarAnswer
inline constexpr const char* claimPath = "/claim"; //!< ClaimRequest → ClaimAnswer
inline constexpr const char* controlPath =
    "/control"; //!< Hello, AgentStatus, LoadReport, Config…, PlanTargets

enum class TargetKind { model, service };

//! The model or service that a request is for.
struct Target {
    TargetKind kind = TargetKind::model;
    std::string name;
    std::string adapter; //!< empty: none
};

//! Asks an agent to run a request on its upstream.
struct RunRequest {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string incarnation; //!< the agent process to which the entry addresses the request
    std::string caller;
    std::string requestClass;
    int priority = 0;
    Target target;
    std::int64_t deadlineMs = 0; //!< time left, in milliseconds
    std::int64_t patienceMs = 0; //!< longest useful wait for a free slot, in milliseconds
    std::string method;          //!< services: the HTTP method
    std::string path; //!< services: the path after the service's name; models: the API path
    std::string contentType;
    std::string body;
    std::string key;    //!< idempotency key; empty when the request may be repeated
    std::string prefix; //!< text that the caller already has; the engine continues after it
    bool mayLoad = false;
    std::uint64_t revision = 0;
};

//! The agent has accepted the request. From then on the request may have run.
struct RunAccepted {
    std::string requestId;
    std::uint32_t attempt = 0;
};

//! The agent did not and will not start this attempt.
struct RunRefused {
    std::string requestId;
    std::string reason;
    std::int64_t retryAfterMs = 0;
};

//! Part of the answer's text. Offsets count bytes from the start of the whole answer.
struct RunChunk {
    std::string requestId;
    std::uint64_t offset = 0;
    std::string text;
};

//! The answer is complete.
struct RunDone {
    std::string requestId;
    std::uint64_t length = 0; //!< total bytes of text
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    int status = 200; //!< services: the HTTP status
    std::string contentType;
    std::string body; //!< services: the HTTP body
};

//! The attempt ended without a complete answer.
struct RunFailed {
    std::string requestId;
    std::string reason;
    bool mayHaveRun = true;
};

//! Requests a session's text from an offset on, and all further text until the session ends.
struct JoinRequest {
    std::string requestId;
    std::uint64_t offset = 0;
};

//! Asks whether an attempt was started, and bars the agent from starting it if it was not.
struct BarRequest {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string incarnation;
    bool askOnly = false; //!< return the attempt's state without barring it
};

enum class AttemptState {
    unknown, //!< this process can't tell whether the attempt was started
    unseen,  //!< the attempt has not arrived; sent only in answer to askOnly
    barred,  //!< the attempt was never started and never will be
    started,
    finished,
};

struct BarAnswer {
    std::string requestId;
    AttemptState state = AttemptState::unknown;
};

//! The request and the process that work on a claimed key.
struct ClaimHolder {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string executor; //!< the agent's VM, empty before the first dispatch
    std::string incarnation;
};

enum class ClaimStep {
    claim,   //!< claim the key for `holder`
    move,    //!< move the same request to another executor; its previous attempt was barred
    resolve, //!< record the request's outcome
};

enum class ClaimOutcome { notRun, finished, unknown };

struct ClaimRequest {
    ClaimStep step = ClaimStep::claim;
    std::string key;
    std::string fingerprint; //!< hash of the request's content
    ClaimHolder holder;
    ClaimOutcome outcome = ClaimOutcome::unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimVerdict {
    granted,
    busy,            //!< another request holds the key; see `holder`
    finished,        //!< the request ran; its answer is attached
    unknown,         //!< the request may have run in the past; the owner can't tell
    notOwner,        //!< this agent does not own the key's slot
    mismatch,        //!< the key was used for a different request
    keyTimeInFuture, //!< the key's time lies in the future
};

struct ClaimAnswer {
    ClaimVerdict verdict = ClaimVerdict::unknown;
    ClaimHolder holder;
    int status = 0;
    std::string contentType;
    std::string body;
};

//! Opens a control stream.
struct Hello {
    std::string vm;
    std::uint64_t revision = 0;
};

//! A model, adapter or service that an agent can run now or will be able to run soon.
struct ResidentItem {
    std::string kind; //!< model, adapter or service
    std::string name;
    std::string version;
    bool ready = false;
};

//! Number of requests for a model that an agent has received since its last report.
struct ModelDemand {
    std::string model;
    std::uint32_t arrivals = 0;
};

//! The figures that change with every request; sent between full reports.
struct LoadReport {
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t revision = 0;
    std::vector<ModelDemand> demand;
};

//! An agent's full report; sent when more than its load has changed, and at intervals.
struct AgentStatus {
    std::string vm;
    std::string hall;
    std::string region;
    std::string upstream;
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool mayOrder = false; //!< the agent has an epoch and gives orders to its engine
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;  //!< most requests that run at once
    std::uint32_t serviceMs = 0; //!< smoothed time for which a request occupies a slot
    std::uint32_t accelerators = 0;
    std::uint64_t freeBytes = 0; //!< largest amount of free memory on one accelerator
    std::vector<ResidentItem> items;
    std::vector<ModelDemand> demand;
    std::uint64_t revision = 0;
};

//! Requests the configuration committed after this revision.
struct ConfigRequest {
    std::uint64_t revision = 0;
};

//! Committed configuration, sent between peers as the head object's JSON text.
struct ConfigUpdate {
    std::uint64_t revision = 0;
    std::string head;     //!< the head object, JSON
    std::string snapshot; //!< full state, JSON; empty when the head's tail suffices
};

//! The models that an agent should hold, sent by the planner that holds `epoch`.
struct PlanTargets {
    std::uint64_t epoch = 0;
    std::string planner;
    std::uint64_t sequence = 0;
    std::vector<ResidentItem> items;
    std::vector<std::string> spares; //!< models among `items` that have copies elsewhere
};

using Message = std::variant<RunRequest, RunAccepted, RunRefused, RunChunk, RunDone, RunFailed,
                             JoinRequest, BarRequest, BarAnswer, ClaimRequest, ClaimAnswer, Hello,
                             AgentStatus, LoadReport, ConfigRequest, ConfigUpdate, PlanTargets>;

//! Why bytes could not be decoded as a message.
struct CodecError {
    std::string detail;
};

//! A decoded message, or the error when `ok` is false.
struct Decoded {
    bool ok = false;
    Message message;
    CodecError error;
};

//! Encodes a message as CBOR: an array of the type's index in Message and a map of its fields.
std::string encode( const Message& message );
//! Decodes a message. Limits the nesting depth, and never throws.
Decoded decode( std::string_view bytes );

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_MESSAGES_HPP_INCLUDED
