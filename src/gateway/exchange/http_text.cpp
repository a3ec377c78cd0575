// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/http_text.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <cstdio>

namespace coursehead::gateway {

bool isHopByHop( const http::fields& fields, http::field name, std::string_view text ) {
    switch( name ) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        break;
    }
    const auto named = fields.find( http::field::connection );
    if( named == fields.end() ) {
        return false;
    }
    return http::token_list( named->value() ).exists( { text.data(), text.size() } );
}

void appendForwarded( std::string& out, const http::fields& fields ) {
    for( const auto& it : fields ) {
        const auto name = it.name_string();
        if( isHopByHop( fields, it.name(), { name.data(), name.size() } ) ) {
            continue;
        }
        out.append( name.data(), name.size() );
        out.append( ": " );
        out.append( it.value().data(), it.value().size() );
        out.append( "\r\n" );
    }
}

std::string answerHeadText( unsigned status, std::string_view reason, const http::fields& fields,
                            std::string_view framing, bool keepAlive ) {
    std::string out = "HTTP/1.1 " + std::to_string( status ) + " ";
    if( reason.empty() ) {
        const auto standardReason = http::obsolete_reason( static_cast<http::status>( status ) );
        out.append( standardReason.data(), standardReason.size() );
    } else {
        out.append( reason );
    }
    out.append( "\r\n" );
    appendForwarded( out, fields );
    out.append( framing );
    if( !keepAlive ) {
        out.append( "Connection: close\r\n" );
    }
    out.append( "\r\n" );
    return out;
}

std::string chunkText( std::string_view bytes ) {
    char size[20]; // NOLINT(*-avoid-c-arrays)
    std::snprintf( size, sizeof size, "%zx\r\n", bytes.size() );
    std::string out = size;
    out.append( bytes );
    out.append( "\r\n" );
    return out;
}

} // namespace coursehead::gateway
