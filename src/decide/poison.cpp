// SPDX-License-Identifier: BSL-1.0
#include "decide/poison.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace coursehead::decide {

namespace {

using namespace std::chrono_literals;

//! Durations of the first and later quarantines. Two minutes are longer than a client keeps
//! retrying. The last is a day, because at most three attempts may follow a content's third end.
constexpr std::array<Millis, 4> quarantineDurations{ 2min, 8min, 32min, 24h };
constexpr std::array<Millis, 4> partQuarantineDurations{ 10s, 2min, 32min, 24h };

Millis durationOf( std::span<const Millis> durations, int times ) {
    const auto lastIndex = static_cast<int>( durations.size() ) - 1;
    return durations[static_cast<std::size_t>( std::clamp( times - 1, 0, lastIndex ) )];
}

} // namespace

std::string_view poisonKindText( PoisonKind kind ) {
    return kind == PoisonKind::part ? "part" : "content";
}

double evidenceWeight( std::int64_t eventsMs ) {
    return eventsMs >= longRunTime.count() ? provenWeight : 1.0;
}

Millis quarantineDuration( int times ) {
    return durationOf( quarantineDurations, times );
}

Millis partQuarantineDuration( int times ) {
    return durationOf( partQuarantineDurations, times );
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
