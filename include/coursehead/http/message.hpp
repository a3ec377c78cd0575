// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_HTTP_MESSAGE_HPP_INCLUDED
#define COURSEHEAD_HTTP_MESSAGE_HPP_INCLUDED

#include <functional>
#include <map>
#include <string>
#include <string_view>

//! HTTP messages, independent of the libraries that read and write them.
namespace coursehead::http {

//! Compares header names case-insensitively.
struct HeaderLess {
    using is_transparent = void; // NOLINT(readability-identifier-naming): named by the standard
    bool operator()( std::string_view a, std::string_view b ) const noexcept;
};
using Headers = std::map<std::string, std::string, HeaderLess>;

struct Request {
    std::string method = "GET";
    std::string path; //!< without the query
    std::map<std::string, std::string, std::less<>> query;
    Headers headers;
    std::string body;

    //! The header's value, or `fallback` when it is absent.
    std::string_view header( std::string_view name, std::string_view fallback = {} ) const;
    //! The query parameter's value, or `fallback` when it is absent.
    std::string_view parameter( std::string_view name, std::string_view fallback = {} ) const;
};

//! Writes a part of a streamed body; false when the receiver has disconnected.
using Sink = std::function<bool( std::string_view bytes )>;
//! Produces a streamed body by calls of the sink; returning false closes the connection.
using Producer = std::function<bool( const Sink& sink )>;

struct Response {
    int status = 200;
    Headers headers;
    std::string contentType = "application/json";
    std::string body;
    Producer producer; //!< when set, the body is streamed and `body` is ignored
};

} // namespace coursehead::http

#endif // COURSEHEAD_HTTP_MESSAGE_HPP_INCLUDED
