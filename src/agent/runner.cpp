// SPDX-License-Identifier: BSL-1.0
#include "agent/runner.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::agent {

using claims::AttemptId;
using engine::GenerationEnd;
using peer::ReceiveStatus;

namespace {

constexpr Millis requestTimeout{ 5000 };
constexpr Millis writeTimeout{ 15000 };
constexpr Millis shortRetryAfter{ 1000 };
constexpr Millis coldLoadRetryAfter{ 3000 };

//! Receives the first message of a stream; empty when none arrives in time or its type isn't T.
template <typename T>
std::optional<T> receiveRequest( peer::Stream& stream, const Clock& clock ) {
    const auto got = stream.receive( clock.now() + requestTimeout );
    if( got.status != ReceiveStatus::frame ) {
        return std::nullopt;
    }
    auto decoded = peer::decode( got.frame );
    if( !decoded.ok || !std::holds_alternative<T>( decoded.message ) ) {
        log::warn( "peer_message_malformed", { { "detail", decoded.error.detail } } );
        return std::nullopt;
    }
    return std::get<T>( std::move( decoded.message ) );
}

AttemptId attemptIdOf( const peer::RunRequest& request ) {
    return { request.requestId, request.attempt };
}

} // namespace

Runner::Runner( RunnerSettings settings, RunnerContext context )
    : m_settings( std::move( settings ) ), m_context( context ) {}

void Runner::countDemand( const peer::RunRequest& request ) {
    const std::lock_guard lock( m_mutex );
    ++m_demand[request.target.name];
}

std::vector<peer::ModelDemand> Runner::takeDemand() {
    const std::lock_guard lock( m_mutex );
    std::vector<peer::ModelDemand> out;
    for( const auto& it : m_demand ) {
        out.push_back( { it.first, it.second } );
    }
    m_demand.clear();
    return out;
}

void Runner::removeExpired() {
    const auto now = m_context.clock.now();
    m_context.sessions.removeExpired( now );
    const std::lock_guard lock( m_mutex );
    claims::forget( m_attempts, now, m_settings.attemptRetention );
}

void Runner::run( std::shared_ptr<peer::Stream> stream ) {
    auto request = receiveRequest<peer::RunRequest>( *stream, m_context.clock );
    if( !request ) {
        return;
    }
    Job job;
    job.deadline =
        m_context.clock.now() + Millis( std::max<std::int64_t>( request->deadlineMs, 0 ) );
    job.request = std::move( *request );
    job.stream = std::move( stream );
    // Count the request before the check, so that a drain that starts now either waits for the
    // request or refuses it.
    ++m_inFlight;
    const auto reason = refusalReason( job.request );
    if( reason.empty() ) {
        countDemand( job.request );
        serve( job );
    } else {
        refuse( job, reason, shortRetryAfter );
    }
    --m_inFlight;
}

//! Returns why this agent can't accept the request; empty when it can.
std::string Runner::refusalReason( const peer::RunRequest& request ) const {
    if( m_draining ) {
        return "draining";
    }
    if( request.incarnation != m_settings.incarnation ) {
        return "meant for an earlier process";
    }
    const bool service = request.target.kind == peer::TargetKind::service;
    if( service != ( m_settings.kind == UpstreamKind::service ) ) {
        return "not this kind of upstream";
    }
    return {};
}

void Runner::refuse( Job& job, std::string reason, Millis retryAfter ) {
    {
        // Bar this attempt: a late copy of it must not start.
        const std::lock_guard lock( m_mutex );
        claims::bar( m_attempts, attemptIdOf( job.request ), m_context.clock.now() );
    }
    m_context.metrics.count( "refused", reason );
    const peer::RunRefused out{ job.request.requestId, std::move( reason ), retryAfter.count() };
    job.stream->send( encode( out ), m_context.clock.now() + writeTimeout );
    job.stream->finish();
}

void Runner::serve( Job& job ) {
    const auto now = m_context.clock.now();
    const auto admission =
        m_context.places.admit( job.request.priority, Millis( job.request.patienceMs ) );
    if( !admission.admitted ) {
        refuse( job, "full", admission.retryAfter );
        return;
    }
    const peer::RunAccepted accepted{ job.request.requestId, job.request.attempt };
    job.stream->send( encode( accepted ), now + writeTimeout );
    const auto abandoned = [&job] {
        return job.stream->ended();
    };
    if( m_context.residency == nullptr ) {
        if( !m_context.places.acquire( job.request.priority, job.deadline, abandoned ) ) {
            refuse( job, "no place in time", shortRetryAfter );
            return;
        }
        startAndRun( job, nullptr );
        return;
    }
    Pin pin;
    const auto limit = std::min( job.deadline, now + m_settings.loadTimeout );
    const auto ready = m_context.residency->pin( job.request.target, limit, abandoned, pin );
    if( ready != ReadyStatus::ready ) {
        refuse( job, ready == ReadyStatus::impossible ? "no room to load it" : "not loaded in time",
                coldLoadRetryAfter );
        return;
    }
    if( m_context.places.acquire( job.request.priority, job.deadline, abandoned ) ) {
        startAndRun( job, &pin );
    } else {
        refuse( job, "no place in time", shortRetryAfter );
    }
    m_context.residency->unpin( pin );
}

void Runner::startAndRun( Job& job, const Pin* pin ) {
    const auto startedAt = m_context.clock.now();
    bool mayStart = false;
    {
        const std::lock_guard lock( m_mutex );
        mayStart = claims::start( m_attempts, attemptIdOf( job.request ), startedAt );
    }
    if( !mayStart ) {
        refuse( job, "barred", shortRetryAfter );
    } else {
        job.session = m_context.sessions.create( job.request.requestId, job.request.prefix );
        if( pin != nullptr ) {
            runModel( job, *pin );
        } else {
            runService( job );
        }
    }
    m_context.places.release( remaining( startedAt, m_context.clock.now() ) );
}

void Runner::finish( Job& job, const peer::Message& end ) {
    const auto now = m_context.clock.now();
    {
        const std::lock_guard lock( m_mutex );
        const auto* failed = std::get_if<peer::RunFailed>( &end );
        if( failed != nullptr && !failed->mayHaveRun ) {
            claims::withdraw( m_attempts, attemptIdOf( job.request ), now );
        } else {
            claims::finish( m_attempts, attemptIdOf( job.request ), now );
        }
    }
    job.session->touch( now );
    job.session->finish( end );
    job.stream->send( encode( end ), now + writeTimeout );
    job.stream->finish();
}

//! True when the answer has had no reader for longer than `orphanTimeout`.
bool Runner::isOrphaned( Job& job ) {
    if( !job.stream->ended() || job.session->readers() > 0 ) {
        job.orphanedAt = MonoTime{};
        return false;
    }
    const auto now = m_context.clock.now();
    if( job.orphanedAt == MonoTime{} ) {
        job.orphanedAt = now;
    }
    return now - std::max( job.orphanedAt, job.session->lastChangeAt() ) > m_settings.orphanTimeout;
}

bool Runner::forwardText( Job& job, std::string_view text ) {
    const auto offset = job.session->append( text );
    if( !job.stream->ended() ) {
        const peer::RunChunk chunk{ job.request.requestId, offset, std::string( text ) };
        job.stream->send( encode( chunk ), m_context.clock.now() + writeTimeout );
    }
    return !isOrphaned( job );
}

engine::GenerationResult Runner::generateOnce( Job& job, const Pin& pin ) {
    engine::Generation generation;
    generation.requestId = job.request.requestId;
    generation.path = job.request.path;
    generation.body = job.request.body;
    generation.model = pin.model.name;
    generation.version = pin.model.version;
    generation.adapter = pin.adapter ? pin.adapter->name : "";
    generation.prefix = job.session->text();
    generation.priority = job.request.priority;
    return engine::generate( m_settings.endpoint, generation,
                             [&]( std::string_view text ) { return forwardText( job, text ); } );
}

void Runner::runModel( Job& job, const Pin& pin ) {
    const auto& id = job.request.requestId;
    engine::GenerationResult result;
    for( std::uint32_t n = 0;; ++n ) {
        result = generateOnce( job, pin );
        const bool cut = result.end == GenerationEnd::cut;
        if( result.crossed > 0 ) {
            m_context.metrics.count( "crossed_answers_dropped" );
        }
        // A request with an idempotency key runs at most once, so even the missing part of its
        // answer isn't generated again.
        if( !cut || !job.request.key.empty() || n >= m_settings.localRetries ) {
            break;
        }
        log::info( "generation_continues", { { "request", id }, { "reason", result.detail } } );
    }
    switch( result.end ) {
    case GenerationEnd::complete: {
        peer::RunDone done;
        done.requestId = id;
        done.length = job.session->length();
        done.finishReason = result.finishReason;
        done.promptTokens = result.promptTokens;
        done.completionTokens = result.completionTokens;
        finish( job, done );
        return;
    }
    case GenerationEnd::notSent:
        finish( job, peer::RunFailed{ id, "the engine can't be reached", false } );
        return;
    case GenerationEnd::rejected:
        finish( job, peer::RunFailed{ id, "the engine refused: " + result.detail, false } );
        return;
    case GenerationEnd::cancelled:
        engine::cancel( m_settings.endpoint, id );
        finish( job, peer::RunFailed{ id, "nobody reads the answer", true } );
        return;
    case GenerationEnd::cut:
        engine::cancel( m_settings.endpoint, id );
        finish( job, peer::RunFailed{ id, "the engine's answer was cut", true } );
        return;
    }
}

void Runner::runService( Job& job ) {
    const auto& id = job.request.requestId;
    http::Client client(
        m_settings.endpoint.url,
        { Millis{ 500 }, remaining( m_context.clock.now(), job.deadline ) + Millis{ 1 } } );
    http::Request request;
    request.method = job.request.method;
    request.path = job.request.path;
    request.body = job.request.body;
    request.headers["Content-Type"] = job.request.contentType;
    request.headers["X-Request-Id"] = id;
    if( !job.request.key.empty() ) {
        request.headers["Idempotency-Key"] = job.request.key;
    }
    auto outcome = client.call( request );
    if( outcome.failure == http::Failure::notSent ) {
        finish( job, peer::RunFailed{ id, "the service can't be reached", false } );
        return;
    }
    if( outcome.failure == http::Failure::broken ) {
        finish( job, peer::RunFailed{ id, "the service's answer was lost", true } );
        return;
    }
    peer::RunDone done;
    done.requestId = id;
    done.status = outcome.response.status;
    done.contentType = outcome.response.contentType;
    done.body = std::move( outcome.response.body );
    finish( job, done );
}

void Runner::join( peer::Stream& stream ) {
    const auto request = receiveRequest<peer::JoinRequest>( stream, m_context.clock );
    if( !request ) {
        return;
    }
    const auto session = m_context.sessions.find( request->requestId );
    if( !session || request->offset > session->length() ) {
        const peer::RunRefused out{ request->requestId, "its text is not here", 0 };
        stream.send( encode( out ), m_context.clock.now() + writeTimeout );
        stream.finish();
        return;
    }
    ++m_inFlight;
    session->follow( stream, request->offset, m_context.clock );
    --m_inFlight;
}

void Runner::bar( peer::Stream& stream ) {
    const auto request = receiveRequest<peer::BarRequest>( stream, m_context.clock );
    if( !request ) {
        return;
    }
    peer::BarAnswer out{ request->requestId, peer::AttemptState::unknown };
    if( request->incarnation == m_settings.incarnation ) {
        const std::lock_guard lock( m_mutex );
        const AttemptId id{ request->requestId, request->attempt };
        out.state = request->askOnly ? claims::stateOf( m_attempts, id )
                                     : claims::bar( m_attempts, id, m_context.clock.now() );
    }
    stream.send( encode( out ), m_context.clock.now() + writeTimeout );
    stream.finish();
}

} // namespace coursehead::agent
