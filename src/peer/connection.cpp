// SPDX-License-Identifier: BSL-1.0
#include "peer/connection.hpp"

#include "coursehead/kernel/log.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

namespace coursehead::peer::Detail {

namespace {

constexpr std::size_t ioBufferBytes = 64U << 10U;
constexpr std::uint32_t streamWindowBytes = 256U << 10U;
constexpr std::uint32_t maxHeaderBytes = 4U << 10U;
//! RST_STREAM frames that a peer may send within a second; more are treated as an attack.
constexpr std::size_t maxResetsPerSecond = 2000;
constexpr int connectionWindowBytes = 16 << 20;
constexpr std::size_t earlyCreditThresholdBytes = streamWindowBytes / 4;

nghttp2_nv header( std::string_view name, std::string_view value ) {
    // nghttp2 copies names and values (no NO_COPY flag is set) and never writes through them.
    auto* nameBytes = reinterpret_cast<std::uint8_t*>( const_cast<char*>( name.data() ) );
    auto* valueBytes = reinterpret_cast<std::uint8_t*>( const_cast<char*>( value.data() ) );
    return { nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

std::string_view toStringView( const std::uint8_t* bytes, std::size_t n ) {
    return { reinterpret_cast<const char*>( bytes ), n };
}

Connection& connectionOf( void* user ) {
    return *static_cast<Connection*>( user );
}

ssize_t readBody( nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t length,
                  std::uint32_t* flags, nghttp2_data_source* source, void* ) {
    auto& state = *static_cast<StreamState*>( source->ptr );
    const std::lock_guard lock( state.mutex );
    const auto n = std::min( length, state.outbox.size() );
    if( n == 0 && !state.finishRequested ) {
        return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n( state.outbox.data(), n, reinterpret_cast<char*>( buf ) );
    state.outbox.erase( 0, n );
    if( state.finishRequested && state.outbox.empty() ) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    state.changed.notify_all();
    return static_cast<ssize_t>( n );
}

nghttp2_data_provider makeBodyProvider( StreamState& state ) {
    nghttp2_data_provider out{};
    out.source.ptr = &state;
    out.read_callback = readBody;
    return out;
}

nghttp2_session_callbacks* makeCallbacks() {
    nghttp2_session_callbacks* out = nullptr;
    nghttp2_session_callbacks_new( &out );
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        out, []( nghttp2_session*, const nghttp2_frame* frame, void* user ) {
            connectionOf( user ).onBeginHeaders( frame->hd.stream_id );
            return 0;
        } );
    nghttp2_session_callbacks_set_on_header_callback(
        out, []( nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                 std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength,
                 std::uint8_t, void* user ) {
            connectionOf( user ).onHeader( frame->hd.stream_id, toStringView( name, nameLength ),
                                           toStringView( value, valueLength ) );
            return 0;
        } );
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        out, []( nghttp2_session*, const nghttp2_frame* frame, void* user ) {
            connectionOf( user ).onFrame( *frame );
            return 0;
        } );
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        out, []( nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                 std::size_t n, void* user ) {
            connectionOf( user ).onData( id, toStringView( data, n ) );
            return 0;
        } );
    nghttp2_session_callbacks_set_on_frame_send_callback(
        out, []( nghttp2_session*, const nghttp2_frame* frame, void* user ) {
            if( frame->hd.type == NGHTTP2_GOAWAY ) {
                connectionOf( user ).onGoawaySent( frame->goaway.error_code );
            }
            return 0;
        } );
    nghttp2_session_callbacks_set_on_stream_close_callback(
        out, []( nghttp2_session*, std::int32_t id, std::uint32_t code, void* user ) {
            connectionOf( user ).onClose( id, code );
            return 0;
        } );
    return out;
}

const nghttp2_session_callbacks* callbacks() {
    static const nghttp2_session_callbacks* const shared = makeCallbacks();
    return shared;
}

const nghttp2_option* options() {
    static const nghttp2_option* const shared = [] {
        nghttp2_option* out = nullptr;
        nghttp2_option_new( &out );
        nghttp2_option_set_no_auto_window_update( out, 1 );
        nghttp2_option_set_max_send_header_block_length( out, maxHeaderBytes );
        return out;
    }();
    return shared;
}

bool sameToken( std::string_view a, std::string_view b ) {
    if( a.size() != b.size() ) {
        return false;
    }
    unsigned difference = 0;
    for( std::size_t n = 0; n < a.size(); ++n ) {
        difference |= static_cast<unsigned char>( a[n] ) ^ static_cast<unsigned char>( b[n] );
    }
    return difference == 0;
}

} // namespace

void endStream( StreamState& state, StreamEnd end ) {
    std::function<void()> listener;
    {
        const std::lock_guard lock( state.mutex );
        if( state.end != StreamEnd::open ) {
            return;
        }
        state.end = end;
        state.changed.notify_all();
        listener = state.listener;
    }
    if( listener ) {
        listener();
    }
}

Connection::Connection( std::uint64_t id, int fd, Side side, ConnectionContext& context,
                        MonoTime now )
    : m_id( id ), m_fd( fd ), m_side( side ), m_context( context ),
      m_connecting( side == Side::client ), m_lastReceived( now ), m_lastPing( now ),
      m_resetWindowStart( now ) {
    if( side == Side::server ) {
        startSession();
    }
}

Connection::~Connection() {
    for( auto& it : m_streams ) {
        endStream( *it.second, StreamEnd::broken );
    }
    nghttp2_session_del( m_session );
    ::close( m_fd );
}

void Connection::startSession() {
    const auto* settings = m_context.settings;
    const std::array<nghttp2_settings_entry, 3> entries{ {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
          static_cast<std::uint32_t>( settings->maxStreams ) },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maxHeaderBytes },
    } };
    if( m_side == Side::client ) {
        nghttp2_session_client_new2( &m_session, callbacks(), this, options() );
    } else {
        nghttp2_session_server_new2( &m_session, callbacks(), this, options() );
    }
    nghttp2_submit_settings( m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size() );
    nghttp2_session_set_local_window_size( m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes );
    flush();
}

void Connection::fail( std::string_view why ) {
    if( !m_failed ) {
        m_failed = true;
        log::debug( "peer_connection_lost",
                    { { "connection", static_cast<std::int64_t>( m_id ) }, { "reason", why } } );
    }
}

void Connection::onReadable( MonoTime now ) {
    std::array<std::uint8_t, ioBufferBytes> buf; // NOLINT(*-member-init): filled by recv
    const auto n = ::recv( m_fd, buf.data(), buf.size(), 0 );
    if( n < 0 && ( errno == EAGAIN || errno == EINTR ) ) {
        return;
    }
    if( n <= 0 || m_session == nullptr ) {
        fail( n == 0 ? "closed by peer" : "receive failed" );
        return;
    }
    m_lastReceived = now;
    m_context.stats->bytesIn += static_cast<std::uint64_t>( n );
    const auto consumed =
        nghttp2_session_mem_recv( m_session, buf.data(), static_cast<std::size_t>( n ) );
    if( consumed < 0 ) {
        ++m_context.stats->protocolErrors;
        fail( nghttp2_strerror( static_cast<int>( consumed ) ) );
        return;
    }
    flush();
}

void Connection::onWritable( MonoTime now ) {
    if( m_connecting ) {
        int error = 0;
        socklen_t n = sizeof( error );
        ::getsockopt( m_fd, SOL_SOCKET, SO_ERROR, &error, &n );
        if( error != 0 ) {
            fail( "connect failed" );
            return;
        }
        m_connecting = false;
        m_lastReceived = now;
        startSession();
        return;
    }
    flush();
}

void Connection::flush() {
    if( m_session == nullptr || m_failed ) {
        return;
    }
    for( ;; ) {
        const std::uint8_t* data = nullptr;
        while( m_writeBuffer.size() - m_writeOffset < ioBufferBytes ) {
            const auto n = nghttp2_session_mem_send( m_session, &data );
            if( n < 0 ) {
                fail( nghttp2_strerror( static_cast<int>( n ) ) );
                return;
            }
            if( n == 0 ) {
                break;
            }
            m_writeBuffer.append( toStringView( data, static_cast<std::size_t>( n ) ) );
        }
        if( m_writeOffset == m_writeBuffer.size() ) {
            break;
        }
        const auto sent = ::send( m_fd, m_writeBuffer.data() + m_writeOffset,
                                  m_writeBuffer.size() - m_writeOffset, MSG_NOSIGNAL );
        if( sent < 0 && ( errno == EAGAIN || errno == EINTR ) ) {
            return;
        }
        if( sent <= 0 ) {
            fail( "send failed" );
            return;
        }
        m_context.stats->bytesOut += static_cast<std::uint64_t>( sent );
        m_writeOffset += static_cast<std::size_t>( sent );
        if( m_writeOffset == m_writeBuffer.size() ) {
            m_writeBuffer.clear();
            m_writeOffset = 0;
        }
    }
    if( nghttp2_session_want_read( m_session ) == 0 &&
        nghttp2_session_want_write( m_session ) == 0 ) {
        fail( "session ended" );
    }
}

void Connection::tick( MonoTime now ) {
    const auto* settings = m_context.settings;
    if( m_side == Side::server || m_connecting ) {
        // The accepting side sends no pings, and its limit is longer than that of the connecting
        // side, so that the connecting side closes a silent connection first.
        const auto silenceLimit =
            m_connecting ? settings->silenceTimeout
                         : 2 * settings->silenceTimeout + 2 * settings->idlePingInterval;
        if( now - m_lastReceived > silenceLimit ) {
            fail( "silent for too long" );
        }
        return;
    }
    const auto interval =
        m_streams.size() > 1 ? settings->silenceTimeout / 3 : settings->idlePingInterval;
    // Measured from the first unanswered ping, so that later pings don't extend the limit.
    const bool unanswered = m_unansweredSince > m_lastReceived;
    if( unanswered && now - m_unansweredSince > settings->silenceTimeout * 2 / 3 ) {
        fail( "silent for too long" );
        return;
    }
    if( now - m_lastPing >= interval ) {
        m_lastPing = now;
        if( !unanswered ) {
            m_unansweredSince = now;
        }
        nghttp2_submit_ping( m_session, NGHTTP2_FLAG_NONE, nullptr );
        flush();
    }
}

void Connection::submitRequest( const StatePtr& state ) {
    const std::string authorization = "Bearer " + m_context.settings->token;
    const std::array<nghttp2_nv, 5> headers{
        header( ":method", "POST" ),
        header( ":scheme", "http" ),
        header( ":authority", "coursehead" ),
        header( ":path", state->path ),
        header( "authorization", authorization ),
    };
    const auto body = makeBodyProvider( *state );
    const auto id = nghttp2_submit_request( m_session, nullptr, headers.data(), headers.size(),
                                            &body, nullptr );
    if( id < 0 ) {
        endStream( *state, StreamEnd::refused );
        return;
    }
    state->id = id;
    state->connection = m_id;
    m_streams.emplace( id, state );
}

void Connection::applyStreamChanges( const StatePtr& state ) {
    if( find( state->id ) != state ) {
        return;
    }
    std::size_t credit = 0;
    bool cancelled = false;
    {
        const std::lock_guard lock( state->mutex );
        const auto earlyCredit = std::min( state->earlyCredit, state->uncredited );
        credit = state->uncredited - earlyCredit;
        state->earlyCredit -= earlyCredit;
        state->uncredited = 0;
        cancelled = state->cancelRequested;
    }
    if( credit > 0 ) {
        nghttp2_session_consume_stream( m_session, state->id, credit );
    }
    if( cancelled ) {
        nghttp2_submit_rst_stream( m_session, NGHTTP2_FLAG_NONE, state->id, NGHTTP2_CANCEL );
        return;
    }
    nghttp2_session_resume_data( m_session, state->id );
}

StatePtr Connection::find( std::int32_t id ) const {
    const auto it = m_streams.find( id );
    return it == m_streams.end() ? nullptr : it->second;
}

void Connection::refuse( std::int32_t id ) {
    ++m_context.stats->refusedStreams;
    nghttp2_submit_rst_stream( m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM );
}

void Connection::onBeginHeaders( std::int32_t id ) {
    if( m_side == Side::client || find( id ) != nullptr ) {
        return;
    }
    auto state = std::make_shared<StreamState>();
    state->id = id;
    state->connection = m_id;
    state->accepted = true;
    m_streams.emplace( id, std::move( state ) );
}

void Connection::onHeader( std::int32_t id, std::string_view name, std::string_view value ) {
    const auto state = find( id );
    if( state == nullptr || m_side == Side::client ) {
        return;
    }
    constexpr std::string_view bearer = "Bearer ";
    if( name == ":path" ) {
        state->path = value;
    } else if( name == "authorization" && value.rfind( bearer, 0 ) == 0 ) {
        state->token = value.substr( bearer.size() );
    }
}

void Connection::onFrame( const nghttp2_frame& frame ) {
    if( frame.hd.type == NGHTTP2_RST_STREAM ) {
        const auto now = m_lastReceived;
        if( now - m_resetWindowStart > std::chrono::seconds( 1 ) ) {
            m_resetWindowStart = now;
            m_resetCount = 0;
        }
        if( ++m_resetCount > maxResetsPerSecond ) {
            ++m_context.stats->protocolErrors;
            fail( "too many resets" );
        }
        return;
    }
    const auto state = find( frame.hd.stream_id );
    if( state == nullptr ) {
        return;
    }
    if( frame.hd.type == NGHTTP2_HEADERS && m_side == Side::server &&
        frame.headers.cat == NGHTTP2_HCAT_REQUEST ) {
        onRequestComplete( state );
    }
    const bool mayEndStream = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    if( mayEndStream && ( frame.hd.flags & NGHTTP2_FLAG_END_STREAM ) != 0 ) {
        onRemoteClosed( state );
    }
}

void Connection::onRequestComplete( const StatePtr& state ) {
    if( !sameToken( state->token, m_context.settings->token ) ) {
        ++m_context.stats->unauthorized;
        log::warn( "peer_unauthorized", { { "connection", static_cast<std::int64_t>( m_id ) } } );
        refuse( state->id );
        nghttp2_session_terminate_session( m_session, NGHTTP2_NO_ERROR );
        return;
    }
    if( !m_context.accept( state ) ) {
        refuse( state->id );
        return;
    }
    const std::array<nghttp2_nv, 1> headers{ header( ":status", "200" ) };
    const auto body = makeBodyProvider( *state );
    nghttp2_submit_response( m_session, state->id, headers.data(), headers.size(), &body );
}

void Connection::onRemoteClosed( const StatePtr& state ) {
    std::function<void()> listener;
    {
        const std::lock_guard lock( state->mutex );
        state->remoteClosed = true;
        state->changed.notify_all();
        listener = state->listener;
    }
    if( listener ) {
        listener();
    }
}

void Connection::onData( std::int32_t id, std::string_view bytes ) {
    nghttp2_session_consume_connection( m_session, bytes.size() );
    const auto state = find( id );
    if( state == nullptr ) {
        return;
    }
    std::vector<std::string> frames;
    if( !state->reader.feed( bytes, frames ) ) {
        ++m_context.stats->protocolErrors;
        nghttp2_submit_rst_stream( m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_PROTOCOL_ERROR );
        return;
    }
    if( frames.empty() ) {
        // Returns window credit for an incomplete frame: a frame larger than the stream's window
        // could otherwise never complete.
        if( state->reader.partialBytes() > earlyCreditThresholdBytes ) {
            nghttp2_session_consume_stream( m_session, id, bytes.size() );
            const std::lock_guard lock( state->mutex );
            state->earlyCredit += bytes.size();
        }
        return;
    }
    std::function<void()> listener;
    {
        const std::lock_guard lock( state->mutex );
        for( auto& it : frames ) {
            state->inbox.push_back( std::move( it ) );
        }
        state->changed.notify_all();
        listener = state->listener;
    }
    if( listener ) {
        listener();
    }
}

void Connection::onGoawaySent( std::uint32_t code ) {
    if( code != NGHTTP2_NO_ERROR ) {
        ++m_context.stats->protocolErrors;
    }
}

void Connection::onClose( std::int32_t id, std::uint32_t code ) {
    const auto state = find( id );
    if( state == nullptr ) {
        return;
    }
    m_streams.erase( id );
    bool remoteClosed = false;
    {
        const std::lock_guard lock( state->mutex );
        remoteClosed = state->remoteClosed;
    }
    if( code == NGHTTP2_REFUSED_STREAM ) {
        endStream( *state, StreamEnd::refused );
    } else if( remoteClosed ) {
        endStream( *state, StreamEnd::finished );
    } else {
        endStream( *state, StreamEnd::broken );
    }
}

} // namespace coursehead::peer::Detail
