// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/connection_pool.hpp"

namespace coursehead::gateway {

namespace {

//! Idle connections kept to one upstream; more would exhaust the number of connections that the
//! upstream accepts from all callers.
constexpr std::size_t maxIdleConnections = 32;

} // namespace

ConnectionPtr ConnectionPool::take( MonoTime now ) {
    while( !m_idle.empty() ) {
        auto out = std::move( m_idle.back() );
        m_idle.pop_back();
        if( out->reusableUntil > now && net::isOpenAndSilent( out->socket ) ) {
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
