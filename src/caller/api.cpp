// SPDX-License-Identifier: BSL-1.0
#include "caller/api.hpp"

#include "coursehead/claims/key.hpp"
#include "coursehead/kernel/log.hpp"

#include <algorithm>
#include <charconv>

namespace coursehead::caller {

using entry::Call;
using entry::CallEvent;
using entry::CallEventKind;
using entry::CallRequest;

namespace {

constexpr std::string_view servicesPath = "/services/";
constexpr std::string_view sessionsPath = "/v1/sessions/";
constexpr std::string_view keyHeader = "Idempotency-Key";
constexpr std::string_view deadlineHeader = "X-Coursehead-Deadline-Ms";
constexpr std::string_view callerHeader = "X-Coursehead-Caller";
constexpr std::string_view classHeader = "X-Coursehead-Class";
constexpr std::size_t requestIdDigits = 20;
constexpr std::size_t maxCallerName = 64;
constexpr std::int64_t maxDeadlineMs = 3600000;
constexpr std::int64_t millisPerSecond = 1000;

bool parseNumber( std::string_view text, std::uint64_t& out ) {
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out );
    return !text.empty() && ec == std::errc() && ptr == end;
}

Failure badRequestFailure( std::string message ) {
    return { Reason::badRequest, Outcome::notRun, std::move( message ), {}, 0 };
}

//! Copies the priority and the first-token target of the request's class to the call; an unknown
//! class has the defaults.
void applyClass( const config::State& state, CallRequest& call ) {
    const auto* found = config::findByName( state.classes, call.requestClass );
    const config::RequestClass targets = found == nullptr ? config::RequestClass{} : *found;
    call.priority = static_cast<int>( targets.priority );
    call.firstTokenTarget = Millis( targets.firstTokenMs );
}

//! Measures the latency of each token and the duration of one answer.
class AnswerTimer {
public:
    AnswerTimer( entry::CallContext& context, std::string requestClass, std::string callerName )
        : m_context( context ), m_class( std::move( requestClass ) ),
          m_caller( std::move( callerName ) ), m_startedAt( context.clock.now() ),
          m_lastTokenAt( m_startedAt ) {}

    void token() {
        const auto now = m_context.clock.now();
        m_context.metrics.observe( m_awaitsFirstToken ? metrics::Series::firstToken
                                                      : metrics::Series::betweenTokens,
                                   m_class, m_caller, since( m_lastTokenAt, now ) );
        m_awaitsFirstToken = false;
        m_lastTokenAt = now;
    }
    void end( std::string_view outcome ) {
        m_context.metrics.observe( metrics::Series::request, m_class, m_caller,
                                   since( m_startedAt, m_context.clock.now() ) );
        m_context.metrics.count( "requests", outcome );
    }

private:
    static double since( MonoTime from, MonoTime to ) {
        return std::chrono::duration<double, std::milli>( to - from ).count();
    }

    entry::CallContext& m_context;
    std::string m_class;
    std::string m_caller;
    MonoTime m_startedAt;
    MonoTime m_lastTokenAt;
    bool m_awaitsFirstToken = true;
};

void logRequestEnd( const CallRequest& request, std::string_view outcome,
                    std::string_view reason ) {
    log::info( "request_end", { { "request", request.requestId },
                                { "caller", request.caller },
                                { "class", request.requestClass },
                                { "target", request.target.name },
                                { "outcome", outcome },
                                { "reason", reason } } );
}

} // namespace

CallerApi::CallerApi( ApiSettings settings, entry::CallContext& context, RandomSource& random )
    : m_settings( settings ), m_context( context ), m_random( random ) {}

std::string CallerApi::makeRequestId() {
    return m_random.hex( requestIdDigits );
}

CallerApi::Slot CallerApi::acquireSlot() {
    auto counter = m_inFlight;
    if( counter->fetch_add( 1 ) >= m_settings.maxSessions ) {
        counter->fetch_sub( 1 );
        return nullptr;
    }
    return { counter.get(), [counter]( void* ) {
                counter->fetch_sub( 1 );
            } };
}

http::Response CallerApi::fail( const Failure& failure, const CallRequest& request ) {
    m_context.metrics.count( "refusals", reasonCode( failure.reason ) );
    logRequestEnd( request, outcomeName( failure.outcome ), reasonCode( failure.reason ) );
    return errorResponse( failure, request.requestId );
}

CallRequest CallerApi::baseRequest( const http::Request& request ) {
    CallRequest out;
    out.requestId = makeRequestId();
    out.caller = request.header( callerHeader, "anonymous" ).substr( 0, maxCallerName );
    out.requestClass = request.header( classHeader );
    out.method = request.method;
    out.contentType = request.header( "Content-Type", "application/json" );
    std::uint64_t ms = 0;
    const bool deadlineGiven = parseNumber( request.header( deadlineHeader ), ms );
    const auto timeout = deadlineGiven ? Millis( std::min<std::uint64_t>( ms, maxDeadlineMs ) )
                                       : m_settings.defaultDeadline;
    out.deadline = m_context.clock.now() + timeout;
    return out;
}

bool CallerApi::readIdempotencyKey( const http::Request& request, CallRequest& out,
                                    Failure& failure ) {
    const auto key = request.header( keyHeader );
    if( key.empty() ) {
        return true;
    }
    if( !claims::keyTime( key ) ) {
        failure = badRequestFailure( "header 'Idempotency-Key' = '" + std::string( key ) +
                                     "': expected a UUID of version 7" );
        return false;
    }
    out.key = key;
    out.repeatable = false;
    return true;
}

http::Response CallerApi::handle( const http::Request& request ) {
    if( request.method == "GET" && request.path == "/v1/models" ) {
        http::Response out;
        out.body = modelsBody( *m_context.replica.state() );
        return out;
    }
    if( request.method == "POST" && request.path == "/v1/chat/completions" ) {
        return complete( Api::chat, request );
    }
    if( request.method == "POST" && request.path == "/v1/completions" ) {
        return complete( Api::text, request );
    }
    if( request.path.starts_with( servicesPath ) ) {
        return callService( request );
    }
    if( request.method == "GET" && request.path.starts_with( sessionsPath ) ) {
        return resume( request );
    }
    return errorResponse( { Reason::notFound,
                            Outcome::notRun,
                            "no such path: " + request.method + " " + request.path,
                            {},
                            0 },
                          makeRequestId() );
}

http::Response CallerApi::complete( Api api, const http::Request& request ) {
    auto call = baseRequest( request );
    if( m_draining ) {
        return fail( { Reason::draining, Outcome::notRun, "this entry is stopping",
                       m_settings.drainRetryAfter, 0 },
                     call );
    }
    const auto state = m_context.replica.state();
    auto parsed = parseCompletion( api, request.body, *state );
    if( !parsed.request ) {
        return fail( parsed.failure, call );
    }
    Failure failure;
    if( !readIdempotencyKey( request, call, failure ) ) {
        return fail( failure, call );
    }
    auto slot = acquireSlot();
    if( !slot ) {
        return fail( { Reason::full, Outcome::notRun, "this entry has no room for another request",
                       m_settings.drainRetryAfter, 0 },
                     call );
    }
    call.target = parsed.request->target;
    call.path = request.path;
    call.body = request.body;
    call.prefixHash = parsed.request->prefixHash;
    if( call.requestClass.empty() ) {
        call.requestClass = parsed.request->requestClass;
    }
    if( !parsed.request->user.empty() ) {
        call.caller = parsed.request->user.substr( 0, maxCallerName );
    }
    applyClass( *state, call );
    auto running = std::make_shared<Call>( m_context, call );
    return answer( *parsed.request, std::move( running ), call, std::move( slot ) );
}

http::Response CallerApi::answer( const CompletionRequest& parsed, std::shared_ptr<Call> call,
                                  const CallRequest& request, Slot slot ) {
    const EnvelopeFields envelopeFields{ parsed.api, request.requestId,
                                         parsed.target.adapter.empty() ? parsed.target.name
                                                                       : parsed.target.adapter,
                                         m_context.clock.wall() / millisPerSecond };
    auto first = call->next();
    if( first.kind == CallEventKind::failed ) {
        m_context.metrics.count( "requests", outcomeName( first.failure.outcome ) );
        return fail( first.failure, request );
    }
    return parsed.stream ? stream( envelopeFields, std::move( call ), std::move( first ), request,
                                   std::move( slot ) )
                         : collect( envelopeFields, *call, std::move( first ), request );
}

http::Response CallerApi::stream( const EnvelopeFields& envelopeFields, std::shared_ptr<Call> call,
                                  CallEvent first, const CallRequest& request, Slot slot ) {
    struct Progress {
        std::shared_ptr<Call> call;
        CallEvent event;
        Slot slot;
        AnswerTimer timer;
    };
    auto progress = std::make_shared<Progress>(
        Progress{ std::move( call ), std::move( first ), std::move( slot ),
                  AnswerTimer( m_context, request.requestClass, request.caller ) } );
    http::Response out;
    out.contentType = "text/event-stream";
    out.headers["X-Request-Id"] = request.requestId;
    out.headers["X-Coursehead-Session"] = progress->call->session();
    out.headers["Cache-Control"] = "no-store";
    out.producer = [progress, envelopeFields, request]( const http::Sink& sink ) {
        for( ;; progress->event = progress->call->next() ) {
            const auto& event = progress->event;
            if( event.kind == CallEventKind::text ) {
                progress->timer.token();
                const auto id = progress->call->session() + ":" +
                                std::to_string( event.offset + event.text.size() );
                if( !sink( textEvent( envelopeFields, event.text, id ) ) ) {
                    progress->timer.end( "caller-gone" );
                    logRequestEnd( request, "caller-gone", "" );
                    return false;
                }
                continue;
            }
            const bool finished = event.kind == CallEventKind::done;
            const auto outcome = finished ? "ran" : outcomeName( event.failure.outcome );
            progress->timer.end( outcome );
            logRequestEnd( request, outcome, finished ? "" : reasonCode( event.failure.reason ) );
            sink( finished ? finalEvents( envelopeFields, event.done )
                           : failureEvent( event.failure, request.requestId ) );
            return true;
        }
    };
    return out;
}

http::Response CallerApi::collect( const EnvelopeFields& envelopeFields, Call& call,
                                   CallEvent event, const CallRequest& request ) {
    AnswerTimer timer( m_context, request.requestClass, request.caller );
    std::string text;
    for( ; event.kind == CallEventKind::text; event = call.next() ) {
        timer.token();
        text += event.text;
    }
    if( event.kind == CallEventKind::failed ) {
        timer.end( outcomeName( event.failure.outcome ) );
        return fail( event.failure, request );
    }
    timer.end( "ran" );
    logRequestEnd( request, "ran", "" );
    http::Response out;
    out.body = completionBody( envelopeFields, text, event.done );
    out.headers["X-Request-Id"] = request.requestId;
    out.headers["X-Coursehead-Session"] = call.session();
    out.headers["X-Coursehead-Outcome"] = "ran";
    return out;
}

http::Response CallerApi::callService( const http::Request& request ) {
    auto call = baseRequest( request );
    if( m_draining ) {
        return fail( { Reason::draining, Outcome::notRun, "this entry is stopping",
                       m_settings.drainRetryAfter, 0 },
                     call );
    }
    const auto rest = request.path.substr( servicesPath.size() );
    const auto slash = rest.find( '/' );
    call.target.kind = peer::TargetKind::service;
    call.target.name = rest.substr( 0, slash );
    call.path = slash == std::string::npos ? "/" : rest.substr( slash );
    call.body = request.body;
    const auto state = m_context.replica.state();
    const auto* service = config::findByName( state->services, call.target.name );
    if( service == nullptr ) {
        return fail( { Reason::notFound,
                       Outcome::notRun,
                       "service '" + call.target.name + "': no such service",
                       {},
                       0 },
                     call );
    }
    Failure failure;
    if( !readIdempotencyKey( request, call, failure ) ) {
        return fail( failure, call );
    }
    if( !service->repeatable && call.key.empty() ) {
        return fail( { Reason::keyRequired,
                       Outcome::notRun,
                       "service '" + call.target.name +
                           "' needs the header 'Idempotency-Key' (a UUID of version 7)",
                       {},
                       0 },
                     call );
    }
    if( call.requestClass.empty() ) {
        call.requestClass = service->requestClass;
    }
    applyClass( *state, call );
    const auto slot = acquireSlot();
    if( !slot ) {
        return fail( { Reason::full, Outcome::notRun, "this entry has no room for another request",
                       m_settings.drainRetryAfter, 0 },
                     call );
    }
    AnswerTimer timer( m_context, call.requestClass, call.caller );
    Call running( m_context, call );
    const auto event = running.next();
    if( event.kind != CallEventKind::done ) {
        timer.end( outcomeName( event.failure.outcome ) );
        return fail( event.failure, call );
    }
    timer.end( "ran" );
    logRequestEnd( call, "ran", "" );
    http::Response out;
    out.status = event.done.status;
    out.contentType = event.done.contentType;
    out.body = event.done.body;
    out.headers["X-Request-Id"] = call.requestId;
    out.headers["X-Coursehead-Outcome"] = "ran";
    return out;
}

http::Response CallerApi::resume( const http::Request& request ) {
    auto call = baseRequest( request );
    const auto session = request.path.substr( sessionsPath.size() );
    std::string_view last = request.header( "Last-Event-ID" );
    std::uint64_t offset = 0;
    const auto colon = last.rfind( ':' );
    const bool validEventId = last.empty() || ( colon != std::string_view::npos &&
                                                parseNumber( last.substr( colon + 1 ), offset ) );
    if( !validEventId || session.find( '~' ) == std::string::npos ) {
        return fail( badRequestFailure( "header 'Last-Event-ID' = '" + std::string( last ) +
                                        "': expected the id of an event of this session" ),
                     call );
    }
    auto slot = acquireSlot();
    if( !slot ) {
        return fail( { Reason::full, Outcome::unknown, "this entry has no room for another request",
                       m_settings.drainRetryAfter, 0 },
                     call );
    }
    // The event id holds the session that the text comes from: after a move to another session,
    // only the latest event's id leads to the current one.
    const auto currentSession = last.empty() ? session : std::string( last.substr( 0, colon ) );
    call.requestId = session.substr( 0, session.rfind( '~' ) );
    call.requestClass = "resumed";
    auto running = std::make_shared<Call>( m_context, call, currentSession, offset );
    CompletionRequest parsed;
    parsed.stream = true;
    return answer( parsed, std::move( running ), call, std::move( slot ) );
}

} // namespace coursehead::caller
