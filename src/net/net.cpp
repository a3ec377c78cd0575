// SPDX-License-Identifier: BSL-1.0
#include "net/net.hpp"

#include "coursehead/kernel/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace coursehead::net {

namespace {

//! Connections that may wait to be accepted. A full queue drops the client's SYN, which delays the
//! connection by seconds.
constexpr int backlog = 1024;

} // namespace

void configureSocket( Socket& socket, Millis ackTimeout ) {
    ErrorCode ec;
    socket.set_option( tcp::no_delay( true ), ec );
    setAckTimeout( socket, ackTimeout );
}

void setAckTimeout( Socket& socket, Millis ackTimeout ) {
    const auto ms = static_cast<unsigned>( ackTimeout.count() );
    if( ::setsockopt( socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms ) !=
        0 ) {
        log::debug( "socket_option_failed", { { "option", "TCP_USER_TIMEOUT" } } );
    }
}

void resetOnClose( Socket& socket ) {
    ErrorCode ec;
    socket.set_option( asio::socket_base::linger( true, 0 ), ec );
    if( ec ) {
        log::debug( "socket_option_failed", { { "option", "SO_LINGER" } } );
    }
}

void limitUnsent( Socket& socket, std::size_t bytes ) {
    const auto n = static_cast<unsigned>( bytes );
    if( ::setsockopt( socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &n, sizeof n ) !=
        0 ) {
        log::debug( "socket_option_failed", { { "option", "TCP_NOTSENT_LOWAT" } } );
    }
}

bool isOpenAndSilent( Socket& socket ) {
    char byte = 0;
    const auto n = ::recv( socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT );
    return n < 0 && ( errno == EAGAIN || errno == EWOULDBLOCK );
}

tcp::endpoint endpointOf( const std::string& ip, int port, ErrorCode& ec ) {
    const auto address = asio::ip::make_address_v4( ip, ec );
    return { address, static_cast<unsigned short>( port ) };
}

SocketDeadline::SocketDeadline( Socket& socket, MonoTime at, DeadlineAction action )
    : m_timer( socket.get_executor() ), m_state( std::make_shared<State>( State::waiting ) ) {
    m_timer.expires_at( at );
    m_timer.async_wait( [&socket, action, state = m_state]( ErrorCode ec ) {
        if( ec || *state != State::waiting ) {
            return;
        }
        *state = State::expired;
        if( action == DeadlineAction::close ) {
            socket.close( ec );
        } else {
            socket.cancel( ec );
        }
    } );
}

void SocketDeadline::cancel() {
    if( *m_state == State::waiting ) {
        *m_state = State::cancelled;
        m_timer.cancel();
    }
}

Task<ErrorCode> connect( Socket& socket, tcp::endpoint to, Millis limit ) {
    SocketDeadline deadline( socket, MonoClock::now() + limit );
    const auto [ec] = co_await socket.async_connect( to, tupled );
    co_return deadline.expired() ? ErrorCode( asio::error::timed_out ) : ec;
}

Task<> pause( asio::io_context& context, Millis delay ) {
    Timer timer( context );
    timer.expires_after( delay );
    co_await timer.async_wait( tupled );
}

Acceptor listen( asio::io_context& context, const std::string& ip, int port ) {
    const tcp::endpoint at( asio::ip::make_address_v4( ip ), static_cast<unsigned short>( port ) );
    Acceptor out( context );
    out.open( at.protocol() );
    out.set_option( asio::socket_base::reuse_address( true ) );
    out.bind( at );
    out.listen( backlog );
    return out;
}

void start( asio::io_context& context, Task<> task, const char* name ) {
    asio::co_spawn( context, std::move( task ), [name]( const std::exception_ptr& thrown ) {
        if( !thrown ) {
            return;
        }
        try {
            std::rethrow_exception( thrown );
        } catch( const std::exception& ex ) {
            log::error( "task_failed", { { "task", name }, { "detail", ex.what() } } );
        }
    } );
}

} // namespace coursehead::net
