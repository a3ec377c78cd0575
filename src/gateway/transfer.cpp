// SPDX-License-Identifier: BSL-1.0
#include "gateway/transfer.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! An idle connection is used again within this when the upstream states no time of its own;
//! longer than pauses of a busy gateway, shorter than any server's idle limit.
constexpr Millis defaultIdle{ 3000 };
//! An upstream's stated idle time is cut by this, so that a request never crosses its close.
constexpr Millis idleMargin{ 900 };
constexpr std::size_t readBytes = 16U << 10U;

std::string_view view( boost::beast::string_view text ) {
    return { text.data(), text.size() };
}

//! Seconds from a Keep-Alive field's timeout; zero when there are none.
Millis statedIdle( const http::fields& fields ) {
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

MonoTime reuseUntil( const http::fields& fields, MonoTime now ) {
    const auto stated = statedIdle( fields );
    if( stated.count() == 0 ) {
        return now + defaultIdle;
    }
    return now + std::max( stated - idleMargin, Millis{ 0 } );
}

} // namespace

Transfer::Transfer( Node& to, ConnectionPtr over, const Choice& by, const Generation* generation,
                    MonoTime until )
    : node( to ), connection( std::move( over ) ), choice( by ), sentAt( MonoClock::now() ),
      inFlight( to, generation != nullptr ? by.workMs : 0, generation ),
      deadline( connection->socket, until ), buf( readBytes, '\0' ) {}

void Transfer::close() {
    net::ErrorCode ec;
    connection->socket.close( ec );
}

void Transfer::startWrite( std::string bytes ) {
    write->bytes = std::move( bytes );
    net::asio::async_write( connection->socket, net::asio::buffer( write->bytes ),
                            [state = write, held = connection]( net::ErrorCode ec, std::size_t ) {
                                state->done = !ec;
                            } );
}

net::Task<std::pair<std::string_view, net::ErrorCode>> Transfer::readBody() {
    auto& body = parser.get().body();
    body.data = buf.data();
    body.size = buf.size();
    body.more = true;
    net::ErrorCode ec;
    if( !parser.is_done() ) {
        const auto [error, n] = co_await http::async_read_some( connection->socket, connection->buf,
                                                                parser, net::tupled );
        ec = error;
    }
    if( ec == http::error::need_buffer ) {
        ec = {};
    }
    const auto got = buf.size() - parser.get().body().size;
    co_return std::pair( std::string_view( buf ).substr( 0, got ), ec );
}

void Transfer::release( bool complete ) {
    const bool sound = complete && parser.keep_alive() && !parser.need_eof() && write->done &&
                       connection->buf.size() == 0;
    if( !sound || deadline.expired() ) {
        close();
        return;
    }
    deadline.cancel();
    const auto now = MonoClock::now();
    connection->goodUntil = reuseUntil( parser.get().base(), now );
    node.pool.put( connection );
}

WholeAnswer Transfer::answerHead() const {
    WholeAnswer out;
    out.status = parser.get().result_int();
    out.reason = std::string( view( parser.get().reason() ) );
    out.fields = parser.get().base();
    return out;
}

} // namespace coursehead::gateway
