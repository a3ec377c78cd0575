// SPDX-License-Identifier: BSL-1.0
#include "decide/fingerprint.hpp"

#include "kernel/hash.hpp"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace coursehead::decide {

Fingerprint fingerprintOf( const RequestContent& content ) {
    // Lengths part the fields: what stands at one's end is not taken for the next one's beginning.
    std::string head;
    for( const auto part :
         { content.organisation, content.method, content.host, content.target } ) {
        head += std::to_string( part.size() );
        head += ':';
        head += part;
    }
    return hash64( content.body, head );
}

std::string fingerprintText( Fingerprint fingerprint ) {
    constexpr std::size_t length = 17;
    std::array<char, length> buf{};
    std::snprintf( buf.data(), buf.size(), "%016" PRIx64, fingerprint );
    return buf.data();
}

std::optional<Fingerprint> parseFingerprint( std::string_view text ) {
    constexpr int hexadecimal = 16;
    Fingerprint out = 0;
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars( text.data(), end, out, hexadecimal );
    if( ec != std::errc() || ptr != end ) {
        return std::nullopt;
    }
    return out;
}

} // namespace coursehead::decide
