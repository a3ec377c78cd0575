// SPDX-License-Identifier: BSL-1.0
#include "coursehead/http/client.hpp"

#include "coursehead/kernel/settings.hpp"
#include "http/target.hpp"
#include "net/answer_status.hpp"
#include "net/net.hpp"
#include "net/read_buffer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>

#include <atomic>

namespace coursehead::http {

namespace beast = boost::beast::http;

namespace {

constexpr std::uint32_t maxHeadBytes = 64U << 10U;
//! Limit on the body of a response that call() holds in memory.
constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr std::size_t readBufferBytes = 16U << 10U;

using RequestMessage = beast::request<beast::string_body>;
using ResponseParser = beast::response_parser<beast::buffer_body>;

RequestMessage messageOf( const Request& from, const settings::HostPort& to ) {
    RequestMessage out;
    out.method_string( from.method );
    out.target( targetOf( from ) );
    out.set( beast::field::host, to.host + ":" + std::to_string( to.port ) );
    out.set( beast::field::accept, "*/*" );
    if( !from.body.empty() ) {
        out.set( beast::field::content_type, "application/json" );
    }
    for( const auto& [name, value] : from.headers ) {
        out.set( name, value );
    }
    out.body() = from.body;
    out.prepare_payload();
    return out;
}

Response headOf( const ResponseParser& parser ) {
    const auto& message = parser.get();
    Response out;
    out.status = static_cast<int>( message.result_int() );
    for( const auto& it : message ) {
        out.headers.emplace( it.name_string(), it.value() );
    }
    out.contentType = std::string( message[beast::field::content_type] );
    return out;
}

} // namespace

struct Client::Impl {
    Impl( settings::HostPort server, Timeouts limits )
        : m_peer( std::move( server ) ), m_timeouts( limits ), m_buf( maxHeadBytes ) {}

    //! Makes a call on the calling thread, which runs the event loop meanwhile.
    Outcome run( const Request& request, const Receiver& receiver );
    void abort();

private:
    net::Task<Outcome> exchange( const Request& request, const Receiver& receiver );
    net::Task<net::ErrorCode> ensureConnected();
    net::Task<net::ErrorCode> write( const RequestMessage& message );
    //! Reads the head of the final response.
    net::Task<net::ErrorCode> readHead( std::optional<ResponseParser>& parser, bool bodiless );
    //! Passes the body on; asio::error::operation_aborted if the receiver ends the call.
    net::Task<net::ErrorCode> readBody( ResponseParser& parser, const Receiver& receiver );
    void disconnect();
    MonoTime readDeadline() const { return MonoClock::now() + m_timeouts.read; }

    settings::HostPort m_peer;
    Timeouts m_timeouts;
    net::asio::io_context m_context;
    std::unique_ptr<net::Socket> m_socket; //!< null: not connected
    net::ReadBuffer m_buf;
    std::atomic<bool> m_aborted{ false };
};

void Client::Impl::disconnect() {
    m_socket.reset();
    m_buf.clear();
}

void Client::Impl::abort() {
    m_aborted = true;
    net::asio::post( m_context, [this] {
        if( m_socket ) {
            net::ErrorCode ec;
            m_socket->close( ec );
        }
    } );
}

net::Task<net::ErrorCode> Client::Impl::ensureConnected() {
    net::ErrorCode ec;
    if( m_socket && m_buf.size() == 0 && net::isOpenAndSilent( *m_socket ) ) {
        co_return ec;
    }
    disconnect();
    net::tcp::resolver resolver( m_context );
    const auto found = resolver.resolve( m_peer.host, std::to_string( m_peer.port ), ec );
    if( ec ) {
        co_return ec;
    }
    m_socket = std::make_unique<net::Socket>( m_context );
    const auto to = found.begin()->endpoint();
    ec = co_await net::connect( *m_socket, to, m_timeouts.connect );
    if( ec ) {
        disconnect();
        co_return ec;
    }
    net::ErrorCode optionError;
    m_socket->set_option( net::tcp::no_delay( true ), optionError );
    co_return ec;
}

net::Task<net::ErrorCode> Client::Impl::write( const RequestMessage& message ) {
    beast::request_serializer<beast::string_body> serializer( message );
    net::ErrorCode ec;
    while( !ec && !serializer.is_done() ) {
        net::SocketDeadline deadline( *m_socket, readDeadline() );
        const auto [error, n] =
            co_await beast::async_write_some( *m_socket, serializer, net::tupled );
        ec = deadline.expired() ? net::asio::error::timed_out : error;
    }
    co_return ec;
}

net::Task<net::ErrorCode> Client::Impl::readHead( std::optional<ResponseParser>& parser,
                                                  bool bodiless ) {
    for( ;; ) {
        parser.emplace();
        parser->body_limit( boost::none );
        parser->header_limit( maxHeadBytes );
        parser->skip( bodiless );
        net::SocketDeadline deadline( *m_socket, readDeadline() );
        const auto [error, n] =
            co_await beast::async_read_header( *m_socket, m_buf, *parser, net::tupled );
        if( error ) {
            co_return deadline.expired() ? net::asio::error::timed_out : error;
        }
        const auto status = parser->get().result_int();
        if( net::isFinalStatus( status ) ) {
            co_return net::ErrorCode{};
        }
        if( !net::isInterimStatus( status ) ) {
            co_return beast::make_error_code( beast::error::bad_status );
        }
    }
}

net::Task<net::ErrorCode> Client::Impl::readBody( ResponseParser& parser,
                                                  const Receiver& receiver ) {
    std::string part( readBufferBytes, '\0' );
    const auto status = static_cast<int>( parser.get().result_int() );
    net::ErrorCode ec;
    while( !ec && !parser.is_done() ) {
        auto& body = parser.get().body();
        body.data = part.data();
        body.size = part.size();
        body.more = true;
        net::SocketDeadline deadline( *m_socket, readDeadline() );
        const auto [error, n] =
            co_await beast::async_read_some( *m_socket, m_buf, parser, net::tupled );
        ec = error == beast::error::need_buffer ? net::ErrorCode{} : error;
        ec = deadline.expired() ? net::asio::error::timed_out : ec;
        const auto got = part.size() - parser.get().body().size;
        if( got > 0 && !receiver( status, std::string_view( part ).substr( 0, got ) ) ) {
            ec = net::asio::error::operation_aborted;
        }
    }
    co_return ec;
}

net::Task<Outcome> Client::Impl::exchange( const Request& request, const Receiver& receiver ) {
    Outcome out;
    auto ec = co_await ensureConnected();
    if( ec || m_aborted ) {
        out.failure = Failure::notSent;
        out.detail = ec ? ec.message() : "m_aborted";
        co_return out;
    }
    const auto message = messageOf( request, m_peer );
    std::optional<ResponseParser> parser;
    ec = co_await write( message );
    if( !ec ) {
        ec = co_await readHead( parser, request.method == "HEAD" );
    }
    if( !ec ) {
        out.response = headOf( *parser );
        ec = co_await readBody( *parser, receiver );
    }
    if( ec ) {
        out.failure = Failure::broken;
        out.detail = ec.message();
    }
    if( ec || !parser->keep_alive() ) {
        disconnect();
    }
    co_return out;
}

Outcome Client::Impl::run( const Request& request, const Receiver& receiver ) {
    Outcome out;
    std::exception_ptr thrown;
    net::asio::co_spawn( m_context, exchange( request, receiver ),
                         [&]( std::exception_ptr ex, Outcome result ) {
                             thrown = std::move( ex );
                             out = std::move( result );
                         } );
    m_context.restart();
    m_context.run();
    if( thrown ) {
        disconnect();
        std::rethrow_exception( thrown );
    }
    return out;
}

Client::Client( std::string_view address, Timeouts timeouts )
    : m_impl( std::make_unique<Impl>( settings::splitAddress( address ), timeouts ) ) {}

Client::~Client() = default;
Client::Client( Client&& ) noexcept = default;
Client& Client::operator=( Client&& ) noexcept = default;

Outcome Client::call( const Request& request ) {
    std::string body;
    bool tooLarge = false;
    auto out = m_impl->run( request, [&]( int, std::string_view bytes ) {
        tooLarge = bytes.size() > maxBodyBytes - body.size();
        if( !tooLarge ) {
            body.append( bytes );
        }
        return !tooLarge;
    } );
    if( tooLarge ) {
        out.detail = "response too large";
    }
    out.response.body = std::move( body );
    return out;
}

Outcome Client::stream( const Request& request, const Receiver& receiver ) {
    return m_impl->run( request, receiver );
}

void Client::abort() {
    m_impl->abort();
}

} // namespace coursehead::http
