// SPDX-License-Identifier: BSL-1.0
#include "gateway/client_listener.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

//! Connections accepted before other work of the event loop has its turn.
constexpr int maxAcceptedAtOnce = 32;
//! Pause after a failure to accept, for instance because descriptors have run out.
constexpr Millis failurePause{ 20 };

} // namespace

ClientListener::ClientListener( net::asio::io_context& context, const platform::Endpoint& at,
                                Handlers handlers )
    : m_context( context ), m_at( at ), m_handlers( std::move( handlers ) ),
      m_acceptor( net::listen( context, at.ip, at.port ) ), m_opened( context ) {
    m_acceptor.non_blocking( true );
}

void ClientListener::start() {
    net::start( m_context, accept(), "accept" );
}

void ClientListener::update() {
    const bool may = m_handlers.mayAccept();
    if( may && !m_acceptor.is_open() ) {
        open();
    } else if( !may && m_acceptor.is_open() ) {
        net::ErrorCode ec;
        m_acceptor.close( ec );
    }
}

void ClientListener::open() {
    try {
        m_acceptor = net::listen( m_context, m_at.ip, m_at.port );
        m_acceptor.non_blocking( true );
    } catch( const boost::system::system_error& ex ) {
        // The next update tries again.
        log::error( "listen_failed", { { "at", m_at.text() }, { "detail", ex.what() } } );
        return;
    }
    m_opened.cancel();
}

net::Task<> ClientListener::accept() {
    for( ;; ) {
        if( !m_acceptor.is_open() ) {
            m_opened.expires_at( MonoTime::max() );
            co_await m_opened.async_wait( net::tupled );
            continue;
        }
        auto [ec, socket] = co_await m_acceptor.async_accept( net::tupled );
        if( !ec ) {
            m_handlers.accepted( net::Socket( std::move( socket ) ) );
            acceptWaiting();
            update();
        } else if( ec != net::asio::error::operation_aborted ) {
            log::warn( "accept_failed", { { "detail", ec.message() } } );
            co_await net::pause( m_context, failurePause );
        }
    }
}

void ClientListener::acceptWaiting() {
    for( int n = 1; n < maxAcceptedAtOnce && m_handlers.mayAccept(); ++n ) {
        net::Socket socket( m_context );
        net::ErrorCode ec;
        m_acceptor.accept( socket, ec );
        if( ec ) {
            // None waits, or the next asynchronous accept reports the failure.
            return;
        }
        m_handlers.accepted( std::move( socket ) );
    }
}

} // namespace coursehead::gateway
