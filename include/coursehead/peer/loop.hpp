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
    std::string token;             //!< shared secret; a peer without it is refused
    Millis silenceTimeout{ 3000 }; //!< a connection that receives nothing for this long is closed
    Millis idlePingInterval{ 10000 };  //!< ping interval on connections without request streams
    Millis reconnectDelay{ 200 };      //!< first reconnect delay; doubles up to 16-fold, jittered
    std::size_t maxConnections = 1024; //!< most accepted connections at once
    std::size_t maxStreams = 1024;     //!< most streams at once on an accepted connection
    std::size_t maxHandlers = 512;     //!< most streams handled at once; further ones are refused
    std::uint64_t seed = 1;            //!< for reconnect jitter
};

//! Handles a stream that a peer opened. Runs on its own thread, and may keep the stream.
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

//! Identifies an outgoing connection of a Loop, which reconnects it until disconnect().
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

    //! Listens on an address (port 0 picks a free one). Returns the port, or -1 on failure. Call
    //! before start().
    int bind( const std::string& host, int port );
    void start();
    void stop();

    //! Connects to a peer, and reconnects whenever the connection is lost.
    LinkId connect( const std::string& host, int port );
    //! Closes the connection; its streams end as broken.
    void disconnect( LinkId link );
    //! True while the connection is established.
    bool isUp( LinkId link ) const;
    //! Sets the listener that the loop's thread calls whenever a link comes up or goes down. Call
    //! before start().
    void onLinkChange( std::function<void( LinkId link, bool up )> listener );
    //! Opens a stream; nullptr when the link is down, and then nothing was sent.
    std::shared_ptr<Stream> open( LinkId link, std::string_view path );

    LoopStats stats() const;

private:
    std::shared_ptr<Detail::LoopCore> m_core;
};

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_LOOP_HPP_INCLUDED
