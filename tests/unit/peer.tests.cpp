// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/frame.hpp"
#include "coursehead/peer/loop.hpp"
#include "coursehead/peer/messages.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

using namespace coursehead::peer;

TEST_CASE( "Frames survive any cutting of the byte stream", "[peer][frame]" ) {
    rc::prop( "whatever the pieces, the frames come out as they went in",
              []( const std::vector<std::string>& messages, std::uint8_t step ) {
                  std::string bytes;
                  for( const auto& it : messages ) {
                      appendFrame( bytes, it );
                  }
                  FrameReader reader;
                  std::vector<std::string> out;
                  const std::size_t pieceBytes = step % 7 + 1;
                  for( std::size_t at = 0; at < bytes.size(); at += pieceBytes ) {
                      RC_ASSERT(
                          reader.feed( std::string_view( bytes ).substr( at, pieceBytes ), out ) );
                  }
                  RC_ASSERT( out == messages );
                  RC_ASSERT( reader.atBoundary() );
              } );
}

TEST_CASE( "A frame larger than the limit is refused before it is stored",
           "[peer][frame][hostile]" ) {
    FrameReader reader;
    std::vector<std::string> out;
    CHECK_FALSE( reader.feed( std::string( "\xff\xff\xff\xff", 4 ), out ) );
    CHECK_FALSE( reader.feed( "more", out ) );
    CHECK( out.empty() );
}

TEST_CASE( "Messages come back as they were sent", "[peer][codec]" ) {
    RunRequest request;
    request.requestId = "r1";
    request.attempt = 2;
    request.target = { TargetKind::model, "reviews", "fraud" };
    request.body = std::string( "\x00\xff{}", 4 );
    request.deadlineMs = 61000;
    const auto decoded = decode( encode( request ) );
    REQUIRE( decoded.ok );
    const auto& received = std::get<RunRequest>( decoded.message );
    CHECK( received.requestId == "r1" );
    CHECK( received.attempt == 2 );
    CHECK( received.target.adapter == "fraud" );
    CHECK( received.body == request.body );
    CHECK( received.deadlineMs == 61000 );
}

TEST_CASE( "Malformed messages are refused without a throw", "[peer][codec][hostile]" ) {
    const auto deeplyNested = std::string( maxFrameBytes, '\x81' ); // nested arrays of one element
    const std::string bytes =
        GENERATE_COPY( std::string(), std::string( "\x82\x00", 2 ),
                       std::string( "\x82\x18\x63\xa0", 4 ), deeplyNested, std::string( "hello" ) );
    const auto decoded = decode( bytes );
    CHECK_FALSE( decoded.ok );
    CHECK_FALSE( decoded.error.detail.empty() );
}

TEST_CASE( "No bytes make the decoder throw", "[peer][codec][hostile]" ) {
    rc::prop( "any bytes, and any damage to a valid message",
              []( const std::vector<std::uint8_t>& bytes, std::uint16_t at, std::uint8_t value ) {
                  decode( std::string( bytes.begin(), bytes.end() ) );
                  auto valid = encode( RunChunk{ "r1", 7, "text" } );
                  valid[at % valid.size()] = static_cast<char>( value );
                  decode( valid );
              } );
}

TEST_CASE( "A peer that fell silent is given up though pings go out all the time",
           "[peer][loop]" ) {
    // The kernel accepts connections on this socket, but no process reads from them.
    const int listener = ::socket( AF_INET, SOCK_STREAM, 0 );
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton( AF_INET, "127.0.0.1", &address.sin_addr );
    socklen_t size = sizeof( address );
    auto* generic = reinterpret_cast<sockaddr*>( &address );
    REQUIRE( ::bind( listener, generic, size ) == 0 );
    REQUIRE( ::listen( listener, 8 ) == 0 );
    ::getsockname( listener, generic, &size );

    LoopSettings settings;
    settings.token = "t";
    settings.silenceTimeout = coursehead::Millis( 2000 );
    std::atomic<bool> up{ false };
    std::atomic<bool> lost{ false };
    Loop loop( settings, []( const auto&, const auto& ) {} );
    loop.onLinkChange( [&]( LinkId, bool isUp ) {
        lost = lost || ( up && !isUp );
        up = isUp;
    } );
    loop.start();
    const auto link = loop.connect( "127.0.0.1", ntohs( address.sin_port ) );
    fleet::waitUntil( "the connection", [&] { return loop.isUp( link ); } );
    const auto firstStream = loop.open( link, runPath );
    const auto secondStream = loop.open( link, runPath );
    fleet::waitUntil(
        "the link to be given up", [&] { return lost.load(); }, 10 );
    CHECK( firstStream->receive( coursehead::MonoTime{} ).status == ReceiveStatus::broken );
    loop.stop();
    ::close( listener );
}
