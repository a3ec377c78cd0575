// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/transfer.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace coursehead::gateway {

namespace {

//! How long an idle connection may be reused when the upstream announces no idle timeout: longer
//! than the pauses between requests of a busy gateway, shorter than the idle timeout of any
//! upstream.
constexpr Millis defaultIdleTimeout{ 3000 };
//! An upstream's announced idle timeout is reduced by this, so that no request is sent while the
//! upstream closes the connection.
constexpr Millis idleMargin{ 900 };
constexpr std::size_t readBufferBytes = 16U << 10U;
//! Bounds on what is read in front of the due answer. An upstream that sends more is not
//! believed to send that one at all.
constexpr int maxSurplusAnswers = 8;
constexpr std::uint64_t maxSurplusBytes = 16U << 20U;

std::string_view view( boost::beast::string_view text ) {
    return { text.data(), text.size() };
}

//! Timeout of a Keep-Alive field, which is in seconds; zero if there is none.
Millis announcedIdleTimeout( const http::fields& fields ) {
    const auto it = fields.find( http::field::keep_alive );
    if( it == fields.end() ) {
        return Millis{ 0 };
    }
    const auto text = view( it->value() );
    const auto at = text.find( "timeout=" );
    if( at == std::string_view::npos ) {
        return Millis{ 0 };
    }
    constexpr std::size_t prefix = 8;
    return std::chrono::seconds( std::atoi( std::string( text.substr( at + prefix ) ).c_str() ) );
}

MonoTime reuseDeadline( const http::fields& fields, MonoTime now ) {
    const auto announced = announcedIdleTimeout( fields );
    if( announced.count() == 0 ) {
        return now + defaultIdleTimeout;
    }
    return now + std::max( announced - idleMargin, Millis{ 0 } );
}

} // namespace

Transfer::Transfer( Node& targetNode, ConnectionPtr upstreamConnection,
                    const Choice& upstreamChoice, const Generation* generation,
                    MonoTime sendDeadline, LinkUse& use )
    : node( targetNode ), connection( std::move( upstreamConnection ) ), choice( upstreamChoice ),
      sentAt( MonoClock::now() ),
      inFlight( targetNode, generation != nullptr ? upstreamChoice.workMs : 0, generation ),
      deadline( connection->socket, sendDeadline ), linkUse( use ), buf( readBufferBytes, '\0' ) {}

void Transfer::close() {
    net::ErrorCode ec;
    connection->socket.close( ec );
}

void Transfer::startWrite( std::string requestHead, std::shared_ptr<const std::string> body ) {
    write->head = std::move( requestHead );
    write->body = std::move( body );
    const std::array bufs{ net::asio::buffer( std::as_const( write->head ) ),
                           net::asio::buffer( *write->body ) };
    net::asio::async_write( connection->socket, bufs,
                            [state = write, held = connection]( net::ErrorCode ec, std::size_t ) {
                                state->done = !ec;
                                state->failure = ec;
                            } );
}

void Transfer::startAnswer( bool bodiless ) {
    parser.emplace();
    parser->body_limit( boost::none );
    parser->skip( bodiless );
}

net::Task<bool> Transfer::dropAnswer() {
    if( ++surplusAnswers > maxSurplusAnswers ) {
        co_return false;
    }
    while( !parser->is_done() ) {
        const auto [bytes, ec] = co_await readBody();
        surplusBytes += bytes.size();
        // Of an answer that was cut, the rest of the body is the due answer.
        const bool cut = platform::holdsStatusLine( bytes );
        if( ec || cut || surplusBytes > maxSurplusBytes ) {
            co_return false;
        }
    }
    co_return parser->keep_alive();
}

net::Task<std::pair<std::string_view, net::ErrorCode>> Transfer::readBody() {
    auto& body = parser->get().body();
    body.data = buf.data();
    body.size = buf.size();
    body.more = true;
    net::ErrorCode ec;
    if( !parser->is_done() ) {
        const auto [error, n] = co_await http::async_read_some( connection->socket, connection->buf,
                                                                *parser, net::tupled );
        ec = error;
        linkUse.noteReceived( n );
    }
    if( ec == http::error::need_buffer ) {
        ec = {};
    }
    if( !ec && parser->is_done() && framing() == unframed ) {
        ec = co_await connectionFailure();
    }
    const auto got = buf.size() - parser->get().body().size;
    co_return std::pair( std::string_view( buf ).substr( 0, got ), ec );
}

net::Task<net::ErrorCode> Transfer::connectionFailure() {
    // The system reports a reset or a timeout to one operation only. If that was the write of the
    // request, reads find an orderly end. Its handler may still be queued.
    const auto executor = connection->socket.get_executor();
    co_await net::asio::post( executor, net::asio::use_awaitable );
    // The system reports EPIPE for a reset behind the orderly end of the peer's stream.
    const bool endedInOrder = write->failure == net::asio::error::broken_pipe;
    co_return endedInOrder ? net::ErrorCode{} : write->failure;
}

void Transfer::release( bool complete ) {
    // An upstream that sent an answer too many may send another one.
    const bool reusable = complete && surplusAnswers == 0 && parser->keep_alive() &&
                          !parser->need_eof() && write->done && connection->buf.size() == 0;
    if( !reusable || deadline.expired() ) {
        close();
        return;
    }
    deadline.cancel();
    const auto now = MonoClock::now();
    connection->reusableUntil = reuseDeadline( parser->get().base(), now );
    node.pool.put( connection );
}

std::string_view Transfer::framing() const {
    if( parser->chunked() ) {
        return "chunks";
    }
    return parser->need_eof() ? unframed : "length";
}

BufferedAnswer Transfer::answerHead() const {
    BufferedAnswer out;
    out.status = parser->get().result_int();
    out.reason = std::string( view( parser->get().reason() ) );
    out.fields = parser->get().base();
    return out;
}

} // namespace coursehead::gateway
