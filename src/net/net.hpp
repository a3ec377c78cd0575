// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_NET_NET_HPP_INCLUDED
#define COURSEHEAD_NET_NET_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <string>

//! Sockets of the event loop that all network traffic of the platform's roles runs on.
//!
//! g++ 12 destroys temporaries in the arguments of a co_await expression twice: every argument
//! with a destructor is named before it is passed.
namespace coursehead::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

template <typename T = void>
using Task = asio::awaitable<T>;

//! Completion token that gives errors as values.
inline constexpr auto tupled = asio::as_tuple( asio::use_awaitable );

using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
using Acceptor = asio::basic_socket_acceptor<tcp, asio::io_context::executor_type>;
using Timer = asio::basic_waitable_timer<MonoClock, asio::wait_traits<MonoClock>,
                                         asio::io_context::executor_type>;

//! Turns Nagle off, and gives a peer up that has not acknowledged bytes for `silence`.
void configureSocket( Socket& socket, Millis silence );
//! Closing the connection from now on resets it: bytes that have not reached the other side are
//! lost with it, and what it has read already it learns not to answer.
void resetOnClose( Socket& socket );

//! An endpoint of an IP number; the error in `ec`.
tcp::endpoint endpointOf( const std::string& ip, int port, ErrorCode& ec );

//! What a deadline does to its socket.
enum class DeadlineAction {
    close,  //!< nothing more goes either way
    cancel, //!< only what waits is ended
};

//! Ends what waits on a socket when time is up, unless it is destroyed or cancelled before. The
//! socket must outlive it.
class SocketDeadline {
public:
    SocketDeadline( Socket& socket, MonoTime at, DeadlineAction action = DeadlineAction::close );
    ~SocketDeadline() { cancel(); }
    SocketDeadline( const SocketDeadline& ) = delete;
    SocketDeadline& operator=( const SocketDeadline& ) = delete;

    void cancel();
    bool expired() const noexcept { return *m_state == State::expired; }

private:
    enum class State { waiting, cancelled, expired };

    Timer m_timer;
    std::shared_ptr<State> m_state; //!< shared with a handler that may run late
};

//! Connects within `limit`.
Task<ErrorCode> connect( Socket& socket, tcp::endpoint to, Millis limit );

//! Waits on the loop.
Task<> pause( asio::io_context& context, Millis delay );

//! Listens with a long backlog; throws boost::system::system_error when it can't.
Acceptor listen( asio::io_context& context, const std::string& ip, int port );

//! Starts a task that nobody waits for; an exception that leaves it is logged under `name`.
void start( asio::io_context& context, Task<> task, const char* name );

} // namespace coursehead::net

#endif // COURSEHEAD_NET_NET_HPP_INCLUDED
