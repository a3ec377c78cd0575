// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/connection_pool.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace coursehead::gateway {

namespace {

//! Idle connections kept to one upstream; more would exhaust the number of connections that the
//! upstream accepts from all callers.
constexpr std::size_t maxIdleConnections = 32;

//! True if the upstream has neither closed the connection nor sent bytes that belong to no request.
bool isOpenAndSilent( net::Socket& socket ) {
    char byte = 0;
    const auto n = ::recv( socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT );
    return n < 0 && ( errno == EAGAIN || errno == EWOULDBLOCK );
}

} // namespace

ConnectionPtr ConnectionPool::take( MonoTime now ) {
    while( !m_idle.empty() ) {
        auto out = std::move( m_idle.back() );
        m_idle.pop_back();
        if( out->reusableUntil > now && isOpenAndSilent( out->socket ) ) {
            return out;
        }
    }
    return nullptr;
}

void ConnectionPool::put( ConnectionPtr connection ) {
    if( m_idle.size() >= maxIdleConnections ) {
        return;
    }
    connection->reused = true;
    m_idle.push_back( std::move( connection ) );
}

} // namespace coursehead::gateway
