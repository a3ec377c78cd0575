// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <deque>

// Guards against requests whose connection ends without an answer in a planned stop of a gateway.

using namespace coursehead;
using namespace coursehead::soak;
using namespace std::chrono_literals;
using support::World;

namespace {

//! A request that a gateway got after SIGTERM.
struct LateRequest {
    Millis sentAt{ 0 }; //!< since SIGTERM
    Millis took{ 0 };
    unsigned status = 0; //!< 0: no complete answer
};

//! Clients that send requests, on new connections, to a gateway that was told to stop.
struct PlannedStop {
    World world{ { .gateways = 1, .engines = 2, .services = 2 } };
    std::string target = "/once/a";
    std::string fields; //!< further header lines
    std::size_t bodyBytes = 0;
    std::deque<LateRequest> requests;
    std::size_t ended = 0;

    net::Task<> send( LateRequest& request, std::string path, std::string id ) {
        const auto at = MonoClock::now();
        std::string text = "POST " + path + " HTTP/1.1\r\nHost: " + std::string( hostName ) +
                           "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3500\r\n" + fields +
                           "Content-Length: " + std::to_string( bodyBytes ) + "\r\n\r\n" +
                           std::string( bodyBytes, 'u' );
        world.record.asked( id, path.starts_with( "/once" ) ? Kind::once : Kind::fragile );
        request.status = co_await world.exchange( 0, std::move( text ) );
        request.took = remaining( at, MonoClock::now() );
        ++ended;
    }

    void start( MonoTime stop, std::string path ) {
        auto& request = requests.emplace_back();
        request.sentAt = remaining( stop, MonoClock::now() );
        net::start( world.context,
                    send( request, std::move( path ), "q" + std::to_string( requests.size() ) ),
                    "client" );
    }

    void run() {
        constexpr Millis interval{ 50 };
        constexpr Millis firstOutlasting{ 1200 }; // its deadline is behind the stop
        constexpr Millis last{ 3800 };            // the gateway stops later
        world.runScenario( [this, interval, firstOutlasting, last]() -> net::Task<> {
            for( const bool engines : { false, true } ) {
                for( auto* it : world.runners( engines ) ) {
                    it->setMode( RunnerMode::unresponsive );
                }
            }
            auto& gateway = *world.deployment->gateways()[0];
            const auto stop = MonoClock::now();
            gateway.stopRequestedAt = stop;
            gateway.child->signal( SIGTERM );
            bool outlasting = false;
            while( MonoClock::now() - stop < last ) {
                start( stop, target );
                if( !outlasting && MonoClock::now() - stop > firstOutlasting ) {
                    // Keeps the gateway from stopping before the end of its grace period.
                    outlasting = true;
                    start( stop, "/once/a" );
                }
                co_await net::pause( world.context, interval );
            }
            while( ended < requests.size() ) {
                co_await net::pause( world.context, support::pollInterval );
            }
        } );
    }

    void check() const {
        for( const auto& it : requests ) {
            INFO( "sent after " << it.sentAt.count() << " ms, took " << it.took.count() << " ms" );
            CHECK( it.status >= 502 );
            CHECK( it.status <= 504 );
            if( it.sentAt > 3s ) {
                CHECK( it.status == 503 );
                CHECK( it.took < 1s );
            }
        }
    }
};

} // namespace

TEST_CASE( "Requests that outlast a planned stop of their gateway are not cut without an answer",
           "[promise][leaving]" ) {
    PlannedStop stop;
    stop.run();
    stop.check();
}

TEST_CASE( "Uploads that outlast a planned stop of their gateway are not cut without an answer",
           "[promise][leaving]" ) {
    PlannedStop stop;
    stop.bodyBytes = 500000;
    stop.run();
    stop.check();
}

TEST_CASE( "Streams that do not begin in a planned stop of their gateway are not cut without an "
           "answer",
           "[promise][leaving]" ) {
    PlannedStop stop;
    stop.target = "/fragile/a";
    stop.fields = "X-Model: m0\r\nX-Token-Counts: 200,100\r\nX-Prompt-Prefix: a:200\r\n";
    stop.run();
    stop.check();
}
