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

//! Which end of the TCP connection we are.
enum class Side { client, server };

//! What a connection asks of its loop.
struct ConnectionHost {
    const LoopSettings* settings = nullptr;
    LoopStats* stats = nullptr;
    //! Takes a stream that the peer opened; false when no handler is free.
    std::function<bool( StatePtr state )> accept;
};

//! One TCP connection with its nghttp2 session. Used by the loop's thread only.
class Connection {
public:
    Connection( std::uint64_t id, int fd, Side side, ConnectionHost& host, MonoTime now );
    //! Closes the socket; streams still open end as broken.
    ~Connection();
    Connection( const Connection& ) = delete;
    Connection& operator=( const Connection& ) = delete;

    int fd() const noexcept { return m_fd; }
    bool wantsWrite() const noexcept { return m_outAt < m_out.size() || m_connecting; }
    bool connecting() const noexcept { return m_connecting; }
    bool dead() const noexcept { return m_dead; }

    //! Takes what the socket has.
    void onReadable( MonoTime now );
    //! Completes a connect, or sends what is queued.
    void onWritable( MonoTime now );
    //! Pings when due and gives the connection up after too long a silence.
    void tick( MonoTime now );
    //! Opens a stream towards the peer.
    void submitRequest( const StatePtr& state );
    //! Acts on what a stream's user asked for: data, end, reset, window.
    void serve( const StatePtr& state );
    //! Lets nghttp2 write, and writes to the socket.
    void flush();

    // Called by nghttp2's callbacks.
    void onHeader( std::int32_t id, std::string_view name, std::string_view value );
    void onBeginHeaders( std::int32_t id );
    void onFrame( const nghttp2_frame& frame );
    void onData( std::int32_t id, std::string_view bytes );
    void onGoawaySent( std::uint32_t code );
    void onClose( std::int32_t id, std::uint32_t code );

private:
    void startSession();
    void onRequestComplete( const StatePtr& state );
    void onRemoteDone( const StatePtr& state );
    void refuse( std::int32_t id );
    void fail( std::string_view why );
    StatePtr find( std::int32_t id ) const;

    std::uint64_t m_id;
    int m_fd;
    Side m_side;
    ConnectionHost& m_host;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, StatePtr> m_streams;
    std::string m_out;
    std::size_t m_outAt = 0;
    bool m_connecting = false;
    bool m_dead = false;
    MonoTime m_lastBytes;
    MonoTime m_lastPing;
    MonoTime m_unansweredSince; //!< the first ping since the last bytes came
    MonoTime m_resetWindow;
    std::size_t m_resets = 0;
};

//! Ends a stream, wakes its users and tells its listener.
void endStream( StreamState& state, StreamEnd end );

} // namespace coursehead::peer::Detail

#endif // COURSEHEAD_PEER_CONNECTION_HPP_INCLUDED
