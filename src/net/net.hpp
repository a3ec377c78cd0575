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

//! Sockets and tasks of the event loop that carries all network traffic of the platform's roles.
//!
//! g++ 12 destroys temporaries in the arguments of a co_await expression twice, so every argument
//! with a destructor is stored in a named variable before it is passed.
namespace coursehead::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

template <typename T = void>
using Task = asio::awaitable<T>;

//! Completion token that returns errors as values instead of throwing them.
inline constexpr auto tupled = asio::as_tuple( asio::use_awaitable );

using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
using Acceptor = asio::basic_socket_acceptor<tcp, asio::io_context::executor_type>;
using Timer = asio::basic_waitable_timer<MonoClock, asio::wait_traits<MonoClock>,
                                         asio::io_context::executor_type>;

//! Disables Nagle's algorithm, and drops a peer that has not acknowledged sent bytes for
//! `ackTimeout`.
void configureSocket( Socket& socket, Millis ackTimeout );
//! Changes the time after which a peer that has not acknowledged all sent bytes is dropped. The
//! system also counts time in which the peer takes some bytes, but its window stays small.
void setAckTimeout( Socket& socket, Millis ackTimeout );
//! Makes close() reset the connection from now on. Bytes that have not reached the peer are
//! discarded, and the peer learns that an answer to those it has read is no longer wanted.
void resetOnClose( Socket& socket );

//! Makes the socket accept no bytes while `bytes` or more wait for the peer's window. Accepted
//! bytes then show that the peer reads.
void limitUnsent( Socket& socket, std::size_t bytes );

//! True if the peer has neither closed an idle connection nor sent bytes that belong to no request.
bool isOpenAndSilent( Socket& socket );

//! The endpoint of an IPv4 address in text; sets `ec` when the address is malformed.
tcp::endpoint endpointOf( const std::string& ip, int port, ErrorCode& ec );

//! What a SocketDeadline does when it expires.
enum class DeadlineAction {
    close,  //!< closes the socket
    cancel, //!< cancels pending operations; the socket stays open
};

//! Ends the pending operations of a socket at a given time, unless it is destroyed or cancelled
//! before. The socket must outlive it.
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
    std::shared_ptr<State> m_state; //!< shared with the handler, which may outlive this object
};

//! Connects within `limit`; asio::error::timed_out after that.
Task<ErrorCode> connect( Socket& socket, tcp::endpoint to, Millis limit );

//! Suspends the task for `delay`.
Task<> pause( asio::io_context& context, Millis delay );

//! Opens a listening socket with a long backlog; throws boost::system::system_error on failure.
Acceptor listen( asio::io_context& context, const std::string& ip, int port );

//! Starts a detached task. An exception that leaves it is logged under `name`.
void start( asio::io_context& context, Task<> task, const char* name );

} // namespace coursehead::net

#endif // COURSEHEAD_NET_NET_HPP_INCLUDED
