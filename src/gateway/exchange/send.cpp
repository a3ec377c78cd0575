// SPDX-License-Identifier: BSL-1.0
// One send of a request to an upstream, and the forwarding of its answer to the client.
#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/exchange/client_writer.hpp"
#include "gateway/exchange/exchange.hpp"
#include "gateway/exchange/http_text.hpp"
#include "gateway/exchange/status.hpp"
#include "gateway/exchange/transfer.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace coursehead::gateway {

namespace {

using platform::ResponseClass;

constexpr unsigned firstNonSuccessStatus = 300;
constexpr unsigned firstServerError = 500;

//! Connections within the deployment open within some milliseconds; after this timeout the upstream
//! counts as unreachable.
constexpr Millis connectTimeout{ 400 };
//! An upstream connection is dropped when sent bytes stay unacknowledged for this long: nothing
//! else shows that an upstream is partitioned from the gateway.
constexpr Millis upstreamUnackedTimeout{ 2000 };
//! Typical time of an answer in addition to the estimated work: round trips and a first engine
//! step.
constexpr double overheadMs = 75;
//! Weight of a refusal in an upstream's health, where a failure weighs 1: the upstream is full, not
//! broken.
constexpr double refusalWeight = 0.5;
//! Limit on the body of an answer that is not a stream: it is held in memory until it is complete,
//! and a larger one fails the send.
constexpr std::uint64_t maxBufferedAnswerBytes = 16U << 20U;
constexpr std::string_view chunkedFraming = "Transfer-Encoding: chunked\r\n";

bool upstreamFailed( unsigned status ) {
    return status >= firstServerError;
}

//! True for the statuses that tell a client that its request has not run and never will.
bool promisesNotRun( unsigned status ) {
    return status == statusRequestTimeout || status == statusTooManyRequests ||
           status == statusUnavailable;
}

} // namespace

int Exchange::urgency() const {
    if( m_headSent ) {
        // The client has received a part of the answer, which is lost unless it continues soon.
        return 0;
    }
    // The priority decides first, then the goal: a request with a long goal can wait for one with a
    // short goal.
    constexpr std::int64_t longGoalMs = 2000;
    constexpr int urgencyStep = 2;
    constexpr int maxUrgency = 9;
    // An organisation's priority overrides the route's.
    const bool hasOwnPriority = m_organisation != nullptr && m_organisation->priority;
    const int priority = hasOwnPriority ? *m_organisation->priority : m_route->priority;
    const int base = 1 + urgencyStep * priority;
    return std::min( base + ( m_route->goal.count() > longGoalMs ? urgencyStep : 0 ), maxUrgency );
}

std::string Exchange::requestHead( const Node& node ) const {
    http::fields fields = m_request.fields;
    platform::SendHead head;
    head.keyed = m_table->configuration().keyed;
    if( m_organisation != nullptr ) {
        head.organisation = m_organisation->name;
    }
    head.upstreamId = node.upstream.id;
    head.deadline = remaining( MonoClock::now(), m_deadline );
    if( m_need.generation != nullptr ) {
        head.urgency = urgency();
    }
    head.lastEventId = m_lastEvent;
    head.fetchFrom = m_fetchFrom;
    const auto systemFields = platform::makeSendHeaders( head, fields );
    std::string out = m_request.method + " " + m_request.target + " HTTP/1.1\r\n";
    appendForwarded( out, fields );
    appendForwarded( out, systemFields );
    const bool hasBody =
        !m_request.body->empty() ||
        m_request.fields.find( http::field::content_length ) != m_request.fields.end() ||
        m_request.fields.find( http::field::transfer_encoding ) != m_request.fields.end();
    if( hasBody ) {
        out += "Content-Length: " + std::to_string( m_request.body->size() ) + "\r\n";
    }
    out += "\r\n";
    return out;
}

net::Task<ConnectionPtr> Exchange::connectionTo( Node& node ) {
    const auto now = MonoClock::now();
    auto pooled = node.pool.take( now );
    if( pooled ) {
        co_return pooled;
    }
    auto out = std::make_shared<UpstreamConnection>( m_shared.context );
    m_client->upstream = out;
    net::ErrorCode ec;
    const auto to = net::endpointOf( node.upstream.ip, node.upstream.port, ec );
    const auto limit = std::min( connectTimeout, remaining( now, m_deadline ) );
    ec = co_await net::connect( out->socket, to, limit );
    if( ec ) {
        co_return nullptr;
    }
    net::configureSocket( out->socket, upstreamUnackedTimeout );
    // A request that was given up must not run later because its bytes are still queued at a frozen
    // upstream: without the reset requests ran up to 2 s after their clients had disconnected.
    net::resetOnClose( out->socket );
    co_return out;
}

void Exchange::logSend( const Node& node, const Choice& choice, MonoTime now ) const {
    log::info( "send",
               { { "id", m_request.head.requestId },
                 { "fingerprint", decide::fingerprintText( m_fingerprint ) },
                 { "parts", decide::fingerprintList( m_request.head.sharedParts ) },
                 { "route", m_route->name },
                 { "config", static_cast<std::int64_t>( m_table->configuration().version ) },
                 { "upstream", node.upstream.id },
                 { "version", node.upstream.softwareVersion.value_or( "unknown" ) },
                 { "after_event", m_lastEvent ? static_cast<std::int64_t>( *m_lastEvent ) : -1 },
                 { "began_as", m_request.head.streamBeganAs },
                 { "hall", node.upstream.hall },
                 { "send", static_cast<std::int64_t>( m_sends ) },
                 { "candidates", static_cast<std::int64_t>( choice.candidates ) },
                 { "cost_ms", static_cast<std::int64_t>( choice.bestCost ) },
                 { "work_ms", static_cast<std::int64_t>( choice.workMs ) },
                 { "fetch_from", m_fetchFrom },
                 { "report_age_ms", node.report ? millisBetween( node.reportAt, now ) : -1 },
                 { "backoff_left_ms", node.announced.backoffLeft( now ).count() },
                 { "leaving", node.announced.leaving() ? "yes" : "no" },
                 { "limit_per_s", log::decimal( node.limit.known.perS().value_or( -1 ) ) },
                 { "left_ms", millisBetween( now, m_deadline ) } } );
}

net::Task<Exchange::SendResult> Exchange::sendTo( NodePtr node, const Choice& choice ) {
    SendResult out;
    const bool generates = m_need.generation != nullptr && node->engine != nullptr;
    auto connection = co_await connectionTo( *node );
    auto now = MonoClock::now();
    if( checkDisconnected( *m_client ) || !hasTimeLeft( now ) ) {
        out.end = SendOutcome::stopped;
        co_return out;
    }
    if( !connection ) {
        node->brokenAt = now;
        noteUnreachable( node->health, now );
        out.end = SendOutcome::notRun;
        out.failure = "connect failed";
        log::info( "connect_failed",
                   { { "id", m_request.head.requestId }, { "upstream", node->upstream.id } } );
        co_return out;
    }
    if( !node->isAvailable( now ) ) {
        // The upstream stopped taking requests while the connection was opened.
        if( now < connection->reusableUntil ) {
            node->pool.put( connection );
        }
        out.end = SendOutcome::notRun;
        out.failure = "upstream takes no requests";
        co_return out;
    }
    if( m_promptPermit ) {
        m_promptPermit->use();
    }
    if( m_limitPermit ) {
        m_limitPermit->use();
    }
    ++m_sends;
    m_expectedMs = choice.expectedMs;
    m_client->upstream = connection;
    m_sentAt = now;
    m_firstEventAt.reset();
    m_framing = noFraming;
    m_partsSound = false;
    if( m_shared.poison != nullptr ) {
        m_shared.poison->parts().noteSent( m_request.head.sharedParts );
    }
    logSend( *node, choice, now );
    if( generates ) {
        node->notePrompt( m_prefix, *m_need.generation, now );
        node->reading.take( choice.workMs, node->readingLimits( now ), now );
    }
    out = co_await receive( *node, connection, choice );
    now = MonoClock::now();
    m_client->upstream.reset();
    if( out.end != SendOutcome::notRun ) {
        ++m_runs;
    }
    if( out.connectionBroke ) {
        node->brokenAt = now;
    }
    recordPoisonEvidence( node, out, now );
    if( out.end == SendOutcome::streamed ) {
        m_answered = co_await m_writer->drained();
    }
    if( out.end == SendOutcome::stopped || m_client->disconnected ) {
        out.end = SendOutcome::stopped;
        m_mayHaveRun = true;
        m_lastFailure = m_shared.sendsBrokenOff ? "leaving" : m_lastFailure;
        co_return out;
    }
    if( out.end == SendOutcome::lost || out.end == SendOutcome::streamCut ) {
        noteFailure( node->health, 1.0, now );
        log::info( "send_failed",
                   { { "id", m_request.head.requestId },
                     { "fingerprint", decide::fingerprintText( m_fingerprint ) },
                     { "parts", decide::fingerprintList( m_request.head.sharedParts ) },
                     { "upstream", node->upstream.id },
                     { "why", out.failure },
                     { "framing", m_framing },
                     { "sent_ms", millisBetween( m_sentAt, now ) },
                     { "events_ms", m_firstEventAt ? millisBetween( *m_firstEventAt, now ) : -1 },
                     { "beside", node->inFlight },
                     { "cut_stream", out.end == SendOutcome::streamCut ? "yes" : "no" },
                     { "after_ms", millisBetween( m_request.arrived, now ) } } );
    }
    if( out.end == SendOutcome::notRun ) {
        noteFailure( node->health, refusalWeight, now );
        log::info( "send_refused", { { "id", m_request.head.requestId },
                                     { "upstream", node->upstream.id },
                                     { "why", out.failure } } );
    }
    co_return out;
}

net::Task<Exchange::SendResult> Exchange::receive( Node& node, ConnectionPtr connection,
                                                   const Choice& choice ) {
    SendResult out;
    Transfer transfer( node, std::move( connection ), choice, m_need.generation,
                       m_deadline - answerMargin, m_shared.linkUse );
    transfer.softwareVersion = versionOf( node );
    auto head = requestHead( node );
    m_shared.linkUse.noteSent( head.size() + m_request.body->size() );
    transfer.startWrite( std::move( head ), m_request.body );
    const bool answered = co_await readDueHead( transfer, out );
    if( !answered ) {
        transfer.close();
        co_return out;
    }
    noteAnnouncement( transfer );
    m_framing = transfer.framing();
    const bool streams = transfer.head.responseClass == ResponseClass::complete &&
                         transfer.head.sealed && transfer.parser->get().result_int() == statusOk &&
                         m_route->kind == RequestKind::stream;
    if( streams ) {
        co_return co_await forwardStream( transfer );
    }
    co_return co_await receiveBuffered( transfer );
}

void Exchange::noteAnnouncement( const Transfer& transfer ) {
    const auto& head = transfer.head;
    Node& node = transfer.node;
    if( !head.unreadableField.empty() ) {
        log::warn( "announcement_unreadable",
                   { { "upstream", node.upstream.id }, { "field", head.unreadableField } } );
    }
    const bool fromAnotherUpstream =
        !head.actualUpstream.empty() && head.actualUpstream != node.upstream.id;
    if( fromAnotherUpstream ) {
        return;
    }
    const auto& received = head.announcement;
    if( received.backoff ) {
        m_shared.metrics.count( "upstream_backoffs" );
        log::info( "upstream_backoff", { { "id", m_request.head.requestId },
                                         { "upstream", node.upstream.id },
                                         { "backoff_ms", received.backoff->count() } } );
    }
    if( received.leaving && !node.announced.leaving() ) {
        log::info( "upstream_says_it_leaves",
                   { { "id", m_request.head.requestId }, { "upstream", node.upstream.id } } );
    }
    const auto now = MonoClock::now();
    node.takeAnnouncement( received, m_shared.fleet.gateways(), now );
    noteAnnouncedLimit( transfer, now );
}

void Exchange::noteAnnouncedLimit( const Transfer& transfer, MonoTime now ) {
    const auto& received = transfer.head.announcement;
    Node& node = transfer.node;
    if( received.limit == decide::LimitAnnouncement::named ) {
        m_shared.metrics.count( "upstream_limits" );
        if( node.limit.known.noteNamed( received.limitPerS, now ) ) {
            log::info( "upstream_limit",
                       { { "id", m_request.head.requestId },
                         { "upstream", node.upstream.id },
                         { "limit_per_s", log::decimal( received.limitPerS ) } } );
        }
        return;
    }
    const bool noLimit = received.limit == decide::LimitAnnouncement::none;
    if( noLimit && node.limit.known.noteNone( transfer.sentAt, now ) ) {
        log::info( "upstream_limit_ended",
                   { { "id", m_request.head.requestId }, { "upstream", node.upstream.id } } );
    }
}

bool Exchange::isAborted( const Transfer& transfer ) const {
    return transfer.deadline.expired() || m_client->disconnected || m_client->broken ||
           m_shared.sendsBrokenOff;
}

net::Task<Exchange::SendResult> Exchange::forwardStream( Transfer& transfer ) {
    SendResult out;
    EventStreamSplitter splitter( m_lastEvent, m_shared.readers->limits().answerBytes );
    if( !m_headSent ) {
        m_answer = transfer.answerHead();
    }
    for( ;; ) {
        const auto [bytes, ec] = co_await transfer.readBody();
        std::string events;
        const bool usable = splitter.feed( bytes, events );
        const bool finished = !ec && usable && transfer.parser->is_done() && splitter.atBoundary();
        if( usable && !events.empty() ) {
            noteEvents( transfer );
            m_lastEvent = splitter.last();
        }
        if( usable && ( !events.empty() || finished ) ) {
            auto text = streamText( events, finished );
            m_shared.linkUse.noteSent( text.size() );
            if( !m_writer->write( std::move( text ) ) ) {
                out.end = SendOutcome::stopped;
                transfer.close();
                co_return out;
            }
        }
        if( finished ) {
            out.end = SendOutcome::streamed;
            transfer.release( true );
            co_return out;
        }
        if( ec || !usable || transfer.parser->is_done() ) {
            const auto broken = m_headSent ? SendOutcome::streamCut : SendOutcome::lost;
            out.end = isAborted( transfer ) ? SendOutcome::stopped : broken;
            const bool cut = ec || ( usable && m_framing == unframed );
            out.connectionBroke = cut && !isAborted( transfer );
            out.failure = !usable ? std::string( splitter.failure() )
                          : ec    ? ec.message()
                                  : "cut inside an event";
            if( !m_headSent ) {
                m_answer.reset();
            }
            transfer.close();
            co_return out;
        }
        // The answer is read on while the client takes its time, as far as there is room for it.
        co_await m_writer->roomForMore();
    }
}

std::string Exchange::streamText( std::string_view events, bool finished ) {
    std::string out;
    if( !m_headSent ) {
        m_headSent = true;
        m_client->streamBegun = true;
        if( !m_route->resumable ) {
            m_request.body.reset(); // nothing sends it again
        }
        m_status = m_answer->status;
        out = answerHeadText( m_answer->status, m_answer->reason, m_answer->fields, chunkedFraming,
                              keepsAlive() );
        m_answer.reset();
    }
    if( !events.empty() ) {
        out += chunkText( events );
    }
    if( finished ) {
        out += lastChunk;
    }
    return out;
}

net::Task<Exchange::SendResult> Exchange::receiveBuffered( Transfer& transfer ) {
    SendResult out;
    auto buffered = transfer.answerHead();
    bool complete = transfer.parser->is_done();
    CollectedBytes collected( m_shared.readers );
    while( !complete ) {
        co_await m_writer->roomForMore( collected );
        const auto [bytes, ec] = co_await transfer.readBody();
        buffered.body.append( bytes );
        collected.add( bytes.size() );
        if( ec || buffered.body.size() > maxBufferedAnswerBytes ) {
            out.failure = ec ? ec.message() : "answer too large";
            break;
        }
        complete = transfer.parser->is_done();
    }
    const bool late = isAborted( transfer );
    transfer.release( complete );
    const auto& head = transfer.head;
    if( !head.actualUpstream.empty() && head.actualUpstream != transfer.node.upstream.id ) {
        transfer.node.replaced = true;
    }
    if( head.responseClass != ResponseClass::complete ) {
        out.end = SendOutcome::notRun;
        out.failure = "status " + std::to_string( buffered.status );
        co_return out;
    }
    if( !complete ) {
        out.end = late ? SendOutcome::stopped : SendOutcome::lost;
        out.connectionBroke = !late && buffered.body.size() <= maxBufferedAnswerBytes;
        co_return out;
    }
    if( !head.sealed && buffered.status < firstNonSuccessStatus ) {
        out.failure = "unsigned answer";
        co_return out;
    }
    out.end = outcomeOfAnswer( transfer, buffered.status );
    out.failure = "status " + std::to_string( buffered.status );
    if( promisesNotRun( buffered.status ) && !m_route->idempotent() ) {
        // The client would take the status for a promise that the request has not run.
        m_mayHaveRun = true;
        m_lastFailure = out.failure + " without a promise";
        co_return out;
    }
    m_answer = std::move( buffered );
    co_return out;
}

Exchange::SendOutcome Exchange::outcomeOfAnswer( Transfer& transfer, unsigned status ) {
    if( upstreamFailed( status ) ) {
        const bool again = m_route->idempotent() && m_runs + 1 < m_route->attempts;
        return again ? SendOutcome::lost : SendOutcome::answered;
    }
    const auto now = MonoClock::now();
    transfer.node.slowStart.noteServed();
    noteSuccess( transfer.node.health, static_cast<double>( millisBetween( transfer.sentAt, now ) ),
                 transfer.choice.expectedMs + overheadMs, now );
    return SendOutcome::answered;
}

void Exchange::noteEvents( Transfer& transfer ) {
    const auto now = MonoClock::now();
    transfer.node.lastReceivedAt = now;
    if( !transfer.receivedEvents ) {
        transfer.receivedEvents = true;
        m_firstEventAt = now;
        noteVersion( transfer );
        transfer.inFlight.prefillDone();
        const auto measured = static_cast<double>( millisBetween( transfer.sentAt, now ) );
        if( m_need.generation != nullptr ) {
            m_shared.fleet.noteFirstEvent( *m_need.generation, transfer.choice, measured );
        }
        transfer.node.slowStart.noteServed();
        noteSuccess( transfer.node.health, measured, transfer.choice.expectedMs + overheadMs, now );
    }
    if( m_timeToFirstEvent ) {
        const auto pause = std::chrono::duration_cast<Millis>( now - m_lastEventAt );
        m_longestPause = std::max( m_longestPause, pause );
    } else {
        m_timeToFirstEvent = std::chrono::duration_cast<Millis>( now - m_request.arrived );
        m_shared.metrics.observe( metrics::Series::firstToken, m_route->name, m_service,
                                  static_cast<double>( m_timeToFirstEvent->count() ) );
    }
    m_lastEventAt = now;
    noteProgress( now );
}

} // namespace coursehead::gateway
