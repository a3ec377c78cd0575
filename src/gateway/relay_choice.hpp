// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_RELAY_CHOICE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_RELAY_CHOICE_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! A sidecar that could pass the store's changes on.
struct RelayCandidate {
    std::string_view upstreamId;
    bool connected = false;
    bool avoided = false; //!< it was silent or without the store lately
};

/**
 * The sidecar that a gateway takes the store's changes from. Gateways choose alike, so that few
 * sidecars call the store; one relay serves at most `gatewaysPerRelay` of them on average. Nullopt
 * when none is connected.
 */
std::optional<std::size_t> chooseRelay( std::span<const RelayCandidate> candidates,
                                        std::string_view gateway, int gateways );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_RELAY_CHOICE_HPP_INCLUDED
