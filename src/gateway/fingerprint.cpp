// SPDX-License-Identifier: BSL-1.0
#include "gateway/fingerprint.hpp"

#include "kernel/hash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace coursehead::gateway {

std::uint64_t fingerprintOf( const RequestContent& content ) {
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

std::string fingerprintText( std::uint64_t fingerprint ) {
    constexpr std::size_t length = 17;
    std::array<char, length> buf{};
    std::snprintf( buf.data(), buf.size(), "%016" PRIx64, fingerprint );
    return buf.data();
}

} // namespace coursehead::gateway
