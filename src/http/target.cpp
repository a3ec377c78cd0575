// SPDX-License-Identifier: BSL-1.0
#include "http/target.hpp"

namespace coursehead::http {

namespace {

//! Bytes other than letters and digits that stand for themselves in a part of a path or query.
constexpr std::string_view plainInComponent = "-_.!~*()";
//! Bytes of a path that servers may decode or split at.
constexpr std::string_view encodedInPath = "+',;";

bool isPrintable( unsigned char c ) {
    return c > 0x20 && c < 0x7f;
}

bool isAlphanumeric( unsigned char c ) {
    return ( c >= '0' && c <= '9' ) || ( c >= 'a' && c <= 'z' ) || ( c >= 'A' && c <= 'Z' );
}

void appendEncoded( std::string& out, unsigned char c ) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    out += '%';
    out += digits[c >> 4U];
    out += digits[c & 0xfU];
}

} // namespace

std::string encodeComponent( std::string_view text ) {
    std::string out;
    for( const char it : text ) {
        const auto c = static_cast<unsigned char>( it );
        if( isAlphanumeric( c ) || plainInComponent.find( it ) != std::string_view::npos ) {
            out += it;
        } else {
            appendEncoded( out, c );
        }
    }
    return out;
}

std::string targetOf( const Request& request ) {
    std::string out = request.path.empty() ? "/" : "";
    for( const char it : request.path ) {
        const auto c = static_cast<unsigned char>( it );
        if( isPrintable( c ) && encodedInPath.find( it ) == std::string_view::npos ) {
            out += it;
        } else {
            appendEncoded( out, c );
        }
    }
    char separator = '?';
    for( const auto& [name, value] : request.query ) {
        out += separator;
        out += encodeComponent( name );
        out += '=';
        out += encodeComponent( value );
        separator = '&';
    }
    return out;
}

} // namespace coursehead::http
