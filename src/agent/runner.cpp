// SPDX-License-Identifier: BSL-1.0
#include "agent/runner.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::agent {

using claims::AttemptId;
using engine::GenerationEnd;
using peer::ReceiveStatus;

namespace {

constexpr Millis requestPatience{ 5000 };
constexpr Millis writePatience{ 15000 };
constexpr Millis comeBackSoon{ 1000 };
constexpr Millis comeBackCold{ 3000 };

//! Reads the one message that opens a stream; empty when it is not of that type.
template <typename T>
std::optional<T> readFirst( peer::Stream& stream, const Clock& clock ) {
    const auto got = stream.receive( clock.now() + requestPatience );
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

AttemptId idOf( const peer::RunRequest& request ) {
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

void Runner::tidy() {
    const auto now = m_context.clock.now();
    m_context.sessions.forget( now );
    const std::lock_guard lock( m_mutex );
    claims::forget( m_attempts, now, m_settings.attemptsKept );
}

void Runner::run( std::shared_ptr<peer::Stream> stream ) {
    auto request = readFirst<peer::RunRequest>( *stream, m_context.clock );
    if( !request ) {
        return;
    }
    Job job;
    job.deadline =
        m_context.clock.now() + Millis( std::max<std::int64_t>( request->deadlineMs, 0 ) );
    job.request = std::move( *request );
    job.stream = std::move( stream );
    // Counted before the check, so that a stop that begins now sees the request or refuses it.
    ++m_inFlight;
    const auto reason = screen( job.request );
    if( reason.empty() ) {
        countDemand( job.request );
        serve( job );
    } else {
        refuse( job, reason, comeBackSoon );
    }
    --m_inFlight;
}

//! Why the request can't be taken at all; empty when it can.
std::string Runner::screen( const peer::RunRequest& request ) const {
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
        // From now on this attempt is barred: a late copy of it must not start.
        const std::lock_guard lock( m_mutex );
        claims::bar( m_attempts, idOf( job.request ), m_context.clock.now() );
    }
    m_context.metrics.count( "refused", reason );
    const peer::RunRefused out{ job.request.requestId, std::move( reason ), retryAfter.count() };
    job.stream->send( encode( out ), m_context.clock.now() + writePatience );
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
    job.stream->send( encode( accepted ), now + writePatience );
    const auto abandoned = [&job] {
        return job.stream->ended();
    };
    if( m_context.residency == nullptr ) {
        if( !m_context.places.acquire( job.request.priority, job.deadline, abandoned ) ) {
            refuse( job, "no place in time", comeBackSoon );
            return;
        }
        startAndRun( job, nullptr );
        return;
    }
    Pin pin;
    const auto limit = std::min( job.deadline, now + m_settings.coldPatience );
    const auto ready = m_context.residency->pin( job.request.target, limit, abandoned, pin );
    if( ready != ReadyStatus::ready ) {
        refuse( job, ready == ReadyStatus::impossible ? "no room to load it" : "not loaded in time",
                comeBackCold );
        return;
    }
    if( m_context.places.acquire( job.request.priority, job.deadline, abandoned ) ) {
        startAndRun( job, &pin );
    } else {
        refuse( job, "no place in time", comeBackSoon );
    }
    m_context.residency->unpin( pin );
}

void Runner::startAndRun( Job& job, const Pin* pin ) {
    const auto began = m_context.clock.now();
    bool mayStart = false;
    {
        const std::lock_guard lock( m_mutex );
        mayStart = claims::start( m_attempts, idOf( job.request ), began );
    }
    if( !mayStart ) {
        refuse( job, "barred", comeBackSoon );
    } else {
        job.session = m_context.sessions.create( job.request.requestId, job.request.prefix );
        if( pin != nullptr ) {
            runModel( job, *pin );
        } else {
            runService( job );
        }
    }
    m_context.places.release( remaining( began, m_context.clock.now() ) );
}

void Runner::finish( Job& job, const peer::Message& end ) {
    const auto now = m_context.clock.now();
    {
        const std::lock_guard lock( m_mutex );
        const auto* failed = std::get_if<peer::RunFailed>( &end );
        if( failed != nullptr && !failed->mayHaveRun ) {
            claims::withdraw( m_attempts, idOf( job.request ), now );
        } else {
            claims::finish( m_attempts, idOf( job.request ), now );
        }
    }
    job.session->touch( now );
    job.session->finish( end );
    job.stream->send( encode( end ), now + writePatience );
    job.stream->finish();
}

//! True when nobody has read the answer for so long that it is not worth going on.
bool Runner::orphaned( Job& job ) {
    if( !job.stream->ended() || job.session->readers() > 0 ) {
        job.orphanedAt = MonoTime{};
        return false;
    }
    const auto now = m_context.clock.now();
    if( job.orphanedAt == MonoTime{} ) {
        job.orphanedAt = now;
    }
    return now - std::max( job.orphanedAt, job.session->changed() ) > m_settings.orphanPatience;
}

bool Runner::passOn( Job& job, std::string_view text ) {
    const auto offset = job.session->append( text );
    if( !job.stream->ended() ) {
        const peer::RunChunk chunk{ job.request.requestId, offset, std::string( text ) };
        job.stream->send( encode( chunk ), m_context.clock.now() + writePatience );
    }
    return !orphaned( job );
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
                             [&]( std::string_view text ) { return passOn( job, text ); } );
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
        // A request that may not be repeated is not generated again, not even its rest.
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
    const auto request = readFirst<peer::JoinRequest>( stream, m_context.clock );
    if( !request ) {
        return;
    }
    const auto session = m_context.sessions.find( request->requestId );
    if( !session || request->offset > session->length() ) {
        const peer::RunRefused out{ request->requestId, "its text is not here", 0 };
        stream.send( encode( out ), m_context.clock.now() + writePatience );
        stream.finish();
        return;
    }
    ++m_inFlight;
    session->follow( stream, request->offset, m_context.clock );
    --m_inFlight;
}

void Runner::bar( peer::Stream& stream ) {
    const auto request = readFirst<peer::BarRequest>( stream, m_context.clock );
    if( !request ) {
        return;
    }
    peer::BarAnswer out{ request->requestId, peer::AttemptState::unknown };
    if( request->incarnation == m_settings.incarnation ) {
        const std::lock_guard lock( m_mutex );
        const AttemptId id{ request->requestId, request->attempt };
        out.state = request->askOnly ? claims::look( m_attempts, id )
                                     : claims::bar( m_attempts, id, m_context.clock.now() );
    }
    stream.send( encode( out ), m_context.clock.now() + writePatience );
    stream.finish();
}

} // namespace coursehead::agent
