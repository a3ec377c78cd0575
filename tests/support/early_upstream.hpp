// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_EARLY_UPSTREAM_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_EARLY_UPSTREAM_HPP_INCLUDED

#include "net/net.hpp"

#include <string>

namespace coursehead::support {

//! How an early upstream ends a connection after its answer.
enum class ConnectionEnd {
    reset,            //!< resets it
    inOrder,          //!< ends its own stream, and reads on until the caller closes
    inOrderThenReset, //!< ends its own stream, and resets the connection
    notAtAll,         //!< reads nothing more, and waits until the caller closes
};

struct EarlyAnswer {
    std::string bytes; //!< "{id}" is replaced by the request's id
    ConnectionEnd end = ConnectionEnd::reset;
    Millis endDelay{ 0 }; //!< between the answer and the end
};

//! An upstream on loopback that answers each request once it has read the head, while its body is
//! still being sent. Its receive buffer is small, so that a long body stays in the caller's hands.
class EarlyUpstream {
public:
    EarlyUpstream( net::asio::io_context& context, EarlyAnswer answer );

    int port() const { return m_port; }
    //! Number of request heads that were read.
    int requests() const { return m_requests; }

private:
    net::Task<> accept();
    net::Task<> serve( net::Socket socket );
    net::Task<> end( net::Socket& socket );

    net::asio::io_context& m_context;
    EarlyAnswer m_answer;
    net::Acceptor m_acceptor;
    int m_port;
    int m_requests = 0;
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_EARLY_UPSTREAM_HPP_INCLUDED
