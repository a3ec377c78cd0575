// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_HTTP_SERVER_HPP_INCLUDED
#define COURSEHEAD_HTTP_SERVER_HPP_INCLUDED

#include "coursehead/http/message.hpp"

#include <cstddef>
#include <memory>

namespace coursehead::http {

struct ServerLimits {
    std::size_t threads = 64;          //!< most connections that are served at once
    std::size_t bodyBytes = 1U << 20U; //!< a larger body is answered with 413
    int idleSeconds = 2;               //!< an idle keep-alive connection is closed after this
    int readSeconds = 10;              //!< a client that sends nothing this long is disconnected
    int writeSeconds = 10;             //!< a client that reads nothing this long is disconnected
};

//! Answers a request; called on the connection's own thread.
using Handler = std::function<Response( const Request& request )>;
//! Makes the response for an error that the server itself detects (such as 413, 400 or 404).
using ErrorResponder = std::function<Response( int status )>;

//! An HTTP/1.1 server with a thread for each open connection, up to a limit.
class Server {
public:
    Server( ServerLimits limits, Handler handler, ErrorResponder errorResponder );
    ~Server();
    Server( const Server& ) = delete;
    Server& operator=( const Server& ) = delete;

    //! Binds (port 0 picks a free one) and serves in the background. Returns the port, or -1 on
    //! failure.
    int start( const std::string& host, int port );
    //! Closes the listening socket, waits for requests in progress and joins the threads.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace coursehead::http

#endif // COURSEHEAD_HTTP_SERVER_HPP_INCLUDED
