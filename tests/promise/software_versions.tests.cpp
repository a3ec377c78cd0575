// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

#include <functional>

// Guards against streams that hold events of two software versions, and against refusals of streams
// whose version is known.

using namespace coursehead;
using namespace coursehead::soak;
using support::ClientStream;
using support::World;
using support::WorldSize;

namespace {

constexpr WorldSize twoVersions{ .gateways = 3, .engines = 6, .services = 1, .versions = 2 };
constexpr std::size_t survivor = 2; //!< the gateway that no scenario kills
constexpr WorldSize oneVersion{ .gateways = 3, .engines = 6, .services = 1, .versions = 1 };
constexpr std::size_t streamCount = 45;
constexpr std::size_t enoughResumed = 12;
constexpr int maxAttempts = 4;
constexpr Millis clientPause{ 100 };
constexpr Millis shortPause{ 5 };

//! Clients that begin streams at all gateways and resume broken ones at one of them.
struct Clients {
    World world;
    //! Of the engines. With slow ones most streams last longer than it takes to kill processes.
    RunnerMode mode = RunnerMode::slow;
    std::size_t resumeAt = survivor; //!< the gateway at which broken streams are resumed
    std::size_t beginAt = 3;         //!< number of gateways at which streams begin
    //! Runs before the streams begin, once all processes are ready.
    std::function<net::Task<>()> prepare;
    std::vector<ClientStream> streams{ streamCount };
    std::size_t finished = 0;

    explicit Clients( WorldSize size = twoVersions ) : world( size ) {}

    net::Task<> run( ClientStream& stream, std::size_t firstGateway ) {
        co_await world.receiveStream( stream, firstGateway );
        while( !stream.complete && stream.last > 0 && stream.attempts < maxAttempts ) {
            co_await net::pause( world.context, clientPause );
            co_await world.receiveStream( stream, resumeAt );
        }
        ++finished;
    }

    void beginAll() {
        for( std::size_t n = 0; n < streams.size(); ++n ) {
            net::start( world.context, run( streams[n], n % beginAt ), "client" );
        }
    }

    std::size_t countOf( bool ( *condition )( const ClientStream& ) ) const {
        return static_cast<std::size_t>(
            std::count_if( streams.begin(), streams.end(), condition ) );
    }
    std::size_t begun() const {
        return countOf( []( const auto& it ) { return it.last > 0; } );
    }
    std::size_t resumed() const {
        return countOf( []( const auto& it ) { return it.last > 0 && it.attempts > 1; } );
    }
    std::size_t resumedToTheEnd() const {
        return countOf( []( const auto& it ) { return it.complete && it.attempts > 1; } );
    }

    //! Begins all streams, calls `fault` when most have events, and waits for the clients.
    void breakStreams( const std::function<void()>& fault ) { breakStreamsTwice( fault, {} ); }
    //! Likewise, and calls `secondFault`, if set, when some streams have been resumed.
    void breakStreamsTwice( const std::function<void()>& fault,
                            const std::function<void()>& secondFault ) {
        world.progress = [this] {
            return std::to_string( begun() ) + " streams begun, " + std::to_string( resumed() ) +
                   " resumed, " + std::to_string( finished ) + " ended";
        };
        world.runScenario( [&]() -> net::Task<> {
            for( auto* it : world.runners( true ) ) {
                it->setMode( mode );
            }
            if( prepare ) {
                co_await prepare();
            }
            beginAll();
            while( begun() < streamCount * 2 / 3 ) {
                co_await net::pause( world.context, shortPause );
            }
            fault();
            while( secondFault && resumed() < enoughResumed / 2 ) {
                co_await net::pause( world.context, shortPause );
            }
            if( secondFault ) {
                secondFault();
            }
            while( finished < streams.size() ) {
                co_await net::pause( world.context, support::pollInterval );
            }
        } );
    }

    //! Half of the engines end, and others of a newer software version join in their place.
    net::Task<> release() {
        const auto engines = world.runners( true );
        for( std::size_t n = 0; n < engines.size(); n += 2 ) {
            engines[n]->setVersion( "v2" );
            engines[n]->crash();
        }
        co_await net::pause( world.context, contactBound );
        while( !std::all_of( engines.begin(), engines.end(),
                             []( const auto* it ) { return it->alive(); } ) ) {
            co_await net::pause( world.context, support::pollInterval );
        }
        co_await net::pause( world.context, contactBound );
    }
    void setStoreLinks( LinkMode linkMode ) {
        world.deployment->gateways()[survivor]->toStore->setMode( linkMode );
        for( auto& it : world.deployment->sidecars() ) {
            it->toStore->setMode( linkMode );
        }
    }

    void kill( Process& process ) {
        process.down = true;
        process.misses = 2;
        process.child->signal( SIGKILL );
    }
    void killGateway( std::size_t n ) { kill( *world.deployment->gateways()[n] ); }
    void killGateways() {
        for( std::size_t n = 0; n < survivor; ++n ) {
            killGateway( n );
        }
    }
    void killSidecars() {
        for( auto& it : world.deployment->sidecars() ) {
            kill( *it );
        }
    }

    void checkResumed() const {
        CHECK( world.record.streams().mixed() <= support::StreamWatch::maxMixed );
        REQUIRE( resumed() >= enoughResumed );
        CHECK( 2 * resumedToTheEnd() >= resumed() );
    }
};

} // namespace

TEST_CASE( "A stream resumed after its gateway was killed goes on at the version that began it",
           "[promise][versions]" ) {
    Clients clients;
    clients.breakStreams( [&] { clients.killGateways(); } );
    clients.checkResumed();
}

TEST_CASE( "A stream resumed after gateways and all sidecars were killed goes on at its version",
           "[promise][versions]" ) {
    Clients clients;
    clients.breakStreams( [&] {
        clients.killSidecars();
        clients.killGateways();
    } );
    clients.checkResumed();
}

TEST_CASE( "A stream whose engine crashed goes on at the version that began it",
           "[promise][versions]" ) {
    Clients clients;
    clients.mode = RunnerMode::normal;
    clients.breakStreams( [&] {
        const auto engines = clients.world.runners( true );
        for( std::size_t n = 0; n < engines.size(); n += 2 ) {
            engines[n]->crash();
        }
    } );
    CHECK( clients.world.record.streams().mixed() <= support::StreamWatch::maxMixed );
    CHECK( clients.countOf( []( const auto& it ) { return it.complete; } ) >= streamCount / 2 );
}

TEST_CASE(
    "A stream does not go on at an engine that started again under its id at another version",
    "[promise][versions]" ) {
    constexpr Millis downtime{ 600 };
    constexpr Millis entryDelay{ 500 };
    Clients clients;
    clients.breakStreams( [&] {
        const auto engines = clients.world.runners( true );
        for( std::size_t n = 0; n < 3; ++n ) {
            engines[n]->restartUnderSameId( n < 2 ? "v2" : "v10", downtime, entryDelay );
        }
        clients.killGateways();
    } );
    CHECK( clients.world.record.streams().mixed() <= support::StreamWatch::maxMixed );
    CHECK( clients.resumed() >= enoughResumed );
}

TEST_CASE( "A stream whose second gateway was killed too goes on at the version that began it",
           "[promise][versions]" ) {
    Clients clients;
    clients.resumeAt = 1;
    clients.breakStreamsTwice( [&] { clients.killGateway( 0 ); },
                               [&] {
                                   clients.resumeAt = survivor;
                                   clients.killGateway( 1 );
                               } );
    clients.checkResumed();
    CHECK( clients.countOf( []( const auto& it ) { return it.attempts > 2; } ) > 0 );
}

TEST_CASE( "A stream is resumed at the version that began it while the store is away",
           "[promise][versions]" ) {
    Clients clients;
    clients.breakStreams( [&] {
        clients.world.deployment->store().setMode( support::StoreMode::silent );
        clients.killGateways();
    } );
    clients.checkResumed();
}

TEST_CASE( "No stream goes on at another version after all gateways and sidecars were killed",
           "[promise][versions]" ) {
    Clients clients;
    clients.breakStreams( [&] {
        clients.killSidecars();
        clients.killGateways();
        clients.killGateway( survivor );
    } );
    CHECK( clients.world.record.streams().mixed() <= support::StreamWatch::maxMixed );
}

TEST_CASE( "A stream of a version that joined while a gateway stood still goes on at that version "
           "when it is resumed there",
           "[promise][versions]" ) {
    Clients clients( oneVersion );
    auto& late = *clients.world.deployment->gateways()[survivor];
    clients.beginAt = survivor;
    clients.prepare = [&]() -> net::Task<> {
        late.paused = true;
        late.child->signal( SIGSTOP );
        co_await clients.release();
    };
    clients.breakStreams( [&] {
        clients.killGateways();
        late.child->signal( SIGCONT );
        late.paused = false;
    } );
    clients.checkResumed();
}

TEST_CASE( "No stream goes on at another version at a gateway that was cut off while the version "
           "that began it joined",
           "[promise][versions]" ) {
    constexpr Millis cutAfterBreak{ 1000 };
    Clients clients( oneVersion );
    clients.beginAt = survivor;
    clients.prepare = [&]() -> net::Task<> {
        clients.setStoreLinks( LinkMode::silent );
        co_await clients.release();
    };
    const auto restoreLinks = [&]() -> net::Task<> {
        co_await net::pause( clients.world.context, cutAfterBreak );
        clients.setStoreLinks( LinkMode::pass );
    };
    clients.breakStreams( [&] {
        clients.killGateways();
        net::start( clients.world.context, restoreLinks(), "links" );
    } );
    CHECK( clients.world.record.streams().mixed() <= support::StreamWatch::maxMixed );
    CHECK( clients.resumed() >= enoughResumed );
}
