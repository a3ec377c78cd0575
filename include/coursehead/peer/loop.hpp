// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_LOOP_HPP_INCLUDED
#define COURSEHEAD_PEER_LOOP_HPP_INCLUDED

#include "coursehead/peer/stream.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace coursehead::peer {

struct LoopSettings {
    std::string token;                 //!< shared secret; a peer without it is refused
    Millis silence{ 3000 };            //!< a connection with no bytes this long is given up
    Millis idlePing{ 10000 };          //!< ping interval on connections without request streams
    Millis reconnect{ 200 };           //!< first reconnect delay; doubles up to 16 times, jittered
    std::size_t maxConnections = 1024; //!< accepted connections
    std::size_t maxStreams = 1024;     //!< streams at once on one accepted connection
    std::size_t maxHandlers = 512;     //!< streams handled at once; more are refused
    std::uint64_t seed = 1;            //!< for reconnect jitter
};

//! Handles a stream that a peer opened; runs on a thread of its own, may keep the stream.
using StreamHandler =
    std::function<void( const std::string& path, std::shared_ptr<Stream> stream )>;

//! Counters of the peer layer, for /metrics.
struct LoopStats {
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t connections = 0;
    std::uint64_t unauthorized = 0;
    std::uint64_t protocolErrors = 0;
    std::uint64_t refusedStreams = 0;
};

//! Names an outgoing connection of a Loop; it is kept up until closed.
using LinkId = std::uint64_t;

/**
 * All peer connections of a process on one thread: HTTP/2 (nghttp2) over TCP by prior knowledge,
 * any number of streams on one connection.
 */
class Loop {
public:
    Loop( LoopSettings settings, StreamHandler handler );
    ~Loop();
    Loop( const Loop& ) = delete;
    Loop& operator=( const Loop& ) = delete;

    //! Accepts peers on an address (port 0 picks one); the port, or -1. Call before start().
    int bind( const std::string& host, int port );
    void start();
    void stop();

    //! Begins to keep a connection to a peer.
    LinkId connect( const std::string& host, int port );
    //! Drops the connection; its streams end as broken.
    void disconnect( LinkId link );
    //! True while the connection is established.
    bool isUp( LinkId link ) const;
    //! Calls back on the loop's thread each time a link comes up or goes down. Set before start().
    void onLinkChange( std::function<void( LinkId link, bool up )> listener );
    //! Opens a stream; nullptr when the link is down (nothing was sent).
    std::shared_ptr<Stream> open( LinkId link, std::string_view path );

    LoopStats stats() const;

private:
    std::shared_ptr<Detail::LoopCore> m_core;
};

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_LOOP_HPP_INCLUDED
