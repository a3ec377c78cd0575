// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_HTTP_TEXT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_HTTP_TEXT_HPP_INCLUDED

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

//! Heads of HTTP/1.1 messages that are passed on.
namespace coursehead::gateway {

namespace http = boost::beast::http;

//! True for fields that concern one connection only: the standard ones, and those that the
//! Connection field names.
bool isHopByHop( const http::fields& fields, http::field name, std::string_view text );

//! The fields that travel on, each on its line.
void appendForwarded( std::string& out, const http::fields& fields );

//! Status line, forwarded fields, `framing` (whole lines), Connection, and the empty line.
std::string answerHeadText( unsigned status, std::string_view reason, const http::fields& fields,
                            std::string_view framing, bool keepAlive );

//! A chunk of the chunked coding.
std::string chunkText( std::string_view bytes );
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_HTTP_TEXT_HPP_INCLUDED
