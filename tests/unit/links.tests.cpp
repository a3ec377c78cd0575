// SPDX-License-Identifier: BSL-1.0
#include "decide/link_choice.hpp"
#include "gateway/choice/fleet.hpp"
#include "gateway/choice/selection.hpp"
#include "gateway/links/sidecar_link.hpp"
#include "support/run_until.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>

// Guards against connections from every gateway to every sidecar. 356 gateways and 624 sidecars had
// 222,144 connections, a gateway with 1.4 requests per second read 1,400 reports per second, and
// every process grew with the fleet.

using namespace coursehead;
using namespace coursehead::decide;
using namespace coursehead::gateway;
using namespace std::chrono_literals;
using support::runUntil;

namespace {

constexpr int halls = 6;

struct Sidecars {
    std::vector<std::string> names;
    std::vector<LinkCandidate> candidates;

    explicit Sidecars( int count ) {
        names.reserve( static_cast<std::size_t>( count ) );
        for( int n = 0; n < count; ++n ) {
            names.push_back( "engine-" + std::to_string( n ) );
            LinkCandidate it;
            it.id = names.back();
            it.nearness = n % halls == 0 ? Nearness::sameHall : Nearness::sameRegion;
            candidates.push_back( it );
        }
    }
    //! Applies the chosen changes, and returns the number of open connections.
    std::size_t applyChanges( std::string_view gateway ) {
        const auto changes = chooseLinks( candidates, gateway );
        for( const auto n : changes.open ) {
            candidates[n].open = true;
        }
        for( const auto n : changes.close ) {
            candidates[n].open = false;
        }
        return countOpen();
    }
    std::size_t countOpen() const {
        std::size_t out = 0;
        for( const auto& it : candidates ) {
            out += it.open ? 1 : 0;
        }
        return out;
    }
};

} // namespace

TEST_CASE( "A gateway before few sidecars is connected to all", "[gateway][links]" ) {
    Sidecars sidecars( static_cast<int>( targetLinks ) );
    CHECK( sidecars.applyChanges( "gateway-1" ) == targetLinks );
    CHECK( sidecars.applyChanges( "gateway-1" ) == targetLinks );
}

TEST_CASE( "A gateway's connections do not grow with the sidecars", "[gateway][links]" ) {
    for( const int count : { 65, 624, 1248, 5000 } ) {
        Sidecars sidecars( count );
        CHECK( sidecars.applyChanges( "gateway-1" ) == targetLinks );
        // Requests open further connections.
        for( std::size_t n = 0; n < sidecars.candidates.size(); n += 10 ) {
            sidecars.candidates[n].open = true;
        }
        CHECK( sidecars.applyChanges( "gateway-1" ) <= maxLinks + commonLinks );
    }
}

TEST_CASE( "Connections that are in use stay open", "[gateway][links]" ) {
    rc::check( "whatever else is open", [] {
        Sidecars sidecars( 300 );
        const auto usedIndexes = *rc::gen::container<std::vector<std::size_t>>(
            150, rc::gen::inRange<std::size_t>( 0, 300 ) );
        for( const auto n : usedIndexes ) {
            sidecars.candidates[n].open = true;
            sidecars.candidates[n].inUse = true;
        }
        sidecars.applyChanges( "gateway-1" );
        for( const auto n : usedIndexes ) {
            RC_ASSERT( sidecars.candidates[n].open );
        }
        // The choice is stable: choosing again changes nothing.
        const auto secondChanges = chooseLinks( sidecars.candidates, "gateway-1" );
        RC_ASSERT( secondChanges.open.empty() );
        RC_ASSERT( secondChanges.close.empty() );
    } );
}

TEST_CASE( "The same few sidecars see all gateways, and others when these can't be reached",
           "[gateway][links]" ) {
    constexpr int gateways = 50;
    const auto connectedToAllGateways = []( const std::vector<std::size_t>& failing ) {
        std::map<std::size_t, int> gatewaysPerSidecar;
        for( int n = 0; n < gateways; ++n ) {
            Sidecars sidecars( 624 );
            for( const auto it : failing ) {
                sidecars.candidates[it].failing = true;
            }
            for( const auto it :
                 chooseLinks( sidecars.candidates, "gateway-" + std::to_string( n ) ).open ) {
                ++gatewaysPerSidecar[it];
            }
        }
        std::vector<std::size_t> out;
        for( const auto& [sidecar, count] : gatewaysPerSidecar ) {
            if( count == gateways ) {
                out.push_back( sidecar );
            }
        }
        return out;
    };
    const auto first = connectedToAllGateways( {} );
    CHECK( first.size() >= commonLinks );
    const auto second = connectedToAllGateways( first );
    CHECK( second.size() >= commonLinks );
    CHECK( first != second );
}

TEST_CASE( "Connections at rest are spread over the sidecars of a hall, and stay in it",
           "[gateway][links]" ) {
    std::map<std::size_t, int> gatewaysPerSidecar;
    constexpr int gateways = 60;
    constexpr int sidecarCount = 624;
    std::size_t outsideHall = 0;
    for( int n = 0; n < gateways; ++n ) {
        Sidecars sidecars( sidecarCount );
        for( const auto it :
             chooseLinks( sidecars.candidates, "gateway-" + std::to_string( n ) ).open ) {
            ++gatewaysPerSidecar[it];
            outsideHall += sidecars.candidates[it].nearness == Nearness::sameHall ? 0 : 1;
        }
    }
    CHECK( outsideHall <= commonLinks * gateways );
    int maxGateways = 0;
    for( const auto& [sidecar, count] : gatewaysPerSidecar ) {
        maxGateways = std::max( maxGateways, count < gateways ? count : 0 );
    }
    // 60 gateways with 48 connections each to the 104 sidecars of the hall are 28 per sidecar.
    // Sidecars to which all gateways are connected have 60, and don't count here.
    CHECK( maxGateways < 50 );
}

TEST_CASE( "What is not seen of an engine is taken to be usual", "[gateway][links]" ) {
    std::vector<Candidate> candidates( 4 );
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        auto& it = candidates[n];
        it.workMs = 240;
        it.unsharedWorkMs = 80;
        it.uncachedTokens = 9000;
        it.unsharedTokens = 3000;
        it.affinity = n;
    }
    candidates[0].backlogMs = 100;
    candidates[1].backlogMs = 300;
    candidates[2].seen = false;
    candidates[3].seen = false;
    SECTION( "as busy as the others, and the shared parts lie where all send them" ) {
        estimateUnseenLoads( candidates );
        CHECK( candidates[2].backlogMs == Approx( 200 ) );
        CHECK( candidates[2].workMs == Approx( 240 ) );
        CHECK( candidates[3].backlogMs == Approx( 200 ) );
        CHECK( candidates[3].workMs == Approx( 80 ) );
        CHECK( candidates[3].uncachedTokens == 3000 );
        CHECK( choose( candidates ) == 3U );
    }
    SECTION( "where the shared parts lie is no matter of guessing once it is seen" ) {
        candidates[3].seen = true;
        estimateUnseenLoads( candidates );
        CHECK( candidates[3].workMs == Approx( 240 ) );
        CHECK( candidates[2].workMs == Approx( 240 ) );
    }
    SECTION( "nor does an engine without the model keep them" ) {
        candidates[3].holds = false;
        estimateUnseenLoads( candidates );
        CHECK( candidates[3].workMs == Approx( 240 ) );
        CHECK( candidates[2].workMs == Approx( 80 ) );
    }
}

namespace {

//! A minimal sidecar: accepts connections, records messages, and answers engine updates and ensure
//! requests.
struct FakeSidecar {
    net::asio::io_context& context;
    net::Acceptor acceptor;
    int accepted = 0;
    int connected = 0;
    std::vector<std::string> messageKinds; //!< kinds of the received messages, in their order

    explicit FakeSidecar( net::asio::io_context& loop )
        : context( loop ), acceptor( net::listen( loop, "127.0.0.1", 0 ) ) {
        net::start( context, accept(), "accept" );
    }
    int port() const { return acceptor.local_endpoint().port(); }

    net::Task<> accept() {
        for( ;; ) {
            auto [ec, socket] = co_await acceptor.async_accept( net::tupled );
            if( ec ) {
                co_return;
            }
            auto task = serve( net::Socket( std::move( socket ) ) );
            net::start( context, std::move( task ), "peer" );
        }
    }
    net::Task<> serve( net::Socket socket ) {
        ++accepted;
        ++connected;
        auto channel =
            std::make_shared<net::FrameChannel>( std::move( socket ), net::ChannelSide::server );
        net::FrameChannel::FrameHandler handler = [this, channel]( std::string_view frame ) {
            const auto message = decode( frame );
            REQUIRE( message );
            if( std::get_if<EngineUpdate>( &*message ) != nullptr ) {
                messageKinds.emplace_back( "engineUpdate" );
                channel->send( encode( Message( SidecarReport{} ) ) );
            } else if( const auto* request = std::get_if<EnsureRequest>( &*message ) ) {
                messageKinds.emplace_back( "ensureRequest" );
                EnsureAnswer answer;
                answer.number = request->number;
                answer.outcome = EnsureOutcome::ready;
                channel->send( encode( Message( answer ) ) );
            } else if( std::get_if<DemandUpdate>( &*message ) != nullptr ) {
                messageKinds.emplace_back( "demandUpdate" );
            }
        };
        co_await channel->run( std::move( handler ) );
        --connected;
    }
};

} // namespace

TEST_CASE( "A connection to a sidecar opens with the first question, and again with the next",
           "[gateway][links]" ) {
    net::asio::io_context context{ 1 };
    FakeSidecar fakeSidecar( context );
    auto link = std::make_shared<SidecarLink>( context, "127.0.0.1", fakeSidecar.port() );
    SidecarLink::Handlers handlers;
    handlers.connected = [&] {
        link->send( DemandUpdate{} );
    };
    link->setHandlers( std::move( handlers ) );
    EngineUpdate update;
    update.gateway = "gateway-1";
    link->announceEngine( update, encodeSpec( EngineSpec{} ) );
    CHECK( link->state() == LinkState::closed );
    const auto sendEnsure = [&] {
        std::optional<EnsureAnswer> answer;
        auto task = [&]() -> net::Task<> {
            EnsureRequest request;
            request.limitMs = 1000;
            answer = co_await link->ensure( std::move( request ) );
        };
        net::asio::co_spawn( context, task, net::asio::detached );
        REQUIRE( runUntil( context, [&] { return answer.has_value(); } ) );
        return answer->outcome;
    };
    CHECK( sendEnsure() == EnsureOutcome::ready );
    // The updates that the request depends on are sent before it.
    CHECK( fakeSidecar.messageKinds ==
           std::vector<std::string>{ "engineUpdate", "demandUpdate", "ensureRequest" } );
    CHECK( link->up() );
    CHECK_FALSE( link->unusedSince( MonoClock::now() - 10s ) );
    CHECK( link->unusedSince( MonoClock::now() + 1s ) );
    link->close();
    CHECK( runUntil( context, [&] { return fakeSidecar.connected == 0; } ) );
    CHECK( sendEnsure() == EnsureOutcome::ready );
    CHECK( fakeSidecar.accepted == 2 );
    link->stop();
    CHECK( runUntil( context, [&] { return fakeSidecar.connected == 0; } ) );
    // A stopped link doesn't connect again, and its requests fail.
    CHECK( sendEnsure() == EnsureOutcome::failed );
    CHECK( fakeSidecar.accepted == 2 );
}

TEST_CASE( "A sidecar that can't be reached is known to be so after one question",
           "[gateway][links]" ) {
    net::asio::io_context context{ 1 };
    int port = 0;
    {
        // A port without a listener.
        FakeSidecar closedSidecar( context );
        port = closedSidecar.port();
        closedSidecar.acceptor.close();
        const auto end = MonoClock::now() + 20ms;
        runUntil( context, [&] { return MonoClock::now() > end; } );
    }
    context.restart();
    auto link = std::make_shared<SidecarLink>( context, "127.0.0.1", port );
    CHECK( link->mayBeResponsive( MonoClock::now() ) );
    std::optional<bool> reached;
    auto task = [&]() -> net::Task<> {
        reached = co_await link->waitUntilOpen( 1000ms );
    };
    net::asio::co_spawn( context, task, net::asio::detached );
    REQUIRE( runUntil( context, [&] { return reached.has_value(); } ) );
    CHECK_FALSE( *reached );
    CHECK( link->state() == LinkState::failing );
    CHECK_FALSE( link->mayBeResponsive( MonoClock::now() ) );
    link->stop();
}

namespace {

//! A gateway's view of a fleet in which `holders` engines hold the model.
struct FleetFixture {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    Fleet fleet;

    FleetFixture( int engines, int holders ) : fleet( context, random, settings() ) {
        Configuration configuration;
        configuration.version = 1;
        auto spec = std::make_shared<EngineSpec>();
        spec->slots = 64;
        spec->cacheTokens = 240000;
        spec->weightsMb = 220000;
        spec->models.push_back( { "m", 65000, 12, 3, 5000ms, 1000ms, 380ms } );
        Service service;
        service.name = "models";
        service.engine = spec;
        configuration.services.emplace( service.name, service );
        fleet.setConfiguration( std::make_shared<RouteTable>( std::move( configuration ) ),
                                MonoClock::now() );
        std::map<std::string, Member> members;
        for( int n = 0; n < engines; ++n ) {
            Upstream it;
            it.id = "engine-" + std::to_string( n );
            it.service = "models";
            // No process listens on this port.
            it.ip = "127.0.0.1";
            it.port = 1;
            it.hall = "hall";
            if( n < holders ) {
                it.residents = { { "m", {} } };
            }
            members.emplace( it.id, Member{ it, false } );
        }
        fleet.sync( members, MonoClock::now() );
    }
    static FleetSettings settings() {
        FleetSettings out;
        out.vm = "gateway-1";
        out.hall = "hall";
        out.sidecarPort = 1;
        return out;
    }
    Choice choose( std::int64_t tokens ) {
        Generation generation;
        generation.model = "m";
        generation.promptTokens = tokens;
        RequestNeeds need;
        need.service = "models";
        need.generation = &generation;
        return fleet.choose( need, {}, MonoClock::now() );
    }
};

} // namespace

TEST_CASE( "A choice looks closely at the engines that hold the model, however many there are",
           "[gateway][links]" ) {
    constexpr int holders = 6;
    for( const int engines : { 624, 1248 } ) {
        FleetFixture fixture( engines, holders );
        const auto choice = fixture.choose( 2000 );
        REQUIRE( choice.node );
        CHECK( choice.holdsModel );
        CHECK( choice.candidates == static_cast<std::size_t>( holders ) );
    }
}

TEST_CASE( "Where no engine holds the model, one of all that may load it is chosen",
           "[gateway][links]" ) {
    constexpr int engines = 100;
    FleetFixture fixture( engines, 0 );
    const auto choice = fixture.choose( 2000 );
    REQUIRE( choice.node );
    CHECK_FALSE( choice.holdsModel );
    CHECK( choice.candidates == static_cast<std::size_t>( engines ) );
}
