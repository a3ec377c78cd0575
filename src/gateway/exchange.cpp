// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/http_text.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace coursehead::gateway {

namespace {

using platform::AnswerClass;

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr unsigned firstServerError = 500;
constexpr unsigned firstError = 300;

//! Assumed wait of a client that sends no deadline, beyond the route's own timeout.
constexpr Millis connectLimit{ 400 };
//! Unacknowledged bytes are given up after this: a partitioned upstream shows no other sign.
constexpr Millis upstreamSilence{ 2000 };
//! An idle connection is used again within this when the upstream states no time of its own;
//! longer than pauses of a busy gateway, shorter than any server's idle limit.
constexpr Millis defaultIdle{ 3000 };
//! An upstream's stated idle time is cut by this, so that a request never crosses its close.
constexpr Millis idleMargin{ 900 };
//! Time kept back for the last answer: a request that reaches its limit gets it in time.
constexpr Millis answerMargin{ 30 };
//! Sends of one request that were certainly not run, on top of the route's attempts.
constexpr int extraSends = 3;
//! When a refused client is to come back, unless the upstream said when.
constexpr Millis usualRetryAfter{ 300 };
//! The same where a model has to be loaded first, and where no configuration is known yet: about
//! the time that a load, or an outage of the store, takes.
constexpr Millis modelRetryAfter{ 1000 };
constexpr Millis startRetryAfter{ 2000 };
//! Pause until the weight store's rate is asked for again.
constexpr Millis storePoll{ 150 };
constexpr std::size_t readBytes = 16U << 10U;
//! Answers of plain services are passed on whole; larger ones than this are refused.
constexpr std::uint64_t maxWholeAnswer = 16U << 20U;

std::string_view view( boost::beast::string_view text ) {
    return { text.data(), text.size() };
}

std::int64_t millisBetween( MonoTime from, MonoTime to ) {
    return std::chrono::duration_cast<Millis>( to - from ).count();
}

//! Seconds from a Keep-Alive field's timeout; zero when there are none.
Millis statedIdle( const http::fields& fields ) {
    const auto it = fields.find( http::field::keep_alive );
    if( it == fields.end() ) {
        return Millis{ 0 };
    }
    const auto text = view( it->value() );
    const auto at = text.find( "timeout=" );
    if( at == std::string_view::npos ) {
        return Millis{ 0 };
    }
    constexpr std::size_t prefix = 8;
    return std::chrono::seconds( std::atoi( std::string( text.substr( at + prefix ) ).c_str() ) );
}

MonoTime reuseUntil( const http::fields& fields, MonoTime now ) {
    const auto stated = statedIdle( fields );
    if( stated.count() == 0 ) {
        return now + defaultIdle;
    }
    return now + std::max( stated - idleMargin, Millis{ 0 } );
}

//! Undoes the counting of a request at a node, on every way out.
class InFlight {
public:
    InFlight( Node& node, double prefillMs ) : m_node( node ), m_prefillMs( prefillMs ) {
        ++m_node.inFlight;
        if( m_prefillMs > 0 ) {
            ++m_node.prefilling;
            m_node.prefillMs += m_prefillMs;
        }
    }
    ~InFlight() {
        --m_node.inFlight;
        prefillDone();
    }
    InFlight( const InFlight& ) = delete;
    InFlight& operator=( const InFlight& ) = delete;

    void prefillDone() {
        if( m_prefillMs > 0 ) {
            --m_node.prefilling;
            m_node.prefillMs = std::max( m_node.prefillMs - m_prefillMs, 0.0 );
            m_prefillMs = 0;
        }
    }

private:
    Node& m_node;
    double m_prefillMs;
};

} // namespace

bool upstreamFailed( unsigned status ) {
    return status >= firstServerError;
}

Exchange::Exchange( Shared& shared, ClientRequest request, std::shared_ptr<ClientEnd> client,
                    bool clientKeepsAlive )
    : m_shared( shared ), m_table( shared.table ), m_request( std::move( request ) ),
      m_client( std::move( client ) ), m_keepAlive( clientKeepsAlive ) {
    ++m_shared.inFlight;
}

Exchange::~Exchange() {
    --m_shared.inFlight;
}

net::Task<ExchangeResult> Exchange::run() {
    if( !m_table ) {
        std::string reason = "no configuration yet";
        co_await answerOwn( statusUnavailable, std::move( reason ), startRetryAfter );
        co_return ExchangeResult{ m_keepAlive };
    }
    const auto host = m_request.fields.find( http::field::host );
    const auto hostText =
        host == m_request.fields.end() ? std::string_view{} : view( host->value() );
    m_route = m_table->find( hostText, m_request.target );
    const auto* split =
        m_route == nullptr ? nullptr : pickSplit( *m_route, m_shared.random.unit() );
    if( split == nullptr ) {
        std::string reason = "no route";
        co_await answerOwn( statusNotFound, std::move( reason ), Millis{ 0 } );
        logEnd( "no_route" );
        co_return ExchangeResult{ m_keepAlive };
    }
    m_service = split->service;
    m_deadline = m_request.arrived + m_route->timeout;
    if( m_request.head.deadline ) {
        m_deadline = std::min( m_deadline, m_request.arrived + *m_request.head.deadline );
    }
    if( m_shared.pastHandover && m_deadline > m_shared.stopAt ) {
        std::string reason = "leaving";
        co_await answerOwn( statusUnavailable, std::move( reason ), modelRetryAfter );
        logEnd( "refused" );
        co_return ExchangeResult{ m_keepAlive };
    }
    if( m_request.head.generation ) {
        m_prefix = prefixKeys( *m_request.head.generation );
        m_need.generation = &*m_request.head.generation;
        m_need.prefix = m_prefix;
    }
    m_need.service = m_service;
    m_need.goal = m_route->goal;
    m_need.requestBytes = m_request.body.size();
    m_lastEvent = m_request.head.lastEventId;
    co_await forward();
    if( !m_answered && !m_client->left && !m_client->broken ) {
        co_await finishFailed();
    }
    const auto now = std::chrono::steady_clock::now();
    const auto spent = static_cast<double>( millisBetween( m_request.arrived, now ) );
    m_shared.metrics.observe( metrics::Series::request, m_route->name, m_service, spent );
    logEnd( m_client->left ? "client_left" : m_answered ? "answered" : "cut" );
    co_return ExchangeResult{ m_keepAlive && m_answered };
}

net::Task<> Exchange::forward() {
    bool counted = false;
    for( int round = 0; round < m_route->attempts + extraSends; ++round ) {
        auto now = std::chrono::steady_clock::now();
        if( m_client->left || m_shared.sendsEnded || !timeLeft( now ) ) {
            break;
        }
        const auto choice = m_shared.fleet.choose( m_need, m_excluded, now );
        if( !choice.node ) {
            m_lastWhy = choice.candidates == 0 && m_excluded.empty() ? "no upstream" : m_lastWhy;
            break;
        }
        auto& retries = m_shared.retries[m_service];
        if( !counted ) {
            counted = true;
            retries.countFirst( now );
            m_shared.fleet.countDemand( m_need, choice );
        }
        if( !choice.holdsModel || !choice.holdsAdapter ) {
            const auto outcome = co_await prepare( choice );
            now = std::chrono::steady_clock::now();
            if( outcome == EnsureOutcome::needStore && now < m_request.arrived + storeWait() ) {
                // Nobody has the model nearer: the weight store's rate lets it in before long.
                co_await net::pause( m_shared.context, storePoll );
                --round;
                continue;
            }
            if( outcome != EnsureOutcome::ready ) {
                m_excluded.insert( choice.node->upstream.id );
                continue;
            }
        }
        now = std::chrono::steady_clock::now();
        if( m_client->left || m_shared.sendsEnded || !timeLeft( now ) ) {
            break;
        }
        if( !choice.node->takesRequests() ) {
            m_excluded.insert( choice.node->upstream.id );
            continue;
        }
        if( m_sends > 0 ) {
            const RetryShare share{ m_shared.bounds.retryRatio, m_shared.bounds.retrySlack,
                                    m_shared.bounds.retryWindow, m_shared.fleet.gateways() };
            if( !retries.take( share, now ) ) {
                m_shared.metrics.count( "retries_denied" );
                break;
            }
        }
        const auto sent = co_await sendTo( choice.node, choice );
        if( sent.end == SendEnd::answered || sent.end == SendEnd::streamed ||
            sent.end == SendEnd::stopped || !mayTryAgain( sent ) ) {
            break;
        }
        m_excluded.insert( choice.node->upstream.id );
    }
    if( m_answer && !m_answered && !m_headSent && !m_client->left ) {
        const WholeAnswer answer = std::move( *m_answer );
        co_await answerWhole( answer );
    }
}

bool Exchange::mayTryAgain( const Sent& sent ) {
    m_lastWhy = sent.why;
    m_retryAfter = std::max( m_retryAfter, sent.retryAfter );
    if( sent.end == SendEnd::notRun ) {
        return true;
    }
    m_mayHaveRun = true;
    const bool again = sent.end == SendEnd::streamCut ? m_route->resumable : m_route->idempotent();
    return again && m_runs < m_route->attempts;
}

net::Task<EnsureOutcome> Exchange::prepare( const Choice& choice ) {
    const auto& generation = *m_request.head.generation;
    const auto now = std::chrono::steady_clock::now();
    const auto left = remaining( now, m_deadline );
    std::string model = generation.model;
    std::string adapter = generation.adapter;
    NodePtr node = choice.node;
    const auto outcome = co_await m_shared.fleet.ensure( std::move( node ), std::move( model ),
                                                         std::move( adapter ), left );
    const auto took = millisBetween( now, std::chrono::steady_clock::now() );
    log::info( "ensure", { { "id", m_request.head.requestId },
                           { "upstream", choice.node->upstream.id },
                           { "model", generation.model },
                           { "adapter", generation.adapter },
                           { "outcome", nameOf( outcome ) },
                           { "took_ms", took } } );
    if( outcome != EnsureOutcome::ready ) {
        m_lastWhy = "model not ready";
        m_retryAfter = modelRetryAfter;
    }
    co_return outcome;
}

Millis Exchange::storeWait() const {
    // The load itself takes some seconds: a request with a short goal is refused while its client
    // can still come back in time.
    constexpr int goalParts = 2;
    return m_route->goal / goalParts;
}

int Exchange::urgency() const {
    // Rank first, then the time there is: a request with a long goal can wait for a short one.
    constexpr std::int64_t longGoalMs = 2000;
    constexpr int step = 2;
    constexpr int last = 9;
    const int base = 1 + step * m_route->priority;
    return std::min( base + ( m_route->goal.count() > longGoalMs ? step : 0 ), last );
}

std::string Exchange::requestBytes( const Node& node ) const {
    http::fields fields = m_request.fields;
    platform::SendHead head;
    head.upstreamId = node.upstream.id;
    head.deadline = remaining( std::chrono::steady_clock::now(), m_deadline );
    if( m_need.generation != nullptr ) {
        head.urgency = urgency();
    }
    head.lastEventId = m_lastEvent;
    platform::writeSendHead( head, fields );
    std::string out = m_request.method + " " + m_request.target + " HTTP/1.1\r\n";
    appendForwarded( out, fields );
    const bool hasBody =
        !m_request.body.empty() ||
        m_request.fields.find( http::field::content_length ) != m_request.fields.end() ||
        m_request.fields.find( http::field::transfer_encoding ) != m_request.fields.end();
    if( hasBody ) {
        out += "Content-Length: " + std::to_string( m_request.body.size() ) + "\r\n";
    }
    out += "\r\n";
    out += m_request.body;
    return out;
}

net::Task<ConnectionPtr> Exchange::connectionTo( Node& node ) {
    const auto now = std::chrono::steady_clock::now();
    auto kept = node.pool.take( now );
    if( kept ) {
        co_return kept;
    }
    auto out = std::make_shared<UpstreamConnection>( m_shared.context );
    m_client->upstream = out;
    net::ErrorCode ec;
    const auto to = net::endpointOf( node.upstream.ip, node.upstream.port, ec );
    const auto limit = std::min( connectLimit, remaining( now, m_deadline ) );
    ec = co_await net::connect( out->socket, to, limit );
    if( ec ) {
        co_return nullptr;
    }
    net::tune( out->socket, upstreamSilence );
    co_return out;
}

void Exchange::logSend( const Node& node, const Choice& choice, MonoTime now ) const {
    log::info( "send",
               { { "id", m_request.head.requestId },
                 { "route", m_route->name },
                 { "config", static_cast<std::int64_t>( m_table->configuration().version ) },
                 { "upstream", node.upstream.id },
                 { "send", static_cast<std::int64_t>( m_sends ) },
                 { "candidates", static_cast<std::int64_t>( choice.candidates ) },
                 { "cost_ms", static_cast<std::int64_t>( choice.bestCost ) },
                 { "work_ms", static_cast<std::int64_t>( choice.workMs ) },
                 { "report_age_ms", node.report ? millisBetween( node.reportAt, now ) : -1 },
                 { "left_ms", millisBetween( now, m_deadline ) } } );
}

net::Task<Exchange::Sent> Exchange::sendTo( NodePtr node, const Choice& choice ) {
    Sent out;
    const bool generates = m_need.generation != nullptr && node->engine != nullptr;
    auto connection = co_await connectionTo( *node );
    auto now = std::chrono::steady_clock::now();
    if( m_client->left || !timeLeft( now ) ) {
        out.end = SendEnd::stopped;
        co_return out;
    }
    if( !connection ) {
        noteUnreachable( node->health, now );
        out.end = SendEnd::notRun;
        out.why = "connect failed";
        log::info( "connect_failed",
                   { { "id", m_request.head.requestId }, { "upstream", node->upstream.id } } );
        co_return out;
    }
    ++m_sends;
    m_expectedMs = choice.expectedMs;
    m_client->upstream = connection;
    logSend( *node, choice, now );
    if( generates ) {
        node->prefixes.insert( m_prefix, *m_need.generation );
        if( !m_need.generation->adapter.empty() ) {
            node->adaptersUsed.insert( m_need.generation->model + "/" +
                                       m_need.generation->adapter );
        }
    }
    out = co_await receive( *node, connection, choice );
    now = std::chrono::steady_clock::now();
    m_client->upstream.reset();
    if( out.end != SendEnd::notRun ) {
        ++m_runs;
    }
    if( out.end == SendEnd::stopped || m_client->left ) {
        out.end = SendEnd::stopped;
        m_mayHaveRun = true;
        co_return out;
    }
    if( out.end == SendEnd::lost || out.end == SendEnd::streamCut ) {
        noteFailure( node->health, 1.0, now );
        log::info( "send_failed", { { "id", m_request.head.requestId },
                                    { "upstream", node->upstream.id },
                                    { "why", out.why },
                                    { "cut_stream", out.end == SendEnd::streamCut ? "yes" : "no" },
                                    { "after_ms", millisBetween( m_request.arrived, now ) } } );
    }
    if( out.end == SendEnd::notRun ) {
        noteFailure( node->health, 0.5, now );
        log::info( "send_refused", { { "id", m_request.head.requestId },
                                     { "upstream", node->upstream.id },
                                     { "why", out.why } } );
    }
    co_return out;
}

net::Task<Exchange::Sent> Exchange::receive( Node& node, ConnectionPtr connection,
                                             const Choice& choice ) {
    Sent out;
    const auto sentAt = std::chrono::steady_clock::now();
    InFlight inFlight( node, m_need.generation != nullptr ? choice.workMs : 0 );
    net::SocketDeadline deadline( connection->socket, m_deadline - answerMargin );
    // The request is written while its answer is read: an upstream may answer before it has read
    // all of it.
    struct WriteState {
        std::string bytes;
        bool done = false;
    };
    const auto write = std::make_shared<WriteState>();
    write->bytes = requestBytes( node );
    net::asio::async_write(
        connection->socket, net::asio::buffer( write->bytes ),
        [write, connection]( net::ErrorCode ec, std::size_t ) { write->done = !ec; } );
    http::response_parser<http::buffer_body> parser;
    parser.body_limit( boost::none );
    parser.skip( m_request.method == "HEAD" );
    auto [headError, headBytes] = co_await http::async_read_header(
        connection->socket, connection->buf, parser, net::tupled );
    auto now = std::chrono::steady_clock::now();
    if( headError ) {
        out.end = deadline.expired() || m_client->left ? SendEnd::stopped : SendEnd::lost;
        out.why = headError.message();
        connection->socket.close( headError );
        co_return out;
    }
    node.lastHeard = now;
    const auto& message = parser.get();
    const auto head = platform::readAnswerHead( message.result_int(), message );
    if( head.requestId != m_request.head.requestId && head.answerClass == AnswerClass::complete ) {
        // An answer to an earlier request: what follows on this connection can't be trusted.
        out.why = "answer to another request";
        connection->socket.close( headError );
        co_return out;
    }
    const bool streams = m_route->kind == RequestKind::stream && message.result_int() == statusOk &&
                         head.answerClass == AnswerClass::complete;
    if( streams && head.sealed ) {
        const bool chunkedOrSized = !parser.need_eof();
        if( !m_headSent ) {
            WholeAnswer kept;
            kept.status = message.result_int();
            kept.reason = std::string( view( message.reason() ) );
            kept.fields = message.base();
            m_answer = std::move( kept );
        }
        // passStream goes on with its own parser state: hand the bytes of the body over.
        EventCutter cutter( m_lastEvent );
        bool first = true;
        std::string buf( readBytes, '\0' );
        for( ;; ) {
            parser.get().body().data = buf.data();
            parser.get().body().size = buf.size();
            parser.get().body().more = true;
            net::ErrorCode ec;
            if( !parser.is_done() ) {
                const auto [error, n] = co_await http::async_read_some(
                    connection->socket, connection->buf, parser, net::tupled );
                ec = error;
            }
            if( ec == http::error::need_buffer ) {
                ec = {};
            }
            now = std::chrono::steady_clock::now();
            const auto got = buf.size() - parser.get().body().size;
            std::string events;
            const bool sound = cutter.feed( std::string_view( buf ).substr( 0, got ), events );
            if( !events.empty() && sound ) {
                node.lastHeard = now;
                if( first ) {
                    first = false;
                    inFlight.prefillDone();
                    const auto took = static_cast<double>( millisBetween( sentAt, now ) );
                    noteSuccess( node.health, took,
                                 choice.expectedMs + usualRetryAfter.count() / 4.0, now );
                    m_shared.metrics.observe(
                        metrics::Series::firstToken, m_route->name, m_service,
                        static_cast<double>( millisBetween( m_request.arrived, now ) ) );
                }
                std::string bytes;
                if( !m_headSent ) {
                    bytes = answerHeadText( m_answer->status, m_answer->reason, m_answer->fields,
                                            "Transfer-Encoding: chunked\r\n", keepsAlive() );
                    m_headSent = true;
                    m_status = m_answer->status;
                    m_answer.reset();
                }
                bytes += chunkText( events );
                m_lastEvent = cutter.last();
                noteEvents( now );
                const bool written = co_await writeClient( std::move( bytes ) );
                if( !written ) {
                    out.end = SendEnd::stopped;
                    connection->socket.close( ec );
                    co_return out;
                }
            }
            const bool ended = !ec && parser.is_done();
            const bool endedByClose = ended && !chunkedOrSized;
            if( ended && sound && cutter.atBoundary() ) {
                out.end = SendEnd::streamed;
                std::string bytes;
                if( !m_headSent ) {
                    bytes = answerHeadText( m_answer->status, m_answer->reason, m_answer->fields,
                                            "Transfer-Encoding: chunked\r\n", keepsAlive() );
                    m_headSent = true;
                    m_status = m_answer->status;
                    m_answer.reset();
                }
                bytes += lastChunk;
                m_answered = co_await writeClient( std::move( bytes ) );
                if( parser.keep_alive() && !endedByClose && write->done &&
                    connection->buf.size() == 0 ) {
                    connection->goodUntil = reuseUntil( parser.get().base(), now );
                    deadline.cancel();
                    node.pool.put( connection );
                } else {
                    connection->socket.close( ec );
                }
                co_return out;
            }
            if( ec || !sound || ended ) {
                const bool over = deadline.expired() || m_client->left;
                out.end = over ? SendEnd::stopped : m_headSent ? SendEnd::streamCut : SendEnd::lost;
                out.why = !sound ? "events out of order"
                          : ec   ? ec.message()
                                 : "cut inside an event";
                if( !m_headSent ) {
                    m_answer.reset();
                }
                connection->socket.close( ec );
                co_return out;
            }
        }
    }
    // A whole answer: taken in full before any of it is passed on.
    WholeAnswer whole;
    whole.status = message.result_int();
    whole.reason = std::string( view( message.reason() ) );
    whole.fields = message.base();
    const bool closes = parser.need_eof();
    std::string buf( readBytes, '\0' );
    bool complete = parser.is_done();
    while( !complete ) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        parser.get().body().more = true;
        auto [ec, n] = co_await http::async_read_some( connection->socket, connection->buf, parser,
                                                       net::tupled );
        if( ec == http::error::need_buffer ) {
            ec = {};
        }
        whole.body.append( buf, 0, buf.size() - parser.get().body().size );
        if( ec || whole.body.size() > maxWholeAnswer ) {
            out.why = ec ? ec.message() : "answer too large";
            break;
        }
        complete = parser.is_done();
    }
    now = std::chrono::steady_clock::now();
    const bool reusable =
        complete && parser.keep_alive() && !closes && write->done && connection->buf.size() == 0;
    const bool late = deadline.expired();
    deadline.cancel();
    if( reusable ) {
        connection->goodUntil = reuseUntil( whole.fields, now );
        node.pool.put( connection );
    } else {
        net::ErrorCode ec;
        connection->socket.close( ec );
    }
    if( !head.actualUpstream.empty() && head.actualUpstream != node.upstream.id ) {
        node.replaced = true;
    }
    if( head.answerClass != AnswerClass::complete ) {
        out.end = SendEnd::notRun;
        out.why = "status " + std::to_string( whole.status );
        co_return out;
    }
    if( !complete ) {
        out.end = late || m_client->left ? SendEnd::stopped : SendEnd::lost;
        co_return out;
    }
    if( !head.sealed && whole.status < firstError ) {
        out.why = "unsigned answer";
        co_return out;
    }
    m_answer = std::move( whole );
    if( upstreamFailed( m_answer->status ) && m_route->idempotent() &&
        m_runs + 1 < m_route->attempts ) {
        out.why = "status " + std::to_string( m_answer->status );
        co_return out;
    }
    if( !upstreamFailed( m_answer->status ) ) {
        noteSuccess( node.health, static_cast<double>( millisBetween( sentAt, now ) ),
                     choice.expectedMs + usualRetryAfter.count() / 4.0, now );
    }
    out.end = SendEnd::answered;
    co_return out;
}

net::Task<bool> Exchange::writeClient( std::string bytes ) {
    if( m_client->left || m_client->broken ) {
        co_return false;
    }
    const auto buf = net::asio::buffer( bytes );
    const auto [ec, n] = co_await net::asio::async_write( m_client->socket, buf, net::tupled );
    if( ec ) {
        m_client->broken = true;
    }
    co_return !ec;
}

net::Task<> Exchange::answerWhole( const WholeAnswer& answer ) {
    m_status = answer.status;
    std::string framing = "Content-Length: " + std::to_string( answer.body.size() ) + "\r\n";
    std::string bytes =
        answerHeadText( answer.status, answer.reason, answer.fields, framing, keepsAlive() );
    bytes += answer.body;
    m_answered = co_await writeClient( std::move( bytes ) );
}

net::Task<> Exchange::answerOwn( unsigned status, std::string reason, Millis retryAfter ) {
    WholeAnswer answer;
    answer.status = status;
    answer.own = true;
    answer.fields.set( http::field::content_type, "text/plain" );
    if( retryAfter.count() > 0 ) {
        answer.fields.set( http::field::retry_after, platform::retryAfterText( retryAfter ) );
    }
    answer.body = reason + "\n";
    m_shared.metrics.count( "own_answers", std::to_string( status ) );
    log::info( "own_answer", { { "id", m_request.head.requestId },
                               { "status", static_cast<std::int64_t>( status ) },
                               { "why", reason },
                               { "retry_after_ms", retryAfter.count() } } );
    co_await answerWhole( answer );
}

net::Task<> Exchange::finishFailed() {
    if( m_headSent ) {
        // Part of a stream is out: only cutting the connection shows that it is not whole.
        m_keepAlive = false;
        net::ErrorCode ec;
        m_client->socket.close( ec );
        co_return;
    }
    const bool late = !timeLeft( std::chrono::steady_clock::now() + answerMargin );
    std::string reason = m_lastWhy.empty() ? "out of time" : m_lastWhy;
    if( !m_mayHaveRun ) {
        const auto after = m_retryAfter.count() > 0 ? m_retryAfter : usualRetryAfter;
        co_await answerOwn( statusUnavailable, std::move( reason ), after );
        co_return;
    }
    co_await answerOwn( late ? statusGatewayTimeout : statusBadGateway, std::move( reason ),
                        Millis{ 0 } );
}

void Exchange::noteEvents( MonoTime now ) {
    if( !m_firstEvent ) {
        m_firstEvent = std::chrono::duration_cast<Millis>( now - m_request.arrived );
    } else {
        const auto pause = std::chrono::duration_cast<Millis>( now - m_lastEventAt );
        m_longestPause = std::max( m_longestPause, pause );
    }
    m_lastEventAt = now;
}

void Exchange::logEnd( std::string_view outcome ) const {
    const auto now = std::chrono::steady_clock::now();
    log::info( "request_end", { { "id", m_request.head.requestId },
                                { "route", m_route != nullptr ? m_route->name : "" },
                                { "outcome", outcome },
                                { "status", static_cast<std::int64_t>( m_status ) },
                                { "sends", static_cast<std::int64_t>( m_sends ) },
                                { "first_event_ms", m_firstEvent ? m_firstEvent->count() : -1 },
                                { "expected_ms", static_cast<std::int64_t>( m_expectedMs ) },
                                { "longest_pause_ms", m_longestPause.count() },
                                { "took_ms", millisBetween( m_request.arrived, now ) } } );
}

} // namespace coursehead::gateway
