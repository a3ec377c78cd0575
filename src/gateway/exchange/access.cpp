// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/access.hpp"

namespace coursehead::gateway {

AccessResult checkAccess( const RouteTable& table, const Route& route,
                          const std::optional<KeyDigest>& key, bool configurationUpToDate ) {
    if( !table.configuration().keyed || route.keyless ) {
        return {};
    }
    if( !key ) {
        return { AccessVerdict::denied, nullptr };
    }
    if( const auto* organisation = table.organisationOf( *key ) ) {
        return { AccessVerdict::allowed, organisation };
    }
    return { configurationUpToDate ? AccessVerdict::denied : AccessVerdict::undecided, nullptr };
}

} // namespace coursehead::gateway
