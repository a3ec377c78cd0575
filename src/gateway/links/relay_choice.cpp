// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/relay_choice.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <vector>

namespace coursehead::gateway {

namespace {

//! A relay sends each change once to each of its gateways. Thirty-two gateways cost it well below
//! 1 % of a core, and with 400 gateways only 13 relays call the store.
constexpr int gatewaysPerRelay = 32;

} // namespace

std::optional<std::size_t> chooseRelay( std::span<const RelayCandidate> candidates,
                                        std::string_view gateway, int gateways ) {
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        if( candidates[n].connected && !candidates[n].avoided ) {
            ranked.emplace_back( hash64( candidates[n].upstreamId, "relay" ), n );
        }
    }
    if( ranked.empty() ) {
        return std::nullopt;
    }
    std::sort( ranked.begin(), ranked.end() );
    const int groups = 1 + ( gateways - 1 ) / gatewaysPerRelay;
    const auto group = hash64( gateway, "relay" ) % static_cast<std::uint64_t>( groups );
    return ranked[group % ranked.size()].second;
}

} // namespace coursehead::gateway
