// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_LINK_TRAFFIC_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_LINK_TRAFFIC_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace coursehead::gateway {

enum class Direction { in, out };

/**
 * Counts messages and bytes between a gateway and sidecars, by message type and by the sidecar's
 * location. There are only sums over all connections, none for each connection.
 */
struct LinkTraffic {
    metrics::Metrics* metrics = nullptr; //!< null: messages are not counted
    std::string_view location = "unknown";

    void countMessage( Direction direction, std::string_view kind, std::size_t bytes ) const {
        if( metrics == nullptr ) {
            return;
        }
        std::string reason( direction == Direction::in ? "in " : "out " );
        reason.append( kind ).append( " " ).append( location );
        metrics->count( "sidecar_messages", reason );
        metrics->count( "sidecar_bytes", reason, bytes );
    }
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_LINK_TRAFFIC_HPP_INCLUDED
