// SPDX-License-Identifier: BSL-1.0
#include "net/frame_channel.hpp"

#include "coursehead/kernel/log.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <span>
#include <vector>

namespace coursehead::net {

namespace {

constexpr std::size_t readBufferBytes = 16U << 10U;
//! Empty buffers with a larger capacity are freed, because most connections are idle most of the
//! time.
constexpr std::size_t maxIdleCapacity = 1U << 10U;
//! Bytes that may be queued for a peer that does not read, before it is disconnected.
constexpr std::size_t outboxLimit = 4U << 20U;
//! HTTP/2 flow-control window of the stream and the connection. It is large because outboxLimit
//! already bounds the memory that a slow peer takes.
constexpr std::int32_t flowWindowBytes = 8 << 20;

nghttp2_nv header( std::string_view name, std::string_view value ) {
    // nghttp2 copies names and values unless a flag says otherwise, and never writes to them.
    auto* nameBytes = reinterpret_cast<std::uint8_t*>( const_cast<char*>( name.data() ) );
    auto* valueBytes = reinterpret_cast<std::uint8_t*>( const_cast<char*>( value.data() ) );
    return { nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

void freeIfEmpty( std::string& buf ) {
    if( buf.empty() && buf.capacity() > maxIdleCapacity ) {
        std::string().swap( buf );
    }
}

//! One buffer for all connections of a thread: the bytes of one read are processed before the next
//! read.
std::span<std::uint8_t> readBuffer() {
    static thread_local std::array<std::uint8_t, readBufferBytes> buf;
    return buf;
}

FrameChannel& channelOf( void* user ) {
    return *static_cast<FrameChannel*>( user );
}

} // namespace

FrameChannel::FrameChannel( Socket socket, ChannelSide side )
    : m_socket( std::move( socket ) ), m_side( side ), m_lastReceivedAt( MonoClock::now() ) {}

FrameChannel::~FrameChannel() {
    nghttp2_session_del( m_session );
}

nghttp2_session_callbacks* FrameChannel::makeCallbacks() {
    nghttp2_session_callbacks* out = nullptr;
    nghttp2_session_callbacks_new( &out );
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        out, []( nghttp2_session*, const nghttp2_frame* frame, void* user ) {
            if( frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST ) {
                channelOf( user ).sendResponse( frame->hd.stream_id );
            }
            return 0;
        } );
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        out, []( nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t* data,
                 std::size_t n, void* user ) {
            channelOf( user ).onData( { reinterpret_cast<const char*>( data ), n } );
            return 0;
        } );
    return out;
}

ssize_t FrameChannel::readOutbox( nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t n,
                                  std::uint32_t* flags, nghttp2_data_source* source, void* ) {
    return static_cast<FrameChannel*>( source->ptr )->copyFromOutbox( buf, n, flags );
}

ssize_t FrameChannel::copyFromOutbox( std::uint8_t* buf, std::size_t n, std::uint32_t* ) {
    const auto taken = std::min( n, m_outbox.size() );
    if( taken == 0 ) {
        return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n( m_outbox.data(), taken, reinterpret_cast<char*>( buf ) );
    m_outbox.erase( 0, taken );
    return static_cast<ssize_t>( taken );
}

void FrameChannel::startSession() {
    static nghttp2_session_callbacks* const callbacks = makeCallbacks();
    const std::array<nghttp2_settings_entry, 1> entries{ {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, flowWindowBytes },
    } };
    if( m_side == ChannelSide::client ) {
        nghttp2_session_client_new( &m_session, callbacks, this );
    } else {
        nghttp2_session_server_new( &m_session, callbacks, this );
    }
    nghttp2_submit_settings( m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size() );
    nghttp2_session_set_local_window_size( m_session, NGHTTP2_FLAG_NONE, 0, flowWindowBytes );
    if( m_side == ChannelSide::client ) {
        const std::array<nghttp2_nv, 4> headers{
            header( ":method", "POST" ), header( ":scheme", "http" ),
            header( ":authority", "coursehead" ), header( ":path", "/control" ) };
        nghttp2_data_provider body{};
        body.source.ptr = this;
        body.read_callback = readOutbox;
        m_stream = nghttp2_submit_request( m_session, nullptr, headers.data(), headers.size(),
                                           &body, nullptr );
    }
    flush();
}

void FrameChannel::sendResponse( std::int32_t stream ) {
    if( m_stream != 0 ) {
        return;
    }
    m_stream = stream;
    const std::array<nghttp2_nv, 1> headers{ header( ":status", "200" ) };
    nghttp2_data_provider body{};
    body.source.ptr = this;
    body.read_callback = readOutbox;
    nghttp2_submit_response( m_session, stream, headers.data(), headers.size(), &body );
}

void FrameChannel::onData( std::string_view bytes ) {
    std::vector<std::string> frames;
    if( !m_reader.feed( bytes, frames ) ) {
        log::warn( "peer_frame_too_large", {} );
        close();
        return;
    }
    for( const auto& it : frames ) {
        m_handler( it );
    }
}

void FrameChannel::send( std::string_view message ) {
    if( !open() ) {
        return;
    }
    if( m_outbox.size() > outboxLimit ) {
        log::warn( "peer_too_slow",
                   { { "queued_bytes", static_cast<std::int64_t>( m_outbox.size() ) } } );
        close();
        return;
    }
    peer::appendFrame( m_outbox, message );
    if( m_session != nullptr && m_stream != 0 ) {
        nghttp2_session_resume_data( m_session, m_stream );
        flush();
    }
}

void FrameChannel::flush() {
    if( m_writing || m_receiving || m_session == nullptr || !open() ) {
        return;
    }
    const std::uint8_t* data = nullptr;
    m_writeBuffer.clear();
    for( auto n = nghttp2_session_mem_send( m_session, &data ); n > 0;
         n = nghttp2_session_mem_send( m_session, &data ) ) {
        m_writeBuffer.append( reinterpret_cast<const char*>( data ),
                              static_cast<std::size_t>( n ) );
    }
    freeIfEmpty( m_outbox );
    if( m_writeBuffer.empty() ) {
        freeIfEmpty( m_writeBuffer );
        return;
    }
    m_writing = true;
    asio::async_write( m_socket, asio::buffer( m_writeBuffer ),
                       [self = shared_from_this()]( ErrorCode ec, std::size_t ) {
                           self->m_writing = false;
                           self->m_writeBuffer.clear();
                           if( ec ) {
                               self->close();
                               return;
                           }
                           self->flush();
                       } );
}

void FrameChannel::close() {
    ErrorCode ec;
    m_socket.close( ec );
}

Task<> FrameChannel::run( FrameHandler handler ) {
    const auto self = shared_from_this();
    m_handler = std::move( handler );
    startSession();
    ErrorCode nonBlocking;
    m_socket.non_blocking( true, nonBlocking );
    while( open() ) {
        const auto [waitError] = co_await m_socket.async_wait( Socket::wait_read, tupled );
        if( waitError ) {
            break;
        }
        const auto buf = readBuffer();
        ErrorCode ec;
        const auto n = m_socket.read_some( asio::buffer( buf.data(), buf.size() ), ec );
        if( ec == asio::error::would_block ) {
            continue;
        }
        if( ec ) {
            break;
        }
        m_lastReceivedAt = MonoClock::now();
        m_receiving = true;
        const auto taken = nghttp2_session_mem_recv( m_session, buf.data(), n );
        m_receiving = false;
        if( taken < 0 ) {
            log::warn( "peer_protocol_error",
                       { { "detail", nghttp2_strerror( static_cast<int>( taken ) ) } } );
            break;
        }
        flush();
    }
    close();
    m_handler = nullptr;
}

} // namespace coursehead::net
