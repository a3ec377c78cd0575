// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_REQUEST_BODY_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_REQUEST_BODY_HPP_INCLUDED

#include "decide/body_room.hpp"
#include "net/net.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <list>
#include <memory>
#include <string>

//! The bodies of clients' requests: read as far as there is room for them, and held with it.
namespace coursehead::gateway {

//! All bodies that a gateway holds, and those that wait for room, the first come first.
class BodyTable {
public:
    void setLimits( const decide::BodyLimits& limits ) { m_room.setLimits( limits ); }
    const decide::BodyRoom& room() const noexcept { return m_room; }

private:
    friend class BodyReservation;

    void wakeFirst();

    decide::BodyRoom m_room;
    std::list<net::Timer*> m_waiting; //!< each cancelled when its turn may have come
};

//! Room that is reserved for one body, until it is destroyed.
class BodyReservation {
public:
    explicit BodyReservation( std::shared_ptr<BodyTable> table );
    ~BodyReservation();
    BodyReservation( const BodyReservation& ) = delete;
    BodyReservation& operator=( const BodyReservation& ) = delete;

    //! Reserves room for `bytes` in all. False if there is none; what was reserved stays so.
    bool growTo( std::uint64_t bytes );
    //! The same for a whole body, which waits for its turn and room until `until`.
    net::Task<bool> reserve( net::asio::io_context& context, std::uint64_t bytes, MonoTime until );

private:
    std::shared_ptr<BodyTable> m_table;
    MonoTime m_since;
    std::uint64_t m_bytes = 0;
};

//! A body, and the room that it takes.
struct HeldBody {
    explicit HeldBody( std::shared_ptr<BodyTable> table ) : reservation( std::move( table ) ) {}

    BodyReservation reservation;
    std::string bytes;
};

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

//! Result of reading a body.
struct BodyRead {
    net::ErrorCode ec;
    std::size_t bytes = 0; //!< read from the connection
    bool hasRoom = true;
};

//! Reads the rest of a body, and reserves room as it grows beyond what is reserved: its length is
//! not known if it comes in chunks.
net::Task<BodyRead> readBody( net::Socket& socket, boost::beast::flat_buffer& buf,
                              RequestParser& parser, BodyReservation& reservation );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_REQUEST_BODY_HPP_INCLUDED
