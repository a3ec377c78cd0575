// SPDX-License-Identifier: BSL-1.0
#include "net/json_client.hpp"

#include "coursehead/kernel/log.hpp"
#include "net/answer_status.hpp"

#include <boost/beast/http.hpp>

namespace coursehead::net {

namespace http = boost::beast::http;

namespace {

//! Largest response body that is accepted; a full configuration is well below a megabyte.
constexpr std::uint64_t maxAnswerBytes = 16U << 20U;
constexpr Millis connectLimit{ 1000 };

http::request<http::string_body> makeRequest( const JsonCall& call, const std::string& host ) {
    constexpr unsigned http11 = 11;
    http::request<http::string_body> out( http::string_to_verb( call.method ), call.target,
                                          http11 );
    out.set( http::field::host, host );
    for( const auto& [name, value] : call.headers ) {
        out.set( name, value );
    }
    if( !call.body.empty() ) {
        out.set( http::field::content_type, "application/json" );
        out.body() = call.body;
    }
    out.prepare_payload();
    return out;
}

//! False if the response names another call. One that names none is taken for this call's.
bool answersCall( const http::fields& response, const http::fields& request,
                  const std::string& repeatedHeader ) {
    const auto it = response.find( repeatedHeader );
    return repeatedHeader.empty() || it == response.end() || it->value() == request[repeatedHeader];
}

} // namespace

JsonClient::JsonClient( asio::io_context& context, std::string ip, int port )
    : m_context( context ), m_ip( std::move( ip ) ), m_port( port ) {}

void JsonClient::disconnect() {
    m_socket.reset();
    m_buf.clear();
}

Task<bool> JsonClient::ensureConnected( MonoTime deadline ) {
    if( m_socket ) {
        co_return true;
    }
    auto socket = std::make_unique<Socket>( m_context );
    ErrorCode ec;
    const auto to = endpointOf( m_ip, m_port, ec );
    if( ec ) {
        co_return false;
    }
    const auto left = remaining( MonoClock::now(), deadline );
    ec = co_await connect( *socket, to, std::min( left, connectLimit ) );
    if( ec ) {
        co_return false;
    }
    configureSocket( *socket, connectLimit );
    m_socket = std::move( socket );
    co_return true;
}

Task<JsonResponse> JsonClient::callOnce( const JsonCall& call, MonoTime deadline ) {
    JsonResponse out;
    const bool connected = co_await ensureConnected( deadline );
    if( !connected ) {
        co_return out;
    }
    out.outcome = CallOutcome::unknown;
    const auto request = makeRequest( call, m_ip );
    http::response_parser<http::string_body> parser;
    parser.body_limit( maxAnswerBytes );
    bool complete = false;
    {
        SocketDeadline timer( *m_socket, deadline );
        auto [writeError, written] = co_await http::async_write( *m_socket, request, tupled );
        if( !writeError ) {
            auto [readError, got] = co_await http::async_read( *m_socket, m_buf, parser, tupled );
            complete = !readError;
        }
    }
    if( !complete ) {
        disconnect();
        co_return out;
    }
    const bool isFinal = isFinalStatus( parser.get().result_int() );
    if( !isFinal || !answersCall( parser.get(), request, call.repeatedHeader ) ) {
        log::info( isFinal ? "answer_to_another_call" : "answer_with_invalid_status",
                   { { "target", call.target },
                     { "status", static_cast<std::int64_t>( parser.get().result_int() ) } } );
        disconnect();
        co_return out;
    }
    out.outcome = CallOutcome::answered;
    out.status = parser.get().result_int();
    out.body = std::move( parser.get().body() );
    if( !call.responseHeader.empty() ) {
        out.responseHeader = std::string( parser.get()[call.responseHeader] );
    }
    if( !parser.keep_alive() || m_buf.size() > 0 || !m_socket->is_open() ) {
        disconnect();
    }
    co_return out;
}

Task<JsonResponse> JsonClient::call( const JsonCall& call ) {
    const auto deadline = MonoClock::now() + call.limit;
    const bool reused = m_socket != nullptr;
    auto out = co_await callOnce( call, deadline );
    const bool retry = reused && out.outcome == CallOutcome::unknown && call.method == "GET" &&
                       MonoClock::now() < deadline;
    if( retry ) {
        out = co_await callOnce( call, deadline );
    }
    co_return out;
}

} // namespace coursehead::net
