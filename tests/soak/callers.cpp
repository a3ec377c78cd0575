// SPDX-License-Identifier: BSL-1.0
#include "soak/callers.hpp"

#include "soak/models.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <sstream>

namespace coursehead::soak {

namespace http = boost::beast::http;

namespace {

constexpr Millis requestDeadline{ 3500 };
//! Time that a caller waits beyond the deadline that its request states.
constexpr Millis extraClientTimeout{ 1500 };
constexpr Millis connectLimit{ 800 };
constexpr int maxPauseMs = 80;
//! A request may be lost without a fault if the peer closes the connection while the request is on
//! its way; a cut within this time of sending is therefore accepted.
constexpr Millis closeRaceTolerance{ 300 };
//! A fault excuses a cut response only if the disturbance ended less than this time before the
//! request was sent.
constexpr Millis faultEffectTime{ 1000 };
constexpr int earlyDisconnectPercent = 4;
constexpr Millis earlyDisconnectAfter{ 150 };
constexpr Millis probeInterval{ 150 };
constexpr Millis configurationTolerance{ 400 };
constexpr unsigned statusOk = 200;

bool promisesNotRun( unsigned status ) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

struct Callers::Connection {
    Connection( net::asio::io_context& context, Process& to ) : socket( context ), gateway( to ) {}
    net::Socket socket;
    boost::beast::flat_buffer buf;
    Process& gateway;
    bool usable = false;
};

void Callers::start() {
    for( int n = 0; n < m_deployment.options().callers; ++n ) {
        net::start( m_deployment.context(), call(), "caller" );
    }
    net::start( m_deployment.context(), probeConfiguration(), "configuration probe" );
}

net::Task<> Callers::call() {
    std::shared_ptr<Connection> connection;
    auto& random = m_deployment.random();
    while( !m_stopped ) {
        if( !connection || !connection->usable ) {
            connection =
                std::make_shared<Connection>( m_deployment.context(), m_deployment.pickGateway() );
            net::ErrorCode ec;
            const auto to = net::endpointOf( connection->gateway.reachedIp, frontPort, ec );
            ec = co_await net::connect( connection->socket, to, connectLimit );
            connection->usable = !ec;
        }
        if( connection->usable ) {
            co_await ask( connection );
        }
        const Millis pauseLength( static_cast<std::int64_t>( random.below( maxPauseMs ) ) );
        co_await net::pause( m_deployment.context(), pauseLength );
    }
}

std::string Callers::requestFor( const SentRequest& request ) {
    auto& random = m_deployment.random();
    const bool hasBody = request.kind != Kind::safe;
    const std::string body = hasBody ? "body of " + request.id : "";
    std::ostringstream out;
    out << ( hasBody ? "POST" : "GET" ) << " /" << nameOf( request.kind )
        << "/x HTTP/1.1\r\nHost: " << hostName << "\r\nX-Request-Id: " << request.id
        << "\r\nX-Deadline-Ms: " << requestDeadline.count() << "\r\n";
    if( request.kind == Kind::stream || request.kind == Kind::fragile ) {
        // Half of the requests use m0, the others any model; a third of all requests use an
        // adapter.
        const auto model = random.below( 2 ) == 0 ? 0 : random.below( modelCount );
        out << "X-Model: m" << model;
        if( random.below( 3 ) == 0 ) {
            out << "/a" << 1 + random.below( adapterCount );
        }
        out << "\r\nX-Token-Counts: 2000,100\r\nX-Prompt-Prefix: " << std::hex
            << 1 + random.below( 9 ) << ":1500," << request.id << ":500\r\n"
            << std::dec;
    }
    if( hasBody ) {
        out << "Content-Length: " << body.size() << "\r\n";
    }
    out << "\r\n" << body;
    return out.str();
}

net::Task<> Callers::ask( std::shared_ptr<Connection> connection ) {
    auto& random = m_deployment.random();
    SentRequest request;
    std::ostringstream id;
    id << std::hex << m_deployment.options().seed % 4096 << "0" << ++m_next;
    request.id = id.str();
    request.kind = static_cast<Kind>( random.below( kinds ) );
    request.disconnectsEarly = random.below( 100 ) < earlyDisconnectPercent;
    request.sentAt = MonoClock::now();
    m_deployment.record().asked( request.id, request.kind );
    ++m_tally.sent;
    const auto text = requestFor( request );
    const auto bytes = net::asio::buffer( text );
    const auto [writeError, n] =
        co_await net::asio::async_write( connection->socket, bytes, net::tupled );
    const auto limit =
        request.disconnectsEarly ? earlyDisconnectAfter : requestDeadline + extraClientTimeout;
    http::response_parser<http::string_body> parser;
    parser.body_limit( boost::none );
    net::ErrorCode ec = writeError;
    if( !ec ) {
        net::SocketDeadline deadline( connection->socket, request.sentAt + limit );
        const auto [readError, got] =
            co_await http::async_read( connection->socket, connection->buf, parser, net::tupled );
        ec = readError;
    }
    connection->usable = !ec && parser.keep_alive() && connection->buf.size() == 0;
    if( !connection->usable ) {
        net::ErrorCode ignored;
        connection->socket.close( ignored );
    }
    const bool headReceived = parser.is_header_done();
    if( request.disconnectsEarly && ec ) {
        m_deployment.record().count( "left" );
        --m_tally.sent;
        co_return;
    }
    if( !headReceived ) {
        checkCutResponse( request );
        co_return;
    }
    auto& response = parser.get();
    if( response["X-Request-Id"] != "" && response["X-Request-Id"] != request.id ) {
        m_deployment.record().breach( "own answers", request.id + " gets that of " +
                                                         std::string( response["X-Request-Id"] ) );
    }
    checkResponse( request, response.result_int(), std::string( response["X-Response-Seal"] ),
                   std::string( response[http::field::retry_after] ), response.body(), !ec );
}

void Callers::checkCutResponse( const SentRequest& request ) {
    auto& record = m_deployment.record();
    record.count( "cut" );
    const auto elapsed = MonoClock::now() - request.sentAt;
    const bool reachedUpstream = record.runs( request.id ) > 0;
    const bool mustNotBeCut = record.undisturbedSince( request.sentAt - faultEffectTime ) &&
                              elapsed < requestDeadline &&
                              ( reachedUpstream || elapsed > closeRaceTolerance );
    if( mustNotBeCut ) {
        record.breach( "planned work cuts nothing",
                       request.id + " (" + std::string( nameOf( request.kind ) ) +
                           ") is cut after " +
                           std::to_string( std::chrono::duration_cast<Millis>( elapsed ).count() ) +
                           " ms, runs: " + std::to_string( record.runs( request.id ) ) );
    }
}

void Callers::checkResponse( const SentRequest& request, unsigned status, const std::string& seal,
                             const std::string& retryAfter, const std::string& body,
                             bool complete ) {
    auto& record = m_deployment.record();
    const bool isStream = request.kind == Kind::stream || request.kind == Kind::fragile;
    if( status == statusOk && isStream ) {
        checkEvents( request, body, complete );
        return;
    }
    if( !complete ) {
        checkCutResponse( request );
        return;
    }
    record.count( "status " + std::to_string( status ) );
    if( status == statusOk ) {
        checkBody( request, seal, body );
    } else if( promisesNotRun( status ) ) {
        record.reportedNotRun( request.id );
        if( status == 503 && retryAfter.empty() ) {
            record.breach( "a refusal says when to come back", request.id );
        }
    } else if( status != 500 && status != 502 && status != 504 ) {
        record.breach( "proper requests are served",
                       request.id + ": status " + std::to_string( status ) );
    }
}

void Callers::checkBody( const SentRequest& request, const std::string& seal,
                         const std::string& body ) {
    const bool matches =
        body == Runner::bodyFor( request.id ) && seal == Runner::sealFor( request.id, body );
    if( !matches ) {
        m_deployment.record().breach( "whole and own answers", request.id + ": " + body );
        return;
    }
    ++m_tally.served;
}

void Callers::checkEvents( const SentRequest& request, const std::string& body, bool complete ) {
    auto& record = m_deployment.record();
    const int all = Runner::eventsFor( request.id );
    int last = 0;
    std::string firstRun;
    std::istringstream in( body );
    std::string line;
    while( std::getline( in, line ) ) {
        if( !line.starts_with( "data: " ) ) {
            continue;
        }
        std::istringstream data( line.substr( 6 ) );
        std::string id;
        std::string number;
        std::string run;
        data >> id >> number >> run;
        const auto expected = std::to_string( last + 1 ) + "/" + std::to_string( all );
        if( id != request.id || number != expected ) {
            record.breach( "order of pieces", request.id + ": after " + std::to_string( last ) +
                                                  " comes '" + line + "'" );
            return;
        }
        ++last;
        firstRun = firstRun.empty() ? run : firstRun;
        if( request.kind == Kind::fragile && run != firstRun ) {
            record.breach( "no piece of another run", request.id );
        }
    }
    if( complete && last != all ) {
        record.breach( "a stream that lacks its end looks incomplete", request.id );
    }
    if( complete ) {
        record.count( "streams whole" );
        ++m_tally.served;
    } else {
        record.count( "streams cut" );
    }
}

net::Task<> Callers::probeConfiguration() {
    auto& record = m_deployment.record();
    while( !m_stopped ) {
        co_await net::pause( m_deployment.context(), probeInterval );
        auto& gateways = m_deployment.gateways();
        auto& gateway = *gateways[m_deployment.random().below( gateways.size() )];
        if( gateway.seenStarts != gateway.child->starts() ) {
            gateway.seenStarts = gateway.child->starts();
            gateway.seenConfig = 0;
        }
        const auto since = m_deployment.changedAt();
        const auto age = MonoClock::now() - since;
        const bool due = age > configurationBound + configurationTolerance &&
                         record.undisturbedSince( since - contactBound ) && gateway.misses == 0 &&
                         gateway.stopRequestedAt == MonoTime{};
        const auto version = due ? m_deployment.version() : gateway.seenConfig;
        const bool routed = version > 0 && version + 2 > m_deployment.version();
        if( routed ) {
            co_await probe( gateway, version, due );
        }
    }
}

net::Task<> Callers::probe( Process& gateway, std::uint64_t version, bool due ) {
    auto& record = m_deployment.record();
    std::ostringstream name;
    name << "c0" << std::hex << ++m_next;
    const auto id = name.str();
    record.asked( id, Kind::safe );
    const int startsBefore = gateway.child->starts();
    net::Socket socket( m_deployment.context() );
    net::ErrorCode ec;
    const auto to = net::endpointOf( gateway.ip, frontPort, ec );
    ec = co_await net::connect( socket, to, connectLimit );
    if( ec ) {
        co_return;
    }
    const auto text = "GET /v" + std::to_string( version ) + "/x HTTP/1.1\r\nHost: " + hostName +
                      "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\n\r\n";
    const auto bytes = net::asio::buffer( text );
    co_await net::asio::async_write( socket, bytes, net::tupled );
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    net::SocketDeadline deadline( socket, MonoClock::now() + extraClientTimeout );
    const auto [readError, n] = co_await http::async_read( socket, buf, response, net::tupled );
    if( readError || gateway.child->starts() != startsBefore ) {
        co_return;
    }
    const bool known = response.result_int() != 404;
    const bool started = response.result_int() != 503;
    if( known && started ) {
        gateway.seenConfig = std::max( gateway.seenConfig, version );
    }
    const bool routed = version + 3 > m_deployment.version();
    if( !known && routed && version <= gateway.seenConfig ) {
        record.breach( "configuration never goes back",
                       gateway.name + " forgets version " + std::to_string( version ) );
    }
    if( !known && routed && due ) {
        record.breach( "configuration is in force everywhere",
                       gateway.name + " does not know version " + std::to_string( version ) );
    }
}

} // namespace coursehead::soak
