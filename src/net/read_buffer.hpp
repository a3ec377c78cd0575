// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_NET_READ_BUFFER_HPP_INCLUDED
#define COURSEHEAD_NET_READ_BUFFER_HPP_INCLUDED

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace coursehead::net {

//! Limit on the bytes of a connection that are read and not yet parsed. A parser leaves the size
//! line of a chunk, its extension and the trailers in the buffer until they are complete, and does
//! not count them.
inline constexpr std::size_t maxUnparsedBytes = 128U << 10U;

//! A buffer for the bytes of an HTTP connection that are not yet parsed. A read beyond its limit
//! fails with http::error::buffer_overflow.
class ReadBuffer : public boost::beast::flat_buffer {
public:
    //! `headBytes`: limit on a head, if it is larger than that of the parsers.
    explicit ReadBuffer( std::size_t headBytes = 0 )
        : boost::beast::flat_buffer( maxUnparsedBytes + headBytes ) {}
    void setHeadLimit( std::size_t headBytes ) { max_size( maxUnparsedBytes + headBytes ); }
};

} // namespace coursehead::net

#endif // COURSEHEAD_NET_READ_BUFFER_HPP_INCLUDED
