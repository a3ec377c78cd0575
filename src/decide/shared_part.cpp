// SPDX-License-Identifier: BSL-1.0
#include "decide/shared_part.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

constexpr std::string_view blanks = " \t";
constexpr std::size_t maxLoggedParts = 8;

std::string_view trimmed( std::string_view text ) {
    const auto begin = text.find_first_not_of( blanks );
    if( begin == std::string_view::npos ) {
        return {};
    }
    text.remove_prefix( begin );
    return text.substr( 0, text.find_last_not_of( blanks ) + 1 );
}

char lowerCase( char letter ) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>( letter - 'A' + 'a' ) : letter;
}

} // namespace

SharedPart sharedPart( std::string_view id ) {
    auto text = trimmed( id );
    while( text.size() > 1 && text.front() == '0' ) {
        text.remove_prefix( 1 );
    }
    SharedPart out;
    out.id = text;
    std::transform( out.id.begin(), out.id.end(), out.id.begin(), lowerCase );
    out.fingerprint = hash64( "prompt part", out.id );
    return out;
}

std::string fingerprintList( std::span<const SharedPart> parts ) {
    std::string out;
    for( const auto& it : parts.first( std::min( parts.size(), maxLoggedParts ) ) ) {
        out += ( out.empty() ? "" : "," ) + fingerprintText( it.fingerprint );
    }
    return out;
}

} // namespace coursehead::decide
