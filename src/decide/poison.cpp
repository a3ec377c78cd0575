// SPDX-License-Identifier: BSL-1.0
#include "decide/poison.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace coursehead::decide {

namespace {

using namespace std::chrono_literals;

//! Two minutes outlast a client's tries; the last is a day, since no more than three tries may
//! follow a content's third end.
constexpr std::array<Millis, 4> holds{ 2min, 8min, 32min, 24h };

} // namespace

double evidenceWeight( std::int64_t eventsMs ) {
    return eventsMs >= longRunTime.count() ? provenWeight : 1.0;
}

Millis quarantineDuration( int times ) {
    const auto last = static_cast<int>( holds.size() ) - 1;
    return holds[static_cast<std::size_t>( std::clamp( times - 1, 0, last ) )];
}

std::vector<std::size_t> poisonHolders( Fingerprint fingerprint,
                                        std::span<const std::string_view> candidates ) {
    const auto key = std::to_string( fingerprint );
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve( candidates.size() );
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        ranked.emplace_back( hash64( candidates[n], key ), n );
    }
    const auto count = std::min( holdersPerContent, ranked.size() );
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>( count );
    std::partial_sort( ranked.begin(), end, ranked.end() );
    std::vector<std::size_t> out;
    std::for_each( ranked.begin(), end, [&out]( const auto& it ) { out.push_back( it.second ); } );
    return out;
}

} // namespace coursehead::decide
