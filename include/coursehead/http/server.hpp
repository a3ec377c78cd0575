// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_HTTP_SERVER_HPP_INCLUDED
#define COURSEHEAD_HTTP_SERVER_HPP_INCLUDED

#include "coursehead/http/message.hpp"

#include <cstddef>
#include <memory>

namespace coursehead::http {

struct ServerLimits {
    std::size_t threads = 64;          //!< most connections served at once
    std::size_t bodyBytes = 1U << 20U; //!< a larger body is answered 413
    int idleSeconds = 2;               //!< an idle kept-alive connection is closed after this
    int readSeconds = 10;              //!< a sender that stalls this long is dropped
    int writeSeconds = 10;             //!< a reader that stalls this long is dropped
};

//! Answers one request; called on the connection's own thread.
using Handler = std::function<Response( const Request& request )>;
//! Makes the body of an answer that the server itself gives (413, 400, 404 and the like).
using ErrorBody = std::function<Response( int status )>;

//! An HTTP/1.1 server: a thread per open connection, up to a limit.
class Server {
public:
    Server( ServerLimits limits, Handler handler, ErrorBody errorBody );
    ~Server();
    Server( const Server& ) = delete;
    Server& operator=( const Server& ) = delete;

    //! Binds (port 0 picks a free one) and serves in the background; the port, or -1 on failure.
    int start( const std::string& host, int port );
    //! Closes the listener, waits for the requests in progress and joins the threads.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace coursehead::http

#endif // COURSEHEAD_HTTP_SERVER_HPP_INCLUDED
