// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_NET_SEND_QUEUE_HPP_INCLUDED
#define COURSEHEAD_NET_SEND_QUEUE_HPP_INCLUDED

#include "net/net.hpp"

#include <cstddef>
#include <optional>

namespace coursehead::net {

//! Bytes that the operating system has accepted for a connection and the other side has not
//! acknowledged, sent or not (Linux: SIOCOUTQ). Empty if it does not tell, with a log line.
std::optional<std::size_t> unacknowledgedBytes( Socket& socket );

} // namespace coursehead::net

#endif // COURSEHEAD_NET_SEND_QUEUE_HPP_INCLUDED
