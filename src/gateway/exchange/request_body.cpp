// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/request_body.hpp"

#include <boost/beast/http/read.hpp>

namespace coursehead::gateway {

void BodyTable::wakeFirst() {
    if( !m_waiting.empty() ) {
        m_waiting.front()->cancel();
    }
}

BodyReservation::BodyReservation( std::shared_ptr<BodyTable> table )
    : m_table( std::move( table ) ), m_since( MonoClock::now() ) {}

BodyReservation::~BodyReservation() {
    m_table->m_room.free( m_bytes, remaining( m_since, MonoClock::now() ) );
    m_table->wakeFirst();
}

bool BodyReservation::growTo( std::uint64_t bytes ) {
    if( bytes <= m_bytes ) {
        return true;
    }
    if( !m_table->m_room.take( m_bytes, bytes - m_bytes ) ) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

net::Task<bool> BodyReservation::reserve( net::asio::io_context& context, std::uint64_t bytes,
                                          MonoTime until ) {
    auto& waiting = m_table->m_waiting;
    const bool overtakes = waiting.empty() || !decide::BodyRoom::isLarge( bytes );
    if( overtakes && growTo( bytes ) ) {
        co_return true;
    }
    net::Timer turn( context );
    const auto place = waiting.insert( waiting.end(), &turn );
    bool hasRoom = false;
    while( !hasRoom && MonoClock::now() < until ) {
        turn.expires_at( until );
        co_await turn.async_wait( net::tupled );
        hasRoom = waiting.front() == &turn && growTo( bytes );
    }
    waiting.erase( place );
    m_table->wakeFirst();
    m_since = MonoClock::now();
    co_return hasRoom;
}

net::Task<BodyRead> readBody( net::Socket& socket, boost::beast::flat_buffer& buf,
                              RequestParser& parser, BodyReservation& reservation ) {
    BodyRead out;
    while( !out.ec && !parser.is_done() ) {
        const auto [ec, n] =
            co_await boost::beast::http::async_read_some( socket, buf, parser, net::tupled );
        out.ec = ec;
        out.bytes += n;
        if( !reservation.growTo( parser.get().body().capacity() ) ) {
            out.hasRoom = false;
            co_return out;
        }
    }
    co_return out;
}

} // namespace coursehead::gateway
