// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_RELAY_CHOICE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_RELAY_CHOICE_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! A sidecar that could relay the store's changes.
struct RelayCandidate {
    std::string_view upstreamId;
    bool connected = false;
    bool avoided = false; //!< it recently fell silent or lost the store
};

/**
 * Chooses the sidecar from which a gateway receives the store's changes. All gateways use the same
 * ranking, so that few sidecars call the store; a relay serves at most `gatewaysPerRelay` gateways
 * on average. Nullopt when no candidate is both connected and not avoided.
 */
std::optional<std::size_t> chooseRelay( std::span<const RelayCandidate> candidates,
                                        std::string_view gateway, int gateways );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_RELAY_CHOICE_HPP_INCLUDED
