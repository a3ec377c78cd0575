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

} // namespace coursehead::gateway
