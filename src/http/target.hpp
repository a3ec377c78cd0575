// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_HTTP_TARGET_HPP_INCLUDED
#define COURSEHEAD_HTTP_TARGET_HPP_INCLUDED

#include "coursehead/http/message.hpp"

#include <string>
#include <string_view>

namespace coursehead::http {

//! `text` with all bytes percent-encoded that may have a meaning in a path or in a query.
std::string encodeComponent( std::string_view text );

//! The target of a request's first line: path and query, percent-encoded. A path may hold a query
//! and percent-encoded bytes of its own.
std::string targetOf( const Request& request );

} // namespace coursehead::http

#endif // COURSEHEAD_HTTP_TARGET_HPP_INCLUDED
