// SPDX-License-Identifier: BSL-1.0
#include "decide/stream_origin.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace coursehead::decide {

StreamKey streamKeyOf( std::string_view attemptId ) {
    return hash64( attemptId );
}

std::vector<std::size_t> rankedForStream( StreamKey key, std::span<const std::string_view> names,
                                          std::size_t count ) {
    const auto keyText = std::to_string( key );
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve( names.size() );
    for( std::size_t n = 0; n < names.size(); ++n ) {
        ranked.emplace_back( hash64( names[n], keyText ), n );
    }
    const auto end =
        ranked.begin() + static_cast<std::ptrdiff_t>( std::min( count, ranked.size() ) );
    std::partial_sort( ranked.begin(), end, ranked.end(), std::greater<>() );
    std::vector<std::size_t> out;
    std::for_each( ranked.begin(), end, [&out]( const auto& it ) { out.push_back( it.second ); } );
    return out;
}

} // namespace coursehead::decide
