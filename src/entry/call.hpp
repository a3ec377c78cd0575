// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ENTRY_CALL_HPP_INCLUDED
#define COURSEHEAD_ENTRY_CALL_HPP_INCLUDED

#include "coursehead/caller/failure.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "coursehead/router/budget.hpp"
#include "entry/directory.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

//! One caller's request on its way through agents, until its whole answer or its final failure.
namespace coursehead::entry {

//! A request as it came from a caller, checked.
struct CallRequest {
    std::string requestId;
    std::string caller;
    std::string requestClass;
    int priority = 0;
    peer::Target target;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string key; //!< idempotency key; a request with one runs at most once
    std::uint64_t prefixHash = 0;
    MonoTime deadline;
    Millis patience{ 610 }; //!< its class's target for the first token
    bool repeatable = true; //!< false: it is never sent again once it may have run
};

enum class CallEventKind { text, done, failed };

struct CallEvent {
    CallEventKind kind = CallEventKind::failed;
    std::uint64_t offset = 0; //!< of `text`, in bytes from the answer's start
    std::string text;
    peer::RunDone done;
    caller::Failure failure;
};

//! Bounds of waiting at an entry.
struct CallRules {
    Millis acceptPatience{ 1000 }; //!< an agent that does not acknowledge within this is given up
    Millis askPatience{ 1000 };    //!< waiting for an agent to answer a question
    Millis lookPause{ 50 };        //!< between looks for another request's attempt
    std::uint32_t looks = 10;      //!< before that attempt is barred
    std::uint32_t maxAttempts = 4;
};

//! Retry budgets by class, shared by the calls of an entry.
class RetryBudgets {
public:
    explicit RetryBudgets( double share ) : m_share( share ) {}
    void earn( const std::string& requestClass );
    bool spend( const std::string& requestClass );

private:
    std::mutex m_mutex;
    double m_share;
    std::map<std::string, router::RetryBudget> m_budgets;
};

//! What calls need of their entry.
struct CallContext {
    Directory& directory;
    config::Replica& replica;
    RetryBudgets& budgets;
    metrics::Metrics& metrics;
    const Clock& clock;
    CallRules rules;
};

/**
 * Pulls the events of one request: text in order and without gaps, then `done` or `failed`.
 *
 * A broken way to an agent is settled by asking that agent whether it started the attempt, which
 * bars it if not: a barred attempt may go elsewhere, a started one is joined. When no answer can be
 * had, a repeatable request goes elsewhere, carrying the text so far; any other one fails with
 * outcome `unknown`.
 */
class Call {
public:
    Call( CallContext& context, CallRequest request );
    //! A call that follows a running session from an offset.
    Call( CallContext& context, CallRequest request, std::string_view session,
          std::uint64_t offset );

    CallEvent next();
    //! The session to resume by: request id and the VM that holds its text.
    std::string session() const;

private:
    using Problem = std::optional<CallEvent>;

    Problem dispatch();
    Problem sendAttempt( const Choice& choice );
    Problem takeKey( const Choice& choice );
    Problem onClaimed( const peer::ClaimAnswer& answer, const Choice& choice );
    CallEvent replay( const peer::ClaimAnswer& answer );
    Problem onBusy( const peer::ClaimHolder& holder, const Choice& choice );
    void resolveKey( peer::ClaimOutcome outcome, const peer::RunDone* done );
    peer::ClaimRequest claimRequest( peer::ClaimStep step, const Choice& choice ) const;
    std::optional<peer::ClaimAnswer> askOwner( const peer::ClaimRequest& request );

    std::optional<CallEvent> take( const peer::Message& message );
    std::optional<CallEvent> takeChunk( const peer::RunChunk& chunk );
    CallEvent takeDone( peer::RunDone done );
    Problem takeRefusal( const peer::RunRefused& refusal );
    Problem takeFailure( const peer::RunFailed& failure );
    Problem onBroken();
    Problem join( const std::string& vm );
    Problem goElsewhere( std::string_view why );

    peer::AttemptState barAttempt( std::string_view vm, std::string_view incarnation,
                                   const std::string& requestId, std::uint32_t attempt,
                                   bool askOnly = false );
    peer::AttemptState stateOf( const peer::ClaimHolder& holder );
    std::optional<peer::Message> ask( std::string_view vm, std::string_view path,
                                      const peer::Message& question );
    CallEvent fail( caller::Reason reason, caller::Outcome outcome, std::string message,
                    Millis retryAfter );
    CallEvent failNotRun( caller::Reason reason, std::string message, Millis retryAfter );
    caller::Outcome outcomeNow() const;
    MonoTime waitLimit() const;

    CallContext& m_context;
    CallRequest m_request;
    std::string m_answerId; //!< request id that the answer has to carry
    std::shared_ptr<peer::Stream> m_stream;
    std::shared_ptr<void> m_place; //!< at the agent that has the current attempt
    std::string m_vm;
    std::string m_incarnation;
    std::vector<std::string> m_excluded;
    std::uint32_t m_attempt = 0;
    bool m_accepted = false; //!< the current attempt was acknowledged
    bool m_joined = false;   //!< following a session instead of running an attempt
    bool m_keyHeld = false;
    bool m_mayHaveRun = false; //!< some attempt may have run without a known outcome
    bool m_started = false;    //!< counted as a first attempt
    std::string m_text;        //!< all text so far, for going on elsewhere
    std::uint64_t m_have = 0;  //!< bytes handed over
    caller::Failure m_lastRefusal;
    Millis m_soonest{ 0 };
    MonoTime m_sentAt;
    std::optional<peer::RunDone> m_replay; //!< ends an answer that the key's owner had kept
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_CALL_HPP_INCLUDED
