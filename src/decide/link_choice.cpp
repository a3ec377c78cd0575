// SPDX-License-Identifier: BSL-1.0
#include "decide/link_choice.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace coursehead::decide {

namespace {

//! The candidates in the order in which this gateway prefers to be connected to them.
std::vector<std::size_t> ranked( std::span<const LinkCandidate> candidates,
                                 std::string_view gateway ) {
    std::vector<std::tuple<Nearness, std::uint64_t, std::size_t>> order;
    order.reserve( candidates.size() );
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        order.emplace_back( candidates[n].nearness, hash64( candidates[n].id, gateway ), n );
    }
    std::sort( order.begin(), order.end() );
    std::vector<std::size_t> out;
    out.reserve( order.size() );
    for( const auto& it : order ) {
        out.push_back( std::get<2>( it ) );
    }
    return out;
}

} // namespace

std::vector<bool> commonSidecars( std::span<const LinkCandidate> candidates ) {
    std::vector<bool> out( candidates.size(), candidates.size() <= targetLinks );
    if( candidates.size() <= targetLinks ) {
        return out;
    }
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        if( !candidates[n].failing ) {
            order.emplace_back( hash64( candidates[n].id, "common" ), n );
        }
    }
    const auto count = std::min( commonLinks, order.size() );
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>( count );
    std::partial_sort( order.begin(), middle, order.end() );
    for( auto it = order.begin(); it != middle; ++it ) {
        out[it->second] = true;
    }
    return out;
}

LinkChanges chooseLinks( std::span<const LinkCandidate> candidates, std::string_view gateway ) {
    auto kept = commonSidecars( candidates );
    LinkChanges out;
    std::size_t links = 0;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        const auto& it = candidates[n];
        if( kept[n] && !it.open ) {
            out.open.push_back( n );
        }
        kept[n] = kept[n] || ( it.open && it.inUse );
        links += kept[n] ? 1 : 0;
    }
    for( const auto n : ranked( candidates, gateway ) ) {
        const auto& it = candidates[n];
        if( kept[n] ) {
            continue;
        }
        if( it.open && links >= maxLinks ) {
            out.close.push_back( n );
        } else if( it.open ) {
            ++links;
        } else if( links < targetLinks && !it.failing ) {
            out.open.push_back( n );
            ++links;
        }
    }
    return out;
}

} // namespace coursehead::decide
