// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_MESSAGES_HPP_INCLUDED
#define COURSEHEAD_PEER_MESSAGES_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! The messages between entries and agents. Each stream path carries the messages named beside it.
namespace coursehead::peer {

inline constexpr const char* runPath = "/run";     //!< RunRequest → RunAccepted, RunChunk…
inline constexpr const char* joinPath = "/join";   //!< JoinRequest → RunChunk…, RunDone
inline constexpr const char* barPath = "/bar";     //!< BarRequest → BarAnswer
inline constexpr const char* claimPath = "/claim"; //!< ClaimRequest → ClaimAnswer
inline constexpr const char* controlPath =
    "/control"; //!< Hello, AgentStatus, LoadReport, Config…, PlanTargets

enum class TargetKind { model, service };

//! What a request asks for.
struct Target {
    TargetKind kind = TargetKind::model;
    std::string name;
    std::string adapter; //!< empty: none
};

//! Asks an agent to run a request on its upstream.
struct RunRequest {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string incarnation; //!< the agent process that the entry means
    std::string caller;
    std::string requestClass;
    int priority = 0;
    Target target;
    std::int64_t deadlineMs = 0; //!< time left, in milliseconds
    std::int64_t patienceMs = 0; //!< the longest useful wait for a place, in milliseconds
    std::string method;          //!< services: the HTTP method
    std::string path; //!< services: the path behind the service's name; models: the API path
    std::string contentType;
    std::string body;
    std::string key;    //!< idempotency key, empty when repeatable
    std::string prefix; //!< text that the caller already has; the engine continues behind it
    bool mayLoad = false;
    std::uint64_t revision = 0;
};

//! Receipt: the agent holds the request. From here on it may have run.
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

//! Part of the answer's text. Offsets count bytes from the answer's very start.
struct RunChunk {
    std::string requestId;
    std::uint64_t offset = 0;
    std::string text;
};

//! The answer is whole.
struct RunDone {
    std::string requestId;
    std::uint64_t length = 0; //!< bytes of text in all
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    int status = 200; //!< services: the HTTP status
    std::string contentType;
    std::string body; //!< services: the HTTP body
};

//! The attempt ended without a whole answer.
struct RunFailed {
    std::string requestId;
    std::string reason;
    bool mayHaveRun = true;
};

//! Reads a session's text again from an offset and follows it to its end.
struct JoinRequest {
    std::string requestId;
    std::uint64_t offset = 0;
};

//! "Say whether this attempt was started; if it was not, never start it."
struct BarRequest {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string incarnation;
    bool askOnly = false; //!< say what is known, and bar nothing
};

enum class AttemptState {
    unknown, //!< this process can't tell
    unseen,  //!< it has not arrived; only answered to askOnly
    barred,  //!< never started, and never will be
    started,
    finished,
};

struct BarAnswer {
    std::string requestId;
    AttemptState state = AttemptState::unknown;
};

//! Who works on a claimed key.
struct ClaimHolder {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string executor; //!< the agent's VM, empty before the first dispatch
    std::string incarnation;
};

enum class ClaimStep {
    claim,   //!< take the key for `holder`
    move,    //!< the same request goes to another executor; `previous` was barred
    resolve, //!< record how it ended
};

enum class ClaimOutcome { notRun, finished, unknown };

struct ClaimRequest {
    ClaimStep step = ClaimStep::claim;
    std::string key;
    std::string fingerprint; //!< hash of what the request asks for
    ClaimHolder holder;
    ClaimOutcome outcome = ClaimOutcome::unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimVerdict {
    granted,
    busy,     //!< another request holds it; see `holder`
    finished, //!< it ran; the answer is attached
    unknown,  //!< it may have run in the past; the owner cannot tell
    notOwner, //!< this agent does not own the key's slot
    mismatch, //!< the key was used for a different request
    early,    //!< the key's time lies in the future
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

//! A model, adapter or service that an agent can run now or is about to.
struct ResidentItem {
    std::string kind; //!< model, adapter or service
    std::string name;
    std::string version;
    bool ready = false;
};

//! Requests for a model that an agent saw since its last report.
struct ModelDemand {
    std::string model;
    std::uint32_t arrivals = 0;
};

//! What changes with every request; sent between full reports.
struct LoadReport {
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t revision = 0;
    std::vector<ModelDemand> demand;
};

//! An agent's full report; sent when more than its load has changed, and now and then.
struct AgentStatus {
    std::string vm;
    std::string hall;
    std::string region;
    std::string upstream;
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool mayOrder = false; //!< it has an epoch and gives orders
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;  //!< requests run at once
    std::uint32_t serviceMs = 0; //!< smoothed time that a request holds its place
    std::uint32_t accelerators = 0;
    std::uint64_t freeBytes = 0; //!< the largest free room on one accelerator
    std::vector<ResidentItem> items;
    std::vector<ModelDemand> demand;
    std::uint64_t revision = 0;
};

//! "Send me what lies behind this revision."
struct ConfigAsk {
    std::uint64_t revision = 0;
};

//! Committed configuration, passed between peers as the head object's JSON text.
struct ConfigNews {
    std::uint64_t revision = 0;
    std::string head;     //!< the head object, JSON
    std::string snapshot; //!< full state, JSON; empty when the head's tail is enough
};

//! The models an agent should hold, from the planner that holds `epoch`.
struct PlanTargets {
    std::uint64_t epoch = 0;
    std::string planner;
    std::uint64_t sequence = 0;
    std::vector<ResidentItem> items;
    std::vector<std::string> spares; //!< models of these that have copies elsewhere
};

using Message = std::variant<RunRequest, RunAccepted, RunRefused, RunChunk, RunDone, RunFailed,
                             JoinRequest, BarRequest, BarAnswer, ClaimRequest, ClaimAnswer, Hello,
                             AgentStatus, LoadReport, ConfigAsk, ConfigNews, PlanTargets>;

//! Why bytes are not a message.
struct CodecError {
    std::string detail;
};

//! A decoded message, or the error when `ok` is false.
struct Decoded {
    bool ok = false;
    Message message;
    CodecError error;
};

//! The message as CBOR: an array of the type's number and a map of its fields.
std::string encode( const Message& message );
//! Reads a message; bounds nesting, and never throws.
Decoded decode( std::string_view bytes );

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_MESSAGES_HPP_INCLUDED
