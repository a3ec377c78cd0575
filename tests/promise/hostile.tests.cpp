// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/loop.hpp"
#include "coursehead/peer/messages.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace coursehead;
using fleet::Fleet;

namespace {

//! A plain TCP connection.
class TcpConnection {
public:
    explicit TcpConnection( int port ) : m_fd( ::socket( AF_INET, SOCK_STREAM, 0 ) ) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons( static_cast<std::uint16_t>( port ) );
        ::inet_pton( AF_INET, "127.0.0.1", &address.sin_addr );
        REQUIRE( ::connect( m_fd, reinterpret_cast<sockaddr*>( &address ), sizeof( address ) ) ==
                 0 );
    }
    ~TcpConnection() { ::close( m_fd ); }
    TcpConnection( const TcpConnection& ) = delete;
    TcpConnection& operator=( const TcpConnection& ) = delete;

    void send( std::string_view bytes ) const {
        ::send( m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL );
    }
    //! Waits until the other side closes the connection.
    bool waitForClose() const {
        char buf[4096];
        for( ;; ) {
            const auto n = ::recv( m_fd, buf, sizeof( buf ), 0 );
            if( n <= 0 ) {
                return true;
            }
        }
    }

private:
    int m_fd;
};

struct HostileSetup {
    Fleet fleet;
    HostileSetup() {
        auto& engine = fleet.engine( "e" );
        fleet.agent( "a", engine.url );
        fleet.entry( "entry", { "--max-body-bytes", "2000" } );
        fleet.waitForAgents( entry(), 1 );
        Fleet::require( entry(), fleet::defaultConfig() );
        Fleet::waitForOrders( entry(), 1 );
    }
    fleet::Node& entry() { return fleet.node( "entry" ); }
    fleet::Node& agent() { return fleet.node( "a" ); }

    void checkServes() {
        CHECK( fleet::streamCall( entry().url, fleet::chatBody( "m", "q", 5 ) ).text ==
               fleet::expectedText( "m", "q", 5 ) );
    }
};

} // namespace

TEST_CASE( "Bad requests get the right status, a reason, and what became of them",
           "[promise][hostile][process]" ) {
    HostileSetup setup;
    struct Row {
        std::string method;
        std::string path;
        std::string body;
        http::Headers headers;
        int status;
        std::string messagePart;
    };
    const std::string chat = "/v1/chat/completions";
    const std::vector<Row> rows{
        { "POST", chat, "{", {}, 400, "not a JSON object" },
        { "POST", chat, R"({"messages":[1]})", {}, 400, "'model'" },
        { "POST", chat, R"({"model":"m","messages":[]})", {}, 400, "'messages'" },
        { "POST", chat, R"({"model":"m","messages":[1],"n":2})", {}, 400, "'n' = 2" },
        { "POST", chat, R"({"model":"m","messages":[1],"stream":"yes"})", {}, 400, "'stream'" },
        { "POST", chat, R"({"model":"none","messages":[1]})", {}, 404, "'none'" },
        { "POST", chat, std::string( 3000, 'x' ), {}, 413, "larger" },
        { "GET", "/nothing", "", {}, 404, "/nothing" },
        { "POST", "/services/none/x", "", {}, 404, "'none'" },
        { "POST", "/services/cards/x", "", {}, 400, "Idempotency-Key" },
        { "POST", "/services/cards/x", "", { { "Idempotency-Key", "abc" } }, 400, "'abc'" },
        { "GET", "/v1/sessions/nothing", "", {}, 400, "Last-Event-ID" },
    };
    for( const auto& it : rows ) {
        const auto got = fleet::call( setup.entry().url, it.method, it.path, it.body, it.headers );
        INFO( it.path << " " << it.body.substr( 0, 60 ) << " -> " << got.response.body );
        CHECK( got.response.status == it.status );
        const auto body = fleet::Json::parse( got.response.body, nullptr, false );
        REQUIRE( body.is_object() );
        CHECK( body["error"]["outcome"] == "not-run" );
        CHECK_FALSE( body["error"]["code"].get<std::string>().empty() );
        CHECK( body["error"]["message"].get<std::string>().find( it.messagePart ) !=
               std::string::npos );
    }
    setup.checkServes();
}

TEST_CASE( "Oversize headers and senders that stall do not hold up anybody else",
           "[promise][hostile][process]" ) {
    HostileSetup setup;
    std::vector<std::unique_ptr<TcpConnection>> stalled;
    for( int n = 0; n < 20; ++n ) {
        stalled.push_back( std::make_unique<TcpConnection>( setup.entry().port ) );
        stalled.back()->send(
            "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{" );
    }
    const TcpConnection oversize( setup.entry().port );
    oversize.send( "GET /" + std::string( 20000, 'a' ) + " HTTP/1.1\r\n\r\n" );
    CHECK( oversize.waitForClose() );
    setup.checkServes();
}

TEST_CASE( "Garbage at the agent's port is dropped and counted, and the agent goes on",
           "[promise][hostile][process]" ) {
    HostileSetup setup;
    {
        const TcpConnection garbage( setup.agent().port );
        garbage.send( "GET / HTTP/1.1\r\nHost: x\r\n\r\n" );
        CHECK( garbage.waitForClose() );
        const TcpConnection frames( setup.agent().port );
        frames.send( "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" );
        frames.send( std::string( 9000, '\xff' ) );
        CHECK( frames.waitForClose() );
    }
    fleet::waitUntil( "both counted", [&] {
        return Fleet::metric( setup.agent().httpUrl, "coursehead_peer_protocol_errors" ) >= 2;
    } );
    setup.checkServes();
}

TEST_CASE( "Whoever is no entry gets nothing from an agent's port",
           "[promise][hostile][process]" ) {
    HostileSetup setup;
    peer::LoopSettings settings;
    settings.token = GENERATE( "x", "wrong-token", "test-tokem" );
    peer::Loop loop( settings, []( const auto&, const auto& ) {} );
    loop.start();
    const auto link = loop.connect( "127.0.0.1", setup.agent().port );
    fleet::waitUntil( "the connection", [&] { return loop.isUp( link ); } );
    const auto stream = loop.open( link, peer::runPath );
    REQUIRE( stream );
    const auto limit = MonoClock::now() + std::chrono::seconds( 10 );
    stream->send( "x", limit );
    const auto got = stream->receive( limit );
    CHECK( got.status != peer::ReceiveStatus::frame );
    CHECK( got.status != peer::ReceiveStatus::timeout );
    fleet::waitUntil( "the count", [&] {
        return Fleet::metric( setup.agent().httpUrl, "coursehead_peer_unauthorized" ) >= 1;
    } );
    setup.checkServes();
}

TEST_CASE( "Malformed messages from a peer with the token harm nobody",
           "[promise][hostile][process]" ) {
    HostileSetup setup;
    peer::LoopSettings settings;
    settings.token = "test-token";
    peer::Loop loop( settings, []( const auto&, const auto& ) {} );
    loop.start();
    const auto link = loop.connect( "127.0.0.1", setup.agent().port );
    fleet::waitUntil( "the connection", [&] { return loop.isUp( link ); } );
    const auto limit = MonoClock::now() + std::chrono::seconds( 10 );
    for( const char* path : { peer::runPath, peer::joinPath, peer::barPath, peer::claimPath,
                              peer::controlPath, "/nothing" } ) {
        const auto stream = loop.open( link, path );
        REQUIRE( stream );
        stream->send( std::string( 5000, '\x81' ), limit );
        stream->finish();
        INFO( path );
        CHECK( stream->receive( limit ).status != peer::ReceiveStatus::timeout );
    }
    setup.checkServes();
}
