// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_HTTP_TEXT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_HTTP_TEXT_HPP_INCLUDED

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

//! Text of forwarded HTTP/1.1 messages: heads and chunks.
namespace coursehead::gateway {

namespace http = boost::beast::http;

//! True for hop-by-hop fields: the standard ones and those that the Connection field names.
bool isHopByHop( const http::fields& fields, http::field name, std::string_view text );

//! Appends the fields that are not hop-by-hop, one a line.
void appendForwarded( std::string& out, const http::fields& fields );

//! Head of an answer: status line, forwarded fields, `framing` (complete lines), Connection, and
//! the empty line.
std::string answerHeadText( unsigned status, std::string_view reason, const http::fields& fields,
                            std::string_view framing, bool keepAlive );

//! Encodes bytes as one chunk of the chunked transfer coding.
std::string chunkText( std::string_view bytes );
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_HTTP_TEXT_HPP_INCLUDED
