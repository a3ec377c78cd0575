// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/frame.hpp"
#include "coursehead/peer/messages.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

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
                  const std::size_t n = step % 7 + 1;
                  for( std::size_t at = 0; at < bytes.size(); at += n ) {
                      RC_ASSERT( reader.feed( std::string_view( bytes ).substr( at, n ), out ) );
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
    const auto& back = std::get<RunRequest>( decoded.message );
    CHECK( back.requestId == "r1" );
    CHECK( back.attempt == 2 );
    CHECK( back.target.adapter == "fraud" );
    CHECK( back.body == request.body );
    CHECK( back.deadlineMs == 61000 );
}

TEST_CASE( "Malformed messages are refused without a throw", "[peer][codec][hostile]" ) {
    const auto deep = std::string( maxFrameBytes, '\x81' ); // nested arrays of one element
    const std::string bytes =
        GENERATE_COPY( std::string(), std::string( "\x82\x00", 2 ),
                       std::string( "\x82\x18\x63\xa0", 4 ), deep, std::string( "hello" ) );
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
