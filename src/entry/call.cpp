// SPDX-License-Identifier: BSL-1.0
#include "entry/call.hpp"

#include "coursehead/claims/key.hpp"
#include "coursehead/kernel/log.hpp"

#include <algorithm>
#include <thread>

namespace coursehead::entry {

using caller::Outcome;
using caller::Reason;
using peer::AttemptState;
using peer::ReceiveStatus;

namespace {

constexpr Millis shortRetryAfter{ 1000 };
constexpr Millis coldLoadRetryAfter{ 3000 };

} // namespace

void RetryBudgets::earn( const std::string& requestClass ) {
    const std::lock_guard lock( m_mutex );
    auto& budget = m_budgets[requestClass];
    budget.share = m_share;
    router::earn( budget );
}

bool RetryBudgets::spend( const std::string& requestClass ) {
    const std::lock_guard lock( m_mutex );
    auto& budget = m_budgets[requestClass];
    budget.share = m_share;
    return router::spend( budget );
}

Call::Call( CallContext& context, CallRequest request )
    : m_context( context ), m_request( std::move( request ) ), m_answerId( m_request.requestId ) {}

Call::Call( CallContext& context, CallRequest request, std::string_view session,
            std::uint64_t offset )
    : m_context( context ), m_request( std::move( request ) ), m_joined( true ),
      m_deliveredBytes( offset ) {
    const auto separator = session.rfind( '~' );
    m_answerId = session.substr( 0, separator );
    m_vm =
        separator == std::string_view::npos ? "" : std::string( session.substr( separator + 1 ) );
}

std::string Call::session() const {
    return m_answerId + "~" + m_vm;
}

CallEvent Call::next() {
    if( m_replay ) {
        CallEvent out;
        out.kind = CallEventKind::done;
        out.done = std::move( *m_replay );
        m_replay.reset();
        return out;
    }
    for( ;; ) {
        if( !m_stream ) {
            if( auto event = m_joined ? join( m_vm ) : dispatch() ) {
                return std::move( *event );
            }
            continue;
        }
        const auto got = m_stream->receive( receiveDeadline() );
        std::optional<CallEvent> event;
        if( got.status == ReceiveStatus::frame ) {
            const auto decoded = peer::decode( got.frame );
            event = decoded.ok ? handleMessage( decoded.message ) : handleStreamLost();
        } else if( got.status == ReceiveStatus::refused && !m_accepted && !m_joined ) {
            event = handleRefusal( { m_request.requestId, "no handler is free", 0 } );
        } else if( got.status == ReceiveStatus::timeout &&
                   m_context.clock.now() >= m_request.deadline ) {
            m_mayHaveRun = true;
            event = fail( Reason::deadline, Outcome::unknown, "the deadline passed", Millis{ 0 } );
        } else {
            event = handleStreamLost();
        }
        if( event ) {
            return std::move( *event );
        }
    }
}

MonoTime Call::receiveDeadline() const {
    if( m_accepted || m_joined ) {
        return m_request.deadline;
    }
    return std::min( m_request.deadline, m_sentAt + m_context.rules.acceptTimeout );
}

Outcome Call::currentOutcome() const {
    return m_mayHaveRun || m_deliveredBytes > 0 ? Outcome::unknown : Outcome::notRun;
}

CallEvent Call::fail( Reason reason, Outcome outcome, std::string message, Millis retryAfter ) {
    if( m_keyHeld ) {
        resolveKey( outcome == Outcome::notRun ? peer::ClaimOutcome::notRun
                                               : peer::ClaimOutcome::unknown,
                    nullptr );
    }
    m_stream.reset();
    CallEvent out;
    out.kind = CallEventKind::failed;
    out.failure.reason = reason;
    out.failure.outcome = outcome;
    out.failure.message = std::move( message );
    out.failure.retryAfter = retryAfter;
    return out;
}

CallEvent Call::failNotRun( Reason reason, std::string message, Millis retryAfter ) {
    return fail( reason, currentOutcome(), std::move( message ), retryAfter );
}

Call::MaybeEvent Call::dispatch() {
    const auto now = m_context.clock.now();
    if( now >= m_request.deadline ) {
        return failNotRun( Reason::deadline, "the deadline passed before the request could start",
                           Millis{ 0 } );
    }
    if( m_attempt >= m_context.rules.maxAttempts ) {
        return failNotRun( Reason::retryBudget, "every attempt failed", shortRetryAfter );
    }
    const auto choice =
        m_context.directory.choose( m_request.target, m_request.prefixHash, m_excluded );
    const bool found =
        choice.kind == router::RouteKind::warm || choice.kind == router::RouteKind::cold;
    if( !found ) {
        if( !m_lastRefusal.message.empty() ) {
            return failNotRun( m_lastRefusal.reason, m_lastRefusal.message,
                               std::max( m_minRetryAfter, Millis{ 1 } ) );
        }
        return choice.kind == router::RouteKind::full
                   ? failNotRun( Reason::full, "every agent with the target is full",
                                 shortRetryAfter )
                   : failNotRun( Reason::noCapacity,
                                 "no agent can serve '" + m_request.target.name + "' now",
                                 coldLoadRetryAfter );
    }
    if( m_attempt == 0 && !m_firstAttemptCounted ) {
        m_firstAttemptCounted = true;
        m_context.budgets.earn( m_request.requestClass );
    } else if( !m_context.budgets.spend( m_request.requestClass ) ) {
        m_context.metrics.count( "retries_denied", m_request.requestClass );
        return failNotRun( Reason::retryBudget,
                           "the retry budget of class '" + m_request.requestClass + "' is used up",
                           std::max( m_minRetryAfter, shortRetryAfter ) );
    } else {
        m_context.metrics.count( "retries", m_request.requestClass );
    }
    if( !m_request.key.empty() ) {
        if( auto event = claimKey( choice ) ) {
            return event;
        }
        if( m_joined ) {
            return std::nullopt;
        }
    }
    return sendAttempt( choice );
}

Call::MaybeEvent Call::sendAttempt( const Choice& choice ) {
    if( m_request.key.empty() || !m_keyHeld ) {
        ++m_attempt;
    }
    m_accepted = false;
    m_inFlightHold = choice.inFlightHold;
    m_vm = choice.vm;
    m_incarnation = choice.incarnation;
    m_sentAt = m_context.clock.now();
    auto stream = m_context.directory.open( choice.vm, peer::runPath, m_sentAt );
    if( !stream ) {
        return retryOnOtherAgent( "connection down" );
    }
    peer::RunRequest out;
    out.requestId = m_request.requestId;
    out.attempt = m_attempt;
    out.incarnation = choice.incarnation;
    out.caller = m_request.caller;
    out.requestClass = m_request.requestClass;
    out.priority = m_request.priority;
    out.target = m_request.target;
    out.deadlineMs = remaining( m_sentAt, m_request.deadline ).count();
    out.patienceMs = std::min( out.deadlineMs, m_request.firstTokenTarget.count() );
    out.method = m_request.method;
    out.path = m_request.path;
    out.contentType = m_request.contentType;
    out.body = m_request.body;
    out.key = m_request.key;
    out.prefix = m_text;
    out.mayLoad = choice.kind == router::RouteKind::cold;
    out.revision = m_context.replica.revision();
    if( !stream->send( encode( out ), receiveDeadline() ) ) {
        m_stream = std::move( stream );
        return handleStreamLost();
    }
    stream->finish();
    m_stream = std::move( stream );
    return std::nullopt;
}

// --- keys

peer::ClaimRequest Call::claimRequest( peer::ClaimStep step, const Choice& choice ) const {
    peer::ClaimRequest out;
    out.step = step;
    out.key = m_request.key;
    out.fingerprint = claims::fingerprint( m_request.method, m_request.path, m_request.body );
    out.holder = { m_request.requestId, m_attempt, choice.vm, choice.incarnation };
    return out;
}

std::optional<peer::ClaimAnswer> Call::queryKeyOwner( const peer::ClaimRequest& request ) {
    const auto state = m_context.replica.state();
    const auto owner = claims::ownerOf( *state, claims::slotOf( m_request.key ) );
    auto answer = queryAgent( owner, peer::claimPath, request );
    if( !answer || !std::holds_alternative<peer::ClaimAnswer>( *answer ) ) {
        return std::nullopt;
    }
    return std::get<peer::ClaimAnswer>( std::move( *answer ) );
}

Call::MaybeEvent Call::claimKey( const Choice& choice ) {
    ++m_attempt;
    const auto step = m_keyHeld ? peer::ClaimStep::move : peer::ClaimStep::claim;
    const auto answer = queryKeyOwner( claimRequest( step, choice ) );
    if( !answer ) {
        // If only the answer was lost, the owner holds the key for an attempt that is never sent.
        // The next request with this key bars that attempt and takes over the key.
        return failNotRun( Reason::keyOwner, "the owner of the idempotency key can't be reached",
                           shortRetryAfter );
    }
    return handleClaimAnswer( *answer, choice );
}

Call::MaybeEvent Call::handleClaimAnswer( const peer::ClaimAnswer& answer, const Choice& choice ) {
    switch( answer.verdict ) {
    case peer::ClaimVerdict::granted:
        m_keyHeld = true;
        return std::nullopt;
    case peer::ClaimVerdict::busy:
        return handleKeyBusy( answer.holder, choice );
    case peer::ClaimVerdict::finished:
        return replay( answer );
    case peer::ClaimVerdict::unknown:
        return fail( Reason::keyTooOld, Outcome::unknown,
                     "whether a request with this idempotency key has run can't be told",
                     Millis{ 0 } );
    case peer::ClaimVerdict::notOwner:
        return failNotRun( Reason::keyOwner, "the idempotency key's owner is changing",
                           shortRetryAfter );
    case peer::ClaimVerdict::mismatch:
        return fail( Reason::keyMismatch, Outcome::notRun,
                     "the idempotency key was used for a different request", Millis{ 0 } );
    case peer::ClaimVerdict::keyTimeInFuture:
        return fail( Reason::badRequest, Outcome::notRun,
                     "the idempotency key's time lies in the future", Millis{ 0 } );
    }
    return std::nullopt;
}

//! Replays the answer that the key's owner stored: a service's body unchanged, a model's text as
//! one event.
CallEvent Call::replay( const peer::ClaimAnswer& answer ) {
    CallEvent out;
    out.kind = CallEventKind::done;
    out.done.requestId = answer.holder.requestId;
    out.done.status = answer.status;
    if( m_request.target.kind == peer::TargetKind::service ) {
        out.done.contentType = answer.contentType;
        out.done.body = answer.body;
        return out;
    }
    out.done.finishReason = answer.contentType;
    out.done.length = answer.body.size();
    if( answer.body.empty() ) {
        return out;
    }
    m_replay = std::move( out.done );
    out.kind = CallEventKind::text;
    out.text = answer.body;
    return out;
}

//! Returns the state of the attempt that holds this request's key. The attempt may still be on its
//! way to its agent, so it is polled `attemptPolls` times before it is barred; otherwise two
//! requests could bar each other for ever.
AttemptState Call::holderState( const peer::ClaimHolder& holder ) {
    for( std::uint32_t n = 0; n < m_context.rules.attemptPolls; ++n ) {
        const auto state = barAttempt( holder.executor, holder.incarnation, holder.requestId,
                                       holder.attempt, true );
        if( state != AttemptState::unseen ) {
            return state;
        }
        std::this_thread::sleep_for( m_context.rules.attemptPollInterval );
    }
    return barAttempt( holder.executor, holder.incarnation, holder.requestId, holder.attempt );
}

Call::MaybeEvent Call::handleKeyBusy( const peer::ClaimHolder& holder, const Choice& choice ) {
    const auto state = holderState( holder );
    if( state == AttemptState::started || state == AttemptState::finished ) {
        m_joined = true;
        m_answerId = holder.requestId;
        m_vm = holder.executor;
        m_deliveredBytes = 0;
        return std::nullopt;
    }
    if( state != AttemptState::barred ) {
        return fail( Reason::keyBusy, Outcome::unknown,
                     "another request with this idempotency key is or was in progress",
                     shortRetryAfter );
    }
    m_attempt = holder.attempt + 1;
    const auto moved = queryKeyOwner( claimRequest( peer::ClaimStep::move, choice ) );
    if( moved && moved->verdict == peer::ClaimVerdict::granted ) {
        m_keyHeld = true;
        return std::nullopt;
    }
    return fail( Reason::keyBusy, Outcome::unknown,
                 "another request with this idempotency key is in progress", shortRetryAfter );
}

void Call::resolveKey( peer::ClaimOutcome outcome, const peer::RunDone* done ) {
    m_keyHeld = false;
    auto request = claimRequest( peer::ClaimStep::resolve, { {}, m_vm, m_incarnation, {} } );
    request.outcome = outcome;
    if( done != nullptr ) {
        request.status = done->status;
        const bool service = m_request.target.kind == peer::TargetKind::service;
        request.contentType = service ? done->contentType : done->finishReason;
        request.body = service ? done->body : m_text;
    }
    queryKeyOwner( request );
}

// --- messages from agents

std::optional<CallEvent> Call::handleMessage( const peer::Message& message ) {
    if( std::holds_alternative<peer::RunAccepted>( message ) ) {
        m_accepted = true;
        return std::nullopt;
    }
    if( const auto* chunk = std::get_if<peer::RunChunk>( &message ) ) {
        return handleChunk( *chunk );
    }
    if( const auto* done = std::get_if<peer::RunDone>( &message ) ) {
        if( done->requestId != m_answerId ) {
            m_context.metrics.count( "crossed_answers_dropped" );
            return std::nullopt;
        }
        return done->length == m_deliveredBytes ? handleDone( *done ) : handleStreamLost();
    }
    if( const auto* refusal = std::get_if<peer::RunRefused>( &message ) ) {
        return handleRefusal( *refusal );
    }
    if( const auto* failure = std::get_if<peer::RunFailed>( &message ) ) {
        return handleFailure( *failure );
    }
    return handleStreamLost();
}

std::optional<CallEvent> Call::handleChunk( const peer::RunChunk& chunk ) {
    if( chunk.requestId != m_answerId ) {
        m_context.metrics.count( "crossed_answers_dropped" );
        return std::nullopt;
    }
    m_accepted = true;
    if( chunk.offset > m_deliveredBytes ) {
        return handleStreamLost();
    }
    const auto overlap = m_deliveredBytes - chunk.offset;
    if( overlap >= chunk.text.size() ) {
        return std::nullopt;
    }
    CallEvent out;
    out.kind = CallEventKind::text;
    out.offset = m_deliveredBytes;
    out.text = chunk.text.substr( overlap );
    m_text += out.text;
    m_deliveredBytes += out.text.size();
    return out;
}

CallEvent Call::handleDone( peer::RunDone done ) {
    if( m_keyHeld ) {
        resolveKey( peer::ClaimOutcome::finished, &done );
    }
    m_stream.reset();
    CallEvent out;
    out.kind = CallEventKind::done;
    out.done = std::move( done );
    return out;
}

Call::MaybeEvent Call::handleRefusal( const peer::RunRefused& refusal ) {
    m_stream.reset();
    if( m_joined ) {
        return fail( Reason::notFound, Outcome::unknown, "no such session: " + refusal.reason,
                     Millis{ 0 } );
    }
    m_lastRefusal.reason = refusal.reason == "draining" ? Reason::noCapacity : Reason::full;
    m_lastRefusal.message = refusal.reason;
    const Millis after{ std::max<std::int64_t>( refusal.retryAfterMs, 1 ) };
    m_minRetryAfter = m_minRetryAfter.count() == 0 ? after : std::min( m_minRetryAfter, after );
    return retryOnOtherAgent( refusal.reason );
}

Call::MaybeEvent Call::handleFailure( const peer::RunFailed& failure ) {
    m_stream.reset();
    if( !failure.mayHaveRun ) {
        m_lastRefusal = { Reason::upstreamRefused, Outcome::notRun, failure.reason, {}, 0 };
        return retryOnOtherAgent( failure.reason );
    }
    if( m_request.repeatable && !m_joined ) {
        m_mayHaveRun = true;
        return retryOnOtherAgent( failure.reason );
    }
    return fail( Reason::lostUpstream, Outcome::unknown, failure.reason, Millis{ 0 } );
}

Call::MaybeEvent Call::retryOnOtherAgent( std::string_view why ) {
    log::info( "attempt_moves_on", { { "request", m_request.requestId },
                                     { "attempt", static_cast<std::int64_t>( m_attempt ) },
                                     { "from", m_vm },
                                     { "reason", why } } );
    m_stream.reset();
    m_inFlightHold.reset();
    m_excluded.push_back( m_vm );
    return std::nullopt;
}

Call::MaybeEvent Call::handleStreamLost() {
    m_stream.reset();
    if( m_joined ) {
        return fail( Reason::lostUpstream, Outcome::unknown, "the session was lost", Millis{ 0 } );
    }
    const auto state = barAttempt( m_vm, m_incarnation, m_request.requestId, m_attempt );
    switch( state ) {
    case AttemptState::barred:
        return retryOnOtherAgent( "barred" );
    case AttemptState::started:
    case AttemptState::finished:
        return join( m_vm );
    case AttemptState::unseen:
    case AttemptState::unknown:
        break;
    }
    m_mayHaveRun = true;
    if( m_request.repeatable ) {
        return retryOnOtherAgent( "lost" );
    }
    return fail( Reason::lostUpstream, Outcome::unknown,
                 "the agent was lost while it had the request", Millis{ 0 } );
}

Call::MaybeEvent Call::join( const std::string& vm ) {
    const auto limit =
        std::min( m_request.deadline, m_context.clock.now() + m_context.rules.queryTimeout );
    auto stream = m_context.directory.open( vm, peer::joinPath, limit );
    const bool sent =
        stream &&
        stream->send( encode( peer::JoinRequest{ m_answerId, m_deliveredBytes } ), limit );
    if( !sent ) {
        if( m_request.repeatable && !m_joined ) {
            m_mayHaveRun = true;
            return retryOnOtherAgent( "lost" );
        }
        return fail( Reason::lostUpstream, Outcome::unknown, "the session can't be reached",
                     shortRetryAfter );
    }
    stream->finish();
    m_accepted = true;
    m_stream = std::move( stream );
    return std::nullopt;
}

// --- requests to agents

std::optional<peer::Message> Call::queryAgent( std::string_view vm, std::string_view path,
                                               const peer::Message& request ) {
    const auto limit = m_context.clock.now() + m_context.rules.queryTimeout;
    auto stream = m_context.directory.open( vm, path, limit );
    if( !stream || !stream->send( encode( request ), limit ) ) {
        return std::nullopt;
    }
    stream->finish();
    const auto got = stream->receive( limit );
    if( got.status != ReceiveStatus::frame ) {
        return std::nullopt;
    }
    auto decoded = peer::decode( got.frame );
    return decoded.ok ? std::optional( std::move( decoded.message ) ) : std::nullopt;
}

AttemptState Call::barAttempt( std::string_view vm, std::string_view incarnation,
                               const std::string& requestId, std::uint32_t attempt, bool askOnly ) {
    const auto answer =
        queryAgent( vm, peer::barPath,
                    peer::BarRequest{ requestId, attempt, std::string( incarnation ), askOnly } );
    const auto* found = answer ? std::get_if<peer::BarAnswer>( &*answer ) : nullptr;
    return found != nullptr && found->requestId == requestId ? found->state : AttemptState::unknown;
}

} // namespace coursehead::entry
