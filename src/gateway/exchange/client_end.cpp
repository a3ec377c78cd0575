// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/client_end.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace coursehead::gateway {

bool checkDisconnected( ClientConnection& client ) {
    if( client.disconnected || !client.socket.is_open() ) {
        return client.disconnected = true;
    }
    char byte = 0;
    const auto n = ::recv( client.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT );
    const bool open = n > 0 || ( n < 0 && ( errno == EAGAIN || errno == EWOULDBLOCK ) );
    return client.disconnected = !open;
}

} // namespace coursehead::gateway
