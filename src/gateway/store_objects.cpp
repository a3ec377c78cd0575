// SPDX-License-Identifier: BSL-1.0
#include "gateway/store_objects.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

std::optional<Upstream> upstreamOf( const platform::StoreObject& object ) {
    std::string problem;
    auto out = platform::readUpstream( object.name, object.spec, problem );
    if( !out ) {
        log::error( "upstream_unreadable", { { "upstream", object.name }, { "detail", problem } } );
        return std::nullopt;
    }
    out->created = object.created;
    return out;
}

std::optional<decide::Quarantine> quarantineOf( const platform::StoreObject& object ) {
    std::string problem;
    const auto out = platform::readQuarantine( object, systemClock().wall(), problem );
    if( !out ) {
        log::error( "quarantine_unreadable", { { "name", object.name }, { "detail", problem } } );
    }
    return out;
}

} // namespace coursehead::gateway
