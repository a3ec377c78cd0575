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

//! Runs one caller's request on agents until its answer is complete or it has finally failed.
namespace coursehead::entry {

//! A caller's validated request.
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
    Millis firstTokenTarget{ 610 }; //!< the request class's target; bounds the queue wait
    bool repeatable = true;         //!< false: never sent again once it may have run
};

enum class CallEventKind { text, done, failed };

struct CallEvent {
    CallEventKind kind = CallEventKind::failed;
    std::uint64_t offset = 0; //!< of `text`, in bytes from the answer's start
    std::string text;
    peer::RunDone done;
    caller::Failure failure;
};

//! Timeouts and limits of an entry's calls.
struct CallRules {
    Millis acceptTimeout{ 1000 };     //!< for the acknowledgement; the agent is then given up
    Millis queryTimeout{ 1000 };      //!< for an agent's answer to a query
    Millis attemptPollInterval{ 50 }; //!< between polls of another request's attempt
    std::uint32_t attemptPolls = 10;  //!< polls before that attempt is barred
    std::uint32_t maxAttempts = 4;
};

//! Retry budgets by request class, shared by the calls of an entry.
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

//! The components of the entry that calls use.
struct CallContext {
    Directory& directory;
    config::Replica& replica;
    RetryBudgets& budgets;
    metrics::Metrics& metrics;
    const Clock& clock;
    CallRules rules;
};

/**
 * Returns the events of one request: text in order and without gaps, then `done` or `failed`.
 *
 * After a lost stream the entry asks the agent whether it has started the attempt, and the agent
 * bars the attempt if it hasn't. A barred attempt is retried on another agent; a started one is
 * joined. If the agent doesn't answer, a repeatable request is sent to another agent with the text
 * received so far; any other request fails with outcome `unknown`.
 */
class Call {
public:
    Call( CallContext& context, CallRequest request );
    //! Follows an existing session from an offset.
    Call( CallContext& context, CallRequest request, std::string_view session,
          std::uint64_t offset );

    CallEvent next();
    //! The session's name for a resume: the request id and the VM that holds the answer's text.
    std::string session() const;

private:
    using MaybeEvent = std::optional<CallEvent>;

    MaybeEvent dispatch();
    MaybeEvent sendAttempt( const Choice& choice );
    MaybeEvent claimKey( const Choice& choice );
    MaybeEvent handleClaimAnswer( const peer::ClaimAnswer& answer, const Choice& choice );
    CallEvent replay( const peer::ClaimAnswer& answer );
    MaybeEvent handleKeyBusy( const peer::ClaimHolder& holder, const Choice& choice );
    void resolveKey( peer::ClaimOutcome outcome, const peer::RunDone* done );
    peer::ClaimRequest claimRequest( peer::ClaimStep step, const Choice& choice ) const;
    std::optional<peer::ClaimAnswer> queryKeyOwner( const peer::ClaimRequest& request );

    std::optional<CallEvent> handleMessage( const peer::Message& message );
    std::optional<CallEvent> handleChunk( const peer::RunChunk& chunk );
    CallEvent handleDone( peer::RunDone done );
    MaybeEvent handleRefusal( const peer::RunRefused& refusal );
    MaybeEvent handleFailure( const peer::RunFailed& failure );
    MaybeEvent handleStreamLost();
    MaybeEvent join( const std::string& vm );
    MaybeEvent retryOnOtherAgent( std::string_view why );

    peer::AttemptState barAttempt( std::string_view vm, std::string_view incarnation,
                                   const std::string& requestId, std::uint32_t attempt,
                                   bool askOnly = false );
    peer::AttemptState holderState( const peer::ClaimHolder& holder );
    std::optional<peer::Message> queryAgent( std::string_view vm, std::string_view path,
                                             const peer::Message& request );
    CallEvent fail( caller::Reason reason, caller::Outcome outcome, std::string message,
                    Millis retryAfter );
    CallEvent failNotRun( caller::Reason reason, std::string message, Millis retryAfter );
    caller::Outcome currentOutcome() const;
    MonoTime receiveDeadline() const;

    CallContext& m_context;
    CallRequest m_request;
    std::string m_answerId; //!< the request id expected in answers
    std::shared_ptr<peer::Stream> m_stream;
    std::shared_ptr<void> m_inFlightHold; //!< counts the request at the current attempt's agent
    std::string m_vm;
    std::string m_incarnation;
    std::vector<std::string> m_excluded;
    std::uint32_t m_attempt = 0;
    bool m_accepted = false; //!< the agent has acknowledged the current attempt
    bool m_joined = false;   //!< following a session instead of running an attempt
    bool m_keyHeld = false;
    bool m_mayHaveRun = false;          //!< an attempt may have run, its outcome is unknown
    bool m_firstAttemptCounted = false; //!< the retry budget has counted the first attempt
    std::string m_text;                 //!< all text so far, sent along with a retry
    std::uint64_t m_deliveredBytes = 0; //!< bytes delivered to the caller
    caller::Failure m_lastRefusal;
    Millis m_minRetryAfter{ 0 };
    MonoTime m_sentAt;
    std::optional<peer::RunDone> m_replay; //!< final event of a replayed answer
};

} // namespace coursehead::entry

#endif // COURSEHEAD_ENTRY_CALL_HPP_INCLUDED
