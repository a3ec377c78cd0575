// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_NET_FRAME_CHANNEL_HPP_INCLUDED
#define COURSEHEAD_NET_FRAME_CHANNEL_HPP_INCLUDED

#include "coursehead/peer/frame.hpp"
#include "net/net.hpp"

#include <nghttp2/nghttp2.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coursehead::net {

//! Role of this process on the TCP connection.
enum class ChannelSide { client, server };

/**
 * Exchanges frames with another coursehead process over one HTTP/2 stream (nghttp2) on one TCP
 * connection, on the event loop. send() never blocks; a peer that does not read is disconnected
 * when too much is queued for it.
 */
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
    using FrameHandler = std::function<void( std::string_view frame )>;

    FrameChannel( Socket socket, ChannelSide side );
    ~FrameChannel();
    FrameChannel( const FrameChannel& ) = delete;
    FrameChannel& operator=( const FrameChannel& ) = delete;

    //! Reads until the connection ends, and passes each frame to `handler`.
    Task<> run( FrameHandler handler );
    //! Queues a frame; closes the connection when the peer has fallen too far behind.
    void send( std::string_view message );
    void close();
    bool open() const { return m_socket.is_open(); }
    //! When bytes were last received.
    MonoTime lastReceivedAt() const noexcept { return m_lastReceivedAt; }

private:
    void startSession();
    void flush();
    void onData( std::string_view bytes );
    void sendResponse( std::int32_t stream );
    ssize_t copyFromOutbox( std::uint8_t* buf, std::size_t n, std::uint32_t* flags );
    static nghttp2_session_callbacks* makeCallbacks();
    static ssize_t readOutbox( nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t n,
                               std::uint32_t* flags, nghttp2_data_source* source, void* );

    Socket m_socket;
    ChannelSide m_side;
    nghttp2_session* m_session = nullptr;
    std::int32_t m_stream = 0;
    std::string m_outbox;      //!< frames that nghttp2 has not taken yet
    std::string m_writeBuffer; //!< bytes that the socket is writing
    bool m_writing = false;
    bool m_receiving = false; //!< nghttp2 must not be asked for output inside its callbacks
    peer::FrameReader m_reader;
    FrameHandler m_handler;
    MonoTime m_lastReceivedAt;
};

} // namespace coursehead::net

#endif // COURSEHEAD_NET_FRAME_CHANNEL_HPP_INCLUDED
