// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

// Guards against requests that are refused though they run, or that run twice, because an upstream
// sends answers that belong to no request.

using namespace coursehead;
using namespace coursehead::soak;
using support::World;

namespace {

constexpr int clientCount = 60;
constexpr Millis pauseOfClient{ 60 };
constexpr Millis loadTime{ 6000 };
constexpr std::size_t slots = 2; //!< so few that many requests are refused
constexpr double surplusShare = 0.3;
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;

//! Answers to the clients.
struct Tally {
    int served = 0;
    int refused = 0;
    int unknown = 0; //!< 502: the request may have run
    int other = 0;
    int wrong = 0; //!< successes with another body than the request's
    int clientsLeft = clientCount;
};

net::Task<> askOnce( World& world, Tally& tally ) {
    const auto gateway =
        static_cast<std::size_t>( world.sent ) % world.deployment->gateways().size();
    const auto id = "u" + std::to_string( ++world.sent );
    world.record.asked( id, Kind::once );
    std::string text = "POST /once/" + id + " HTTP/1.1\r\nHost: " + hostName +
                       "\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
    const auto answer = co_await world.receiveAnswer( gateway, std::move( text ) );
    switch( answer.status ) {
    case statusOk:
        ++tally.served;
        tally.wrong += answer.body == Runner::bodyFor( id ) ? 0 : 1;
        break;
    case statusUnavailable:
        ++tally.refused;
        world.record.reportedNotRun( id );
        break;
    case statusBadGateway:
        ++tally.unknown;
        break;
    default:
        ++tally.other;
    }
}

net::Task<> runClient( World& world, Tally& tally, MonoTime until ) {
    while( MonoClock::now() < until ) {
        co_await askOnce( world, tally );
        co_await net::pause( world.context, pauseOfClient );
    }
    --tally.clientsLeft;
}

//! Unsafe requests from many clients while the upstreams send surplus answers. Checks that no
//! client is misled; returns what they received.
Tally loadWith( SurplusAnswers surplus ) {
    Tally tally;
    World world;
    world.runScenario( [&]() -> net::Task<> {
        for( auto* it : world.runners( false ) ) {
            it->setSlots( slots );
            it->setSurplus( surplus );
        }
        const auto until = MonoClock::now() + loadTime;
        for( int n = 0; n < clientCount; ++n ) {
            net::start( world.context, runClient( world, tally, until ), "client" );
        }
        while( tally.clientsLeft > 0 ) {
            co_await net::pause( world.context, support::pollInterval );
        }
    } );
    const auto sent = world.record.countOf( surplusAnswers );
    INFO( sent << " surplus answers: " << tally.served << " served, " << tally.refused
               << " refused, " << tally.unknown << " unknown, " << tally.other << " other" );
    CHECK( sent > 0 );
    CHECK( tally.served > 0 );
    CHECK( tally.refused > 0 );
    CHECK( tally.wrong == 0 );
    CHECK( world.record.breaches().empty() );
    return tally;
}

} // namespace

TEST_CASE( "Surplus answers that name another request do not make a refusal untrue",
           "[promise][surplus]" ) {
    loadWith( { surplusShare, true, true } );
}

TEST_CASE( "Surplus answers that name no request do not make a refusal untrue",
           "[promise][surplus]" ) {
    loadWith( { surplusShare, false, true } );
}

TEST_CASE( "Surplus answers that are cut at any byte do not make a refusal untrue",
           "[promise][surplus]" ) {
    loadWith( { surplusShare, true, false } );
}
