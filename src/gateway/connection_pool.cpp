// SPDX-License-Identifier: BSL-1.0
#include "gateway/connection_pool.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace coursehead::gateway {

namespace {

//! Idle connections kept to one upstream; more would use up what it accepts from all callers.
constexpr std::size_t maxIdle = 32;

//! True when the peer has neither closed the connection nor sent bytes that belong to no request.
bool quiet( net::Socket& socket ) {
    char byte = 0;
    const auto n = ::recv( socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT );
    return n < 0 && ( errno == EAGAIN || errno == EWOULDBLOCK );
}

} // namespace

ConnectionPtr ConnectionPool::take( MonoTime now ) {
    while( !m_idle.empty() ) {
        auto out = std::move( m_idle.back() );
        m_idle.pop_back();
        if( out->goodUntil > now && quiet( out->socket ) ) {
            return out;
        }
    }
    return nullptr;
}

void ConnectionPool::put( ConnectionPtr connection ) {
    if( m_idle.size() >= maxIdle ) {
        return;
    }
    connection->reused = true;
    m_idle.push_back( std::move( connection ) );
}

} // namespace coursehead::gateway
