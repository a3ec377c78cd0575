// SPDX-License-Identifier: BSL-1.0
#include "support/early_upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace coursehead::support {

namespace {

constexpr int receiveBufferBytes = 4096;

//! The value of X-Request-Id in a request's head.
std::string requestIdOf( const std::string& head ) {
    const std::string name = "X-Request-Id: ";
    const auto at = head.find( name );
    if( at == std::string::npos ) {
        return {};
    }
    const auto from = at + name.size();
    return head.substr( from, head.find( '\r', from ) - from );
}

} // namespace

EarlyUpstream::EarlyUpstream( net::asio::io_context& context, EarlyAnswer answer )
    : m_context( context ), m_answer( std::move( answer ) ),
      m_acceptor( net::listen( context, "127.0.0.1", 0 ) ),
      m_port( m_acceptor.local_endpoint().port() ) {
    m_acceptor.set_option( net::asio::socket_base::receive_buffer_size( receiveBufferBytes ) );
    net::asio::co_spawn( m_context, accept(), net::asio::detached );
}

net::Task<> EarlyUpstream::accept() {
    for( ;; ) {
        auto [ec, socket] = co_await m_acceptor.async_accept( net::tupled );
        if( ec ) {
            co_return;
        }
        auto task = serve( net::Socket( std::move( socket ) ) );
        net::asio::co_spawn( m_context, std::move( task ), net::asio::detached );
    }
}

net::Task<> EarlyUpstream::serve( net::Socket socket ) {
    std::string head;
    auto buf = net::asio::dynamic_buffer( head );
    const auto [ec, n] =
        co_await net::asio::async_read_until( socket, buf, "\r\n\r\n", net::tupled );
    if( ec ) {
        co_return;
    }
    ++m_requests;
    auto answer = m_answer.bytes;
    const std::string placeholder = "{id}";
    const auto at = answer.find( placeholder );
    if( at != std::string::npos ) {
        answer.replace( at, placeholder.size(), requestIdOf( head ) );
    }
    const auto out = net::asio::buffer( answer );
    co_await net::asio::async_write( socket, out, net::tupled );
    co_await net::pause( m_context, m_answer.endDelay );
    co_await end( socket );
}

net::Task<> EarlyUpstream::end( net::Socket& socket ) {
    net::ErrorCode ec;
    switch( m_answer.end ) {
    case ConnectionEnd::inOrder: {
        socket.shutdown( net::Socket::shutdown_send, ec );
        std::array<char, receiveBufferBytes> part{};
        const auto space = net::asio::buffer( part );
        while( !ec ) {
            const auto [error, n] = co_await net::asio::async_read( socket, space, net::tupled );
            ec = error;
        }
        co_return;
    }
    case ConnectionEnd::notAtAll:
        co_await socket.async_wait( net::Socket::wait_error, net::tupled );
        co_return;
    case ConnectionEnd::inOrderThenReset:
        socket.shutdown( net::Socket::shutdown_send, ec );
        break;
    case ConnectionEnd::reset:
        break;
    }
    net::resetOnClose( socket );
    socket.close( ec );
}

} // namespace coursehead::support
