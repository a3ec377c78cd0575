// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_CONNECTION_HPP_INCLUDED
#define COURSEHEAD_PEER_CONNECTION_HPP_INCLUDED

#include "coursehead/peer/loop.hpp"
#include "peer/stream_state.hpp"

#include <nghttp2/nghttp2.h>

#include <map>
#include <memory>
#include <string>

namespace coursehead::peer::Detail {

using StatePtr = std::shared_ptr<StreamState>;

//! Role of this process on the TCP connection.
enum class Side { client, server };

//! The parts of the loop that a connection uses.
struct ConnectionContext {
    const LoopSettings* settings = nullptr;
    LoopStats* stats = nullptr;
    //! Starts the handler of a stream that the peer opened; false when no handler is free.
    std::function<bool( StatePtr state )> accept;
};

//! One TCP connection and its nghttp2 session. Used by the loop's thread only.
class Connection {
public:
    Connection( std::uint64_t id, int fd, Side side, ConnectionContext& context, MonoTime now );
    //! Closes the socket; streams that are still open end as broken.
    ~Connection();
    Connection( const Connection& ) = delete;
    Connection& operator=( const Connection& ) = delete;

    int fd() const noexcept { return m_fd; }
    bool wantsWrite() const noexcept {
        return m_writeOffset < m_writeBuffer.size() || m_connecting;
    }
    bool connecting() const noexcept { return m_connecting; }
    bool failed() const noexcept { return m_failed; }

    //! Receives bytes from the socket and passes them to nghttp2.
    void onReadable( MonoTime now );
    //! Completes the connect, or sends queued bytes.
    void onWritable( MonoTime now );
    //! Sends a ping when one is due, and fails the connection after too long a silence.
    void tick( MonoTime now );
    //! Opens a stream to the peer.
    void submitRequest( const StatePtr& state );
    //! Applies what the stream's user has done: queued data, finished, cancelled or read frames.
    void applyStreamChanges( const StatePtr& state );
    //! Writes nghttp2's output to the socket.
    void flush();

    // Called from nghttp2's callbacks.
    void onHeader( std::int32_t id, std::string_view name, std::string_view value );
    void onBeginHeaders( std::int32_t id );
    void onFrame( const nghttp2_frame& frame );
    void onData( std::int32_t id, std::string_view bytes );
    void onGoawaySent( std::uint32_t code );
    void onClose( std::int32_t id, std::uint32_t code );

private:
    void startSession();
    void onRequestComplete( const StatePtr& state );
    void onRemoteClosed( const StatePtr& state );
    void refuse( std::int32_t id );
    void fail( std::string_view why );
    StatePtr find( std::int32_t id ) const;

    std::uint64_t m_id;
    int m_fd;
    Side m_side;
    ConnectionContext& m_context;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, StatePtr> m_streams;
    std::string m_writeBuffer;
    std::size_t m_writeOffset = 0;
    bool m_connecting = false;
    bool m_failed = false;
    MonoTime m_lastReceived;
    MonoTime m_lastPing;
    MonoTime m_unansweredSince; //!< first ping sent since bytes were last received
    MonoTime m_resetWindowStart;
    std::size_t m_resetCount = 0;
};

//! Ends a stream, wakes the threads that wait on it and calls its listener.
void endStream( StreamState& state, StreamEnd end );

} // namespace coursehead::peer::Detail

#endif // COURSEHEAD_PEER_CONNECTION_HPP_INCLUDED
