// SPDX-License-Identifier: BSL-1.0
#include "decide/engine_room.hpp"

#include <algorithm>

namespace coursehead::decide {

FreeRoom freeRoomOf( const EngineUse& use ) {
    FreeRoom out;
    if( use.slots > 0 ) {
        const auto left = std::max<std::int64_t>( use.slots - use.requests, 0 );
        out.places = static_cast<int>( left );
    }
    if( use.cacheTotal > 0 ) {
        out.tokens = std::max<std::int64_t>( use.cacheTotal - use.cacheUsed, 0 );
    }
    return out;
}

} // namespace coursehead::decide
