// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_ACCESS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_ACCESS_HPP_INCLUDED

#include "gateway/route_table.hpp"

#include <optional>
#include <string_view>

//! Whether a request may be served, by the key that it carries.
namespace coursehead::gateway {

enum class AccessVerdict {
    allowed,
    denied,    //!< no organisation has the key, or there is none
    undecided, //!< the key may belong to a configuration that this gateway has not heard of
};

struct Access {
    AccessVerdict verdict = AccessVerdict::allowed;
    const Organisation* organisation = nullptr; //!< null where the route needs no key
};

/**
 * Judges a request's key by the configuration in force. `configurationUpToDate`: the gateway hears
 * of changes of the configuration. While it does not, a key that it lacks may have been added
 * since: that request is not denied, but told to come back.
 */
Access checkAccess( const RouteTable& table, const Route& route,
                    const std::optional<KeyDigest>& key, bool configurationUpToDate );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_ACCESS_HPP_INCLUDED
