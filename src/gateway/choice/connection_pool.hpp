// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_CONNECTION_POOL_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_CONNECTION_POOL_HPP_INCLUDED

#include "net/net.hpp"
#include "net/read_buffer.hpp"

#include <memory>
#include <vector>

namespace coursehead::gateway {

//! A connection to an upstream. It serves one request at a time.
struct UpstreamConnection {
    explicit UpstreamConnection( net::asio::io_context& context ) : socket( context ) {}

    net::Socket socket;
    net::ReadBuffer buf;
    bool reused = false;    //!< the connection has served a request before
    MonoTime reusableUntil; //!< the connection is not reused after this time
};
using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

//! Idle connections to one upstream; the most recently used one is taken first.
class ConnectionPool {
public:
    //! Removes and returns a connection that is still open and has no unread bytes; null if there
    //! is none.
    ConnectionPtr take( MonoTime now );
    void put( ConnectionPtr connection );
    std::size_t idle() const noexcept { return m_idle.size(); }

private:
    std::vector<ConnectionPtr> m_idle;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_CONNECTION_POOL_HPP_INCLUDED
