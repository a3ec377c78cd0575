// SPDX-License-Identifier: BSL-1.0
#include "net/send_queue.hpp"

#include "coursehead/kernel/log.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace coursehead::net {

std::optional<std::size_t> unacknowledgedBytes( Socket& socket ) {
    int n = 0;
    if( ::ioctl( socket.native_handle(), SIOCOUTQ, &n ) != 0 ) {
        log::debug( "socket_option_failed", { { "option", "SIOCOUTQ" } } );
        return std::nullopt;
    }
    return static_cast<std::size_t>( n );
}

} // namespace coursehead::net
