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
//! The caller's own patience beyond the deadline that it states.
constexpr Millis patience{ 1500 };
constexpr Millis connectLimit{ 800 };
constexpr int mostPauseMs = 80;
//! A request that crosses the closing of a connection is nobody's fault.
constexpr Millis crossing{ 300 };
//! Faults that ended this long before a request do not excuse its end.
constexpr Millis excused{ 1000 };
constexpr int leavesOf100 = 4;
constexpr Millis leaveAfter{ 150 };
constexpr Millis probeEvery{ 150 };
constexpr Millis configurationSlack{ 400 };
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
    bool good = false;
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
        if( !connection || !connection->good ) {
            connection =
                std::make_shared<Connection>( m_deployment.context(), m_deployment.pickGateway() );
            net::ErrorCode ec;
            const auto to = net::endpointOf( connection->gateway.reachedIp, frontPort, ec );
            ec = co_await net::connect( connection->socket, to, connectLimit );
            connection->good = !ec;
        }
        if( connection->good ) {
            co_await ask( connection );
        }
        const Millis rest( static_cast<std::int64_t>( random.below( mostPauseMs ) ) );
        co_await net::pause( m_deployment.context(), rest );
    }
}

std::string Callers::requestFor( const Asked& asked ) {
    auto& random = m_deployment.random();
    const bool posts = asked.kind != Kind::safe;
    const std::string body = posts ? "body of " + asked.id : "";
    std::ostringstream out;
    out << ( posts ? "POST" : "GET" ) << " /" << nameOf( asked.kind )
        << "/x HTTP/1.1\r\nHost: " << hostName << "\r\nX-Request-Id: " << asked.id
        << "\r\nX-Deadline-Ms: " << requestDeadline.count() << "\r\n";
    if( asked.kind == Kind::stream || asked.kind == Kind::fragile ) {
        // Half of the requests go to one model, a third of all use adapters.
        const auto model = random.below( 2 ) == 0 ? 0 : random.below( modelCount );
        out << "X-Model: m" << model;
        if( random.below( 3 ) == 0 ) {
            out << "/a" << 1 + random.below( adapterCount );
        }
        out << "\r\nX-Token-Counts: 2000,100\r\nX-Prompt-Prefix: " << std::hex
            << 1 + random.below( 9 ) << ":1500," << asked.id << ":500\r\n"
            << std::dec;
    }
    if( posts ) {
        out << "Content-Length: " << body.size() << "\r\n";
    }
    out << "\r\n" << body;
    return out.str();
}

net::Task<> Callers::ask( std::shared_ptr<Connection> connection ) {
    auto& random = m_deployment.random();
    Asked asked;
    std::ostringstream id;
    id << std::hex << m_deployment.options().seed % 4096 << "0" << ++m_next;
    asked.id = id.str();
    asked.kind = static_cast<Kind>( random.below( kinds ) );
    asked.leaves = random.below( 100 ) < leavesOf100;
    asked.sentAt = MonoClock::now();
    m_deployment.record().asked( asked.id, asked.kind );
    ++m_tally.asked;
    const auto text = requestFor( asked );
    const auto bytes = net::asio::buffer( text );
    const auto [failed, n] =
        co_await net::asio::async_write( connection->socket, bytes, net::tupled );
    const auto limit = asked.leaves ? leaveAfter : requestDeadline + patience;
    http::response_parser<http::string_body> parser;
    parser.body_limit( boost::none );
    net::ErrorCode ec = failed;
    if( !ec ) {
        net::SocketDeadline deadline( connection->socket, asked.sentAt + limit );
        const auto [cut, got] =
            co_await http::async_read( connection->socket, connection->buf, parser, net::tupled );
        ec = cut;
    }
    connection->good = !ec && parser.keep_alive() && connection->buf.size() == 0;
    if( !connection->good ) {
        net::ErrorCode ignored;
        connection->socket.close( ignored );
    }
    const bool head = parser.is_header_done();
    if( asked.leaves && ec ) {
        m_deployment.record().count( "left" );
        --m_tally.asked;
        co_return;
    }
    if( !head ) {
        judgeCut( asked );
        co_return;
    }
    auto& response = parser.get();
    if( response["X-Request-Id"] != "" && response["X-Request-Id"] != asked.id ) {
        m_deployment.record().breach( "own answers", asked.id + " gets that of " +
                                                         std::string( response["X-Request-Id"] ) );
    }
    judge( asked, response.result_int(), std::string( response["X-Response-Seal"] ),
           std::string( response[http::field::retry_after] ), response.body(), !ec );
}

void Callers::judgeCut( const Asked& asked ) {
    auto& record = m_deployment.record();
    record.count( "cut" );
    const auto took = MonoClock::now() - asked.sentAt;
    const bool passedOn = record.runs( asked.id ) > 0;
    const bool counts = record.calmSince( asked.sentAt - excused ) && took < requestDeadline &&
                        ( passedOn || took > crossing );
    if( counts ) {
        record.breach( "planned work cuts nothing",
                       asked.id + " (" + std::string( nameOf( asked.kind ) ) + ") is cut after " +
                           std::to_string( std::chrono::duration_cast<Millis>( took ).count() ) +
                           " ms, runs: " + std::to_string( record.runs( asked.id ) ) );
    }
}

void Callers::judge( const Asked& asked, unsigned status, const std::string& seal,
                     const std::string& retryAfter, const std::string& body, bool whole ) {
    auto& record = m_deployment.record();
    const bool streams = asked.kind == Kind::stream || asked.kind == Kind::fragile;
    if( status == statusOk && streams ) {
        judgeEvents( asked, body, whole );
        return;
    }
    if( !whole ) {
        judgeCut( asked );
        return;
    }
    record.count( "status " + std::to_string( status ) );
    if( status == statusOk ) {
        judgeBody( asked, seal, body );
    } else if( promisesNotRun( status ) ) {
        record.toldNotRun( asked.id );
        if( status == 503 && retryAfter.empty() ) {
            record.breach( "a refusal says when to come back", asked.id );
        }
    } else if( status != 500 && status != 502 && status != 504 ) {
        record.breach( "proper requests are served",
                       asked.id + ": status " + std::to_string( status ) );
    }
}

void Callers::judgeBody( const Asked& asked, const std::string& seal, const std::string& body ) {
    const bool own =
        body == Runner::bodyFor( asked.id ) && seal == Runner::sealFor( asked.id, body );
    if( !own ) {
        m_deployment.record().breach( "whole and own answers", asked.id + ": " + body );
        return;
    }
    ++m_tally.served;
}

void Callers::judgeEvents( const Asked& asked, const std::string& body, bool whole ) {
    auto& record = m_deployment.record();
    const int all = Runner::eventsFor( asked.id );
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
        if( id != asked.id || number != expected ) {
            record.breach( "order of pieces", asked.id + ": after " + std::to_string( last ) +
                                                  " comes '" + line + "'" );
            return;
        }
        ++last;
        firstRun = firstRun.empty() ? run : firstRun;
        if( asked.kind == Kind::fragile && run != firstRun ) {
            record.breach( "no piece of another run", asked.id );
        }
    }
    if( whole && last != all ) {
        record.breach( "a stream that lacks its end looks incomplete", asked.id );
    }
    if( whole ) {
        record.count( "streams whole" );
        ++m_tally.served;
    } else {
        record.count( "streams cut" );
    }
}

net::Task<> Callers::probeConfiguration() {
    auto& record = m_deployment.record();
    while( !m_stopped ) {
        co_await net::pause( m_deployment.context(), probeEvery );
        auto& gateways = m_deployment.gateways();
        auto& gateway = *gateways[m_deployment.random().below( gateways.size() )];
        if( gateway.seenLife != gateway.child->lives() ) {
            gateway.seenLife = gateway.child->lives();
            gateway.seenConfig = 0;
        }
        const auto since = m_deployment.changedAt();
        const auto age = MonoClock::now() - since;
        const bool due = age > configurationBound + configurationSlack &&
                         record.calmSince( since - contactBound ) && gateway.misses == 0 &&
                         gateway.stopAsked == MonoTime{};
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
    const int life = gateway.child->lives();
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
    net::SocketDeadline deadline( socket, MonoClock::now() + patience );
    const auto [cut, n] = co_await http::async_read( socket, buf, response, net::tupled );
    if( cut || gateway.child->lives() != life ) {
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
