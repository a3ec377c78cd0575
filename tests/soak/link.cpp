// SPDX-License-Identifier: BSL-1.0
#include "soak/link.hpp"

#include <boost/asio/write.hpp>

#include <vector>

namespace coursehead::soak {

namespace {

constexpr std::size_t bufferBytes = 16U << 10U;
constexpr Millis pollInterval{ 20 };
constexpr Millis connectLimit{ 2000 };

} // namespace

Link::Link( net::asio::io_context& context, const std::string& ip, int port, std::string toIp,
            int toPort )
    : m_context( context ), m_acceptor( net::listen( context, ip, port ) ),
      m_toIp( std::move( toIp ) ), m_toPort( toPort ) {
    net::start( context, accept(), "link" );
}

void Link::reset( net::Socket& socket ) {
    net::ErrorCode ec;
    socket.set_option( net::asio::socket_base::linger( true, 0 ), ec );
    socket.close( ec );
}

void Link::setMode( LinkMode mode ) {
    m_mode = mode;
    if( mode == LinkMode::reset ) {
        for( const auto& it : m_pairs ) {
            reset( it->near );
            reset( it->far );
        }
    }
}

void Link::end( const PairPtr& pair ) {
    net::ErrorCode ec;
    pair->near.close( ec );
    pair->far.close( ec );
    m_pairs.erase( pair );
}

net::Task<> Link::accept() {
    for( ;; ) {
        auto [ec, socket] = co_await m_acceptor.async_accept( net::tupled );
        if( ec ) {
            co_return;
        }
        const auto pair = std::make_shared<Pair>( m_context );
        pair->near = net::Socket( std::move( socket ) );
        if( m_mode == LinkMode::reset ) {
            reset( pair->near );
            continue;
        }
        m_pairs.insert( pair );
        net::start( m_context, open( pair ), "link connection" );
    }
}

net::Task<> Link::open( PairPtr pair ) {
    net::ErrorCode ec;
    const auto to = net::endpointOf( m_toIp, m_toPort, ec );
    ec = co_await net::connect( pair->far, to, connectLimit );
    if( ec ) {
        reset( pair->near );
        m_pairs.erase( pair );
        co_return;
    }
    pair->near.set_option( net::tcp::no_delay( true ), ec );
    pair->far.set_option( net::tcp::no_delay( true ), ec );
    net::start( m_context, pump( pair, false ), "link back" );
    co_await pump( pair, true );
}

net::Task<> Link::waitToPass( bool forward ) {
    while( m_mode == LinkMode::silent || ( m_mode == LinkMode::responsesBlocked && !forward ) ) {
        co_await net::pause( m_context, pollInterval );
    }
    if( m_mode == LinkMode::delayed ) {
        co_await net::pause( m_context, m_delay );
    }
}

net::Task<> Link::pump( PairPtr pair, bool forward ) {
    auto& from = forward ? pair->near : pair->far;
    auto& to = forward ? pair->far : pair->near;
    std::vector<char> buf( bufferBytes );
    for( ;; ) {
        const auto space = net::asio::buffer( buf );
        const auto [ec, n] = co_await from.async_read_some( space, net::tupled );
        co_await waitToPass( forward );
        if( ec ) {
            break;
        }
        const auto bytes = net::asio::buffer( buf.data(), n );
        const auto [failed, sent] = co_await net::asio::async_write( to, bytes, net::tupled );
        if( failed ) {
            break;
        }
    }
    end( pair );
}

} // namespace coursehead::soak
