// SPDX-License-Identifier: BSL-1.0
#include "net/frame_channel.hpp"
#include "support/run_until.hpp"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <memory>
#include <vector>

// Guards against idle connections that keep their buffers. A process of a large fleet has hundreds
// of connections, each of which carries a large message when it opens and little from then on. With
// its buffers kept an idle connection takes 80 KB at each end.

using namespace coursehead;
using support::runUntil;

namespace {

constexpr std::size_t largeMessage = 20000;

//! Both ends of one connection.
struct ChannelPair {
    std::shared_ptr<net::FrameChannel> client;
    std::shared_ptr<net::FrameChannel> server;
};

struct ChannelPairs {
    net::asio::io_context context{ 1 };
    net::Acceptor acceptor{ net::listen( context, "127.0.0.1", 0 ) };
    std::vector<ChannelPair> pairs;
    std::size_t frames = 0;
    std::size_t bytes = 0;

    void add() {
        net::Socket clientSocket( context );
        clientSocket.connect( acceptor.local_endpoint() );
        ChannelPair it;
        it.client = std::make_shared<net::FrameChannel>( std::move( clientSocket ),
                                                         net::ChannelSide::client );
        it.server = std::make_shared<net::FrameChannel>( net::Socket( acceptor.accept() ),
                                                         net::ChannelSide::server );
        for( const auto& channel : { it.client, it.server } ) {
            net::FrameChannel::FrameHandler handler = [this]( std::string_view frame ) {
                ++frames;
                bytes += frame.size();
            };
            net::start( context, channel->run( std::move( handler ) ), "channel" );
        }
        pairs.push_back( std::move( it ) );
    }
    //! Sends one message in each direction on all connections; false when one does not arrive.
    bool exchange( std::size_t size ) {
        const auto expectedFrames = frames + 2 * pairs.size();
        const std::string message( size, 'x' );
        for( const auto& it : pairs ) {
            it.client->send( message );
        }
        // The server ends send only after all messages of the clients have arrived.
        if( !runUntil( context, [&] { return frames == expectedFrames - pairs.size(); } ) ) {
            return false;
        }
        for( const auto& it : pairs ) {
            it.server->send( message );
        }
        return runUntil( context, [&] { return frames == expectedFrames; } );
    }
    ~ChannelPairs() {
        for( const auto& it : pairs ) {
            it.client->close();
            it.server->close();
        }
        context.poll();
    }
};

} // namespace

TEST_CASE( "A connection at rest keeps no buffers, however much it has carried", "[net][memory]" ) {
    constexpr std::size_t count = 100;
    constexpr std::size_t maxBytes = 60000; // of both ends together
    ChannelPairs f;
    f.add();
    REQUIRE( f.exchange( largeMessage ) );
    const auto before = ::mallinfo2().uordblks;
    while( f.pairs.size() <= count ) {
        f.add();
    }
    REQUIRE( f.exchange( largeMessage ) );
    REQUIRE( f.exchange( 10 ) );
    const auto each = ( ::mallinfo2().uordblks - before ) / count;
    INFO( "heap bytes of an idle connection, both ends: " << each );
    CHECK( each < maxBytes );
}

TEST_CASE( "Frames of all sizes arrive whole on connections that share a buffer", "[net]" ) {
    ChannelPairs f;
    for( int n = 0; n < 10; ++n ) {
        f.add();
    }
    std::size_t sent = 0;
    for( const std::size_t size : { 0U, 1U, 16383U, 16384U, 16385U, 100000U, 5U } ) {
        REQUIRE( f.exchange( size ) );
        sent += 2 * f.pairs.size() * size;
        CHECK( f.bytes == sent );
    }
}
