// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_LINK_USE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_LINK_USE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace coursehead::gateway {

//! Payload and headers (Ethernet, IP, TCP with timestamps) of a full packet.
inline constexpr std::size_t packetPayloadBytes = 1448;
inline constexpr std::size_t packetHeaderBytes = 66;

//! Bytes that `n` bytes of a TCP connection take on the link.
constexpr std::uint64_t bytesOnLink( std::size_t n ) {
    return n + packetHeaderBytes * ( 1 + n / packetPayloadBytes );
}

//! Bytes of requests and answers that have passed the gateway's link, with their heads and packet
//! headers, in each direction.
struct LinkUse {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;

    void noteReceived( std::size_t n ) { received += n > 0 ? bytesOnLink( n ) : 0; }
    void noteSent( std::size_t n ) { sent += n > 0 ? bytesOnLink( n ) : 0; }
    void add( const LinkUse& other ) {
        received += other.received;
        sent += other.sent;
    }
    //! A link carries its rate in each direction.
    std::uint64_t busierDirection() const { return std::max( received, sent ); }
};

//! What clients have brought to the gateway since the last log line about it.
struct ClientTraffic {
    int connections = 0; //!< accepted
    int requests = 0;    //!< read whole
    int left = 0;        //!< of these, requests whose client had left by then
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_LINK_USE_HPP_INCLUDED
