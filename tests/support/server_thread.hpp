// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_SERVER_THREAD_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_SERVER_THREAD_HPP_INCLUDED

#include "net/net.hpp"

#include <thread>

namespace coursehead::support {

//! Runs an event loop in a thread of its own, for clients that block. What runs on it is destroyed
//! only after stop().
class ServerThread {
public:
    net::asio::io_context context{ 1 };

    ~ServerThread() { stop(); }
    void start() {
        m_thread = std::jthread( [this] { context.run(); } );
    }
    void stop() {
        context.stop();
        if( m_thread.joinable() ) {
            m_thread.join();
        }
    }

private:
    std::jthread m_thread;
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_SERVER_THREAD_HPP_INCLUDED
