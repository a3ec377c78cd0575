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

//! Which end of the TCP connection this is.
enum class ChannelSide { client, server };

/**
 * Frames both ways between two of our processes: one HTTP/2 stream (nghttp2) on one connection,
 * on the event loop. Sending never waits; a peer that does not read is dropped once too much is
 * queued for it.
 */
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
    using FrameHandler = std::function<void( std::string_view frame )>;

    FrameChannel( Socket socket, ChannelSide side );
    ~FrameChannel();
    FrameChannel( const FrameChannel& ) = delete;
    FrameChannel& operator=( const FrameChannel& ) = delete;

    //! Reads until the connection ends; hands each frame over.
    Task<> run( FrameHandler handler );
    //! Queues a frame.
    void send( std::string_view message );
    void close();
    bool open() const { return m_socket.is_open(); }
    //! When bytes came last.
    MonoTime lastReceivedAt() const noexcept { return m_lastHeard; }

private:
    void startSession();
    void flush();
    void onData( std::string_view bytes );
    void answer( std::int32_t stream );
    ssize_t takeOutbox( std::uint8_t* buf, std::size_t n, std::uint32_t* flags );
    static nghttp2_session_callbacks* makeCallbacks();
    static ssize_t readOutbox( nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t n,
                               std::uint32_t* flags, nghttp2_data_source* source, void* );

    Socket m_socket;
    ChannelSide m_side;
    nghttp2_session* m_session = nullptr;
    std::int32_t m_stream = 0;
    std::string m_outbox;  //!< frames that nghttp2 has not taken yet
    std::string m_sending; //!< bytes that the socket is writing
    bool m_writing = false;
    bool m_receiving = false; //!< nghttp2 must not be asked for output from its callbacks
    peer::FrameReader m_reader;
    FrameHandler m_handler;
    MonoTime m_lastHeard;
};

} // namespace coursehead::net

#endif // COURSEHEAD_NET_FRAME_CHANNEL_HPP_INCLUDED
