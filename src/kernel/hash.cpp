// SPDX-License-Identifier: BSL-1.0
#include "kernel/hash.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace coursehead {

std::uint64_t hash64( std::string_view text ) {
    return XXH3_64bits( text.data(), text.size() );
}

std::uint64_t hash64( std::string_view a, std::string_view b ) {
    return XXH3_64bits_withSeed( a.data(), a.size(), hash64( b ) );
}

std::string hashText( std::string_view text ) {
    const auto hash = XXH3_128bits( text.data(), text.size() );
    constexpr std::size_t length = 33;
    std::array<char, length> buf{};
    std::snprintf( buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64, hash.high64, hash.low64 );
    return buf.data();
}

} // namespace coursehead
