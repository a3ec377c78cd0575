// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_ACCESS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_ACCESS_HPP_INCLUDED

#include "gateway/route_table.hpp"

#include <optional>
#include <string_view>

//! Access control: decides by a request's key whether the request may be served.
namespace coursehead::gateway {

enum class AccessVerdict {
    allowed,
    denied,    //!< the request has no key, or no organisation has this key
    undecided, //!< the key may belong to a newer configuration that this gateway has not received
};

struct AccessResult {
    AccessVerdict verdict = AccessVerdict::allowed;
    const Organisation* organisation = nullptr; //!< null where no key is needed
};

/**
 * Checks a request's key against the configuration in force. `configurationUpToDate`: the gateway
 * receives changes of the configuration. While it does not, an unknown key may have been added
 * since: the verdict is then `undecided`, and the client is told to retry.
 */
AccessResult checkAccess( const RouteTable& table, const Route& route,
                          const std::optional<KeyDigest>& key, bool configurationUpToDate );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_ACCESS_HPP_INCLUDED
