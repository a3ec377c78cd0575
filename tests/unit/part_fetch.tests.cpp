// SPDX-License-Identifier: BSL-1.0
// Several engines read the same shared part of prompts although one of them has it cached, which
// takes a quarter of all reading time on days with jumps of demand. A wrong source is worse than
// none: content must not leave the homes of its route or organisation, and an engine that fetches
// from a source without the parts is late with every prompt.
#include "decide/part_fetch.hpp"
#include "decide/fetch_record.hpp"
#include "gateway/choice/fleet.hpp"
#include "gateway/choice/part_source.hpp"
#include "platform/headers.hpp"
#include "sidecar/prompt_gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

const MonoTime now{ 1000s };
constexpr PartLink fastLink{ 163840, 740000 };
constexpr PartLink slowLink{ 163840, 180000 };
constexpr double msPerToken = 0.0245;
constexpr const char* source = "10.0.0.9:8080";

FetchOption longPart() {
    FetchOption out;
    out.tokens = 6300;
    out.msPerToken = msPerToken;
    return out;
}

} // namespace

TEST_CASE( "A transfer takes its bytes over the link, and twice that between halls",
           "[fetch][admission]" ) {
    auto option = longPart();
    CHECK( transferTime( fastLink, option ) == 16ms );
    CHECK( transferTime( slowLink, option ) == 50ms );
    option.otherHall = true;
    CHECK( transferTime( fastLink, option ) == 27ms );
}

TEST_CASE( "Parts are fetched only if that is clearly faster than reading them",
           "[fetch][admission]" ) {
    auto option = longPart();
    CHECK( decideFetch( fastLink, option ) == FetchDecision::fetch );
    CHECK( decideFetch( slowLink, option ) == FetchDecision::fetch );
    SECTION( "not without a link" ) {
        CHECK( decideFetch( {}, option ) == FetchDecision::noLink );
        CHECK( decideFetch( { 163840, 0 }, option ) == FetchDecision::noLink );
    }
    SECTION( "not between halls over a slow link" ) {
        option.otherHall = true;
        CHECK( decideFetch( slowLink, option ) == FetchDecision::noSavings );
        CHECK( decideFetch( fastLink, option ) == FetchDecision::fetch );
    }
    SECTION( "not behind other transfers that take as long" ) {
        option.queuedTransfers = 100ms;
        CHECK( decideFetch( fastLink, option ) == FetchDecision::noSavings );
    }
    SECTION( "not a short part" ) {
        option.tokens = 500;
        CHECK( decideFetch( fastLink, option ) == FetchDecision::noSavings );
    }
    SECTION( "not what is here already" ) {
        option.tokens = 0;
        CHECK( decideFetch( fastLink, option ) == FetchDecision::noTokens );
    }
    SECTION( "not from a source that gave nothing" ) {
        option.recentFailure = true;
        CHECK( decideFetch( fastLink, option ) == FetchDecision::failed );
    }
    SECTION( "not before the source has read them" ) {
        option.readyIn = 80ms;
        CHECK( decideFetch( fastLink, option ) == FetchDecision::notReady );
        option.startIn = 80ms;
        CHECK( decideFetch( fastLink, option ) == FetchDecision::fetch );
    }
}

TEST_CASE( "Transfers to an engine queue on its link", "[fetch][admission]" ) {
    FetchRecord record;
    record.noteSent( 1, now );
    record.noteFetch( { 1, source, 30ms, 40ms, 155ms }, now );
    record.noteSent( 2, now );
    record.noteFetch( { 2, source, 30ms, 40ms, 155ms }, now );
    CHECK( record.queuedTransfers( now + 10ms ) == 50ms );
    CHECK( record.queuedTransfers( now + 80ms ) == 0ms );
    record.clear();
    CHECK( record.queuedTransfers( now ) == 0ms );
}

TEST_CASE( "A source whose parts did not come is not used for some seconds",
           "[fetch][admission]" ) {
    FetchRecord record;
    record.noteSent( 1, now );
    record.noteFetch( { 1, source, 16ms, 24ms, 155ms }, now );
    SECTION( "the prompt took as long as reading all of it" ) {
        CHECK( record.noteUnread( 1, now + 120ms ).empty() );
        const auto failed = record.noteUnread( 0, now + 160ms );
        REQUIRE( failed.size() == 1 );
        CHECK( failed[0].source == source );
        CHECK( record.failedLately( source, now + 200ms ) );
        CHECK_FALSE( record.failedLately( "10.0.0.7:8080", now + 200ms ) );
        CHECK_FALSE( record.failedLately( source, now + 5s ) );
    }
    SECTION( "the parts came" ) {
        CHECK( record.noteUnread( 0, now + 60ms ).empty() );
        CHECK_FALSE( record.failedLately( source, now + 60ms ) );
    }
    SECTION( "the client disconnected before the prompt was read" ) {
        record.forget( 1 );
        CHECK( record.noteUnread( 0, now + 300ms ).empty() );
        CHECK_FALSE( record.failedLately( source, now + 300ms ) );
    }
    SECTION( "the engine restarted" ) {
        record.clear();
        CHECK( record.noteUnread( 0, now + 300ms ).empty() );
        CHECK_FALSE( record.failedLately( source, now + 300ms ) );
    }
}

TEST_CASE( "The time that a prompt stands behind others is no failure of its source",
           "[fetch][admission]" ) {
    FetchRecord record;
    record.noteSent( 1, now );
    record.noteSent( 2, now );
    record.noteFetch( { 2, source, 16ms, 24ms, 155ms }, now );
    CHECK( record.noteUnread( 1, now + 300ms ).empty() );
    CHECK( record.noteUnread( 0, now + 340ms ).empty() );
    CHECK_FALSE( record.failedLately( source, now + 340ms ) );
}

TEST_CASE( "A prompt of which little is fetched says nothing about its source",
           "[fetch][admission]" ) {
    FetchRecord record;
    record.noteSent( 1, now );
    record.noteFetch( { 1, source, 9ms, 259ms, 320ms }, now );
    CHECK( record.noteUnread( 0, now + 360ms ).empty() );
    CHECK_FALSE( record.failedLately( source, now + 360ms ) );
}

TEST_CASE( "The sources that are remembered stay bounded", "[fetch][admission]" ) {
    FetchRecord record;
    for( std::uint64_t n = 0; n < 1000; ++n ) {
        const auto at = now + Millis( 200 * static_cast<std::int64_t>( n ) );
        record.noteSent( n, at );
        record.noteFetch( { n, "engine-" + std::to_string( n ), 16ms, 24ms, 155ms }, at );
        record.noteUnread( 0, at + 160ms );
    }
    const auto end = now + 200s;
    CHECK( record.failedLately( "engine-999", end ) );
    CHECK_FALSE( record.failedLately( "engine-1", end ) );
}

namespace {

sidecar::PromptRequest promptRequest( std::uint64_t key, std::uint64_t ownPart ) {
    gateway::PendingPrompt prompt;
    prompt.tokens = 6600;
    prompt.msPerToken = msPerToken;
    prompt.goalMs = 500;
    prompt.parts = { { 7, 6300 }, { ownPart, 300 } };
    prompt.cachedAt = source;
    prompt.cachedTokens = 6300;
    return { key, "m", "", std::move( prompt ), now, 500ms };
}

//! Sends the prompt to an engine that is free; returns what was admitted.
sidecar::AdmittedPrompt admit( sidecar::PromptGate& gate, const sidecar::PromptRequest& request,
                               MonoTime at ) {
    REQUIRE( gate.ask( request, at ).accepted );
    const auto admitted = gate.takeAdmitted( at );
    REQUIRE( admitted.size() == 1 );
    return admitted[0];
}

sidecar::PromptGate gateWithLink() {
    sidecar::PromptGate out;
    out.setEngine( 240000, 0ms );
    out.setPartLink( fastLink );
    return out;
}

} // namespace

TEST_CASE( "A prompt whose parts are fetched takes the engine's time for the transfer and the rest",
           "[fetch][admission]" ) {
    auto gate = gateWithLink();
    const auto admitted = admit( gate, promptRequest( 1, 100 ), now );
    CHECK( admitted.plan.fetches() );
    CHECK( admitted.plan.fetchTokens == 6300 );
    CHECK( admitted.workMs == Approx( 16 + 300 * msPerToken ) );
    CHECK( admitted.plan.readAllMs == Approx( 6600 * msPerToken ) );
}

TEST_CASE( "Without a link nothing is fetched and the whole prompt counts", "[fetch][admission]" ) {
    sidecar::PromptGate gate;
    gate.setEngine( 240000, 0ms );
    const auto admitted = admit( gate, promptRequest( 1, 100 ), now );
    CHECK_FALSE( admitted.plan.fetches() );
    CHECK( admitted.workMs == Approx( 6600 * msPerToken ) );
}

TEST_CASE( "Parts are fetched once, by the first prompt that needs them", "[fetch][admission]" ) {
    auto gate = gateWithLink();
    gate.ask( promptRequest( 1, 100 ), now );
    gate.ask( promptRequest( 2, 101 ), now );
    std::size_t fetches = 0;
    std::size_t admitted = 0;
    for( auto at = now; at < now + 400ms; at += 5ms ) {
        for( const auto& it : gate.takeAdmitted( at ) ) {
            ++admitted;
            fetches += it.plan.fetches() ? 1 : 0;
        }
    }
    CHECK( admitted == 2 );
    CHECK( fetches == 1 );
}

TEST_CASE( "After a transfer that gave nothing the engine reads the parts itself",
           "[fetch][admission]" ) {
    auto gate = gateWithLink();
    REQUIRE( admit( gate, promptRequest( 1, 100 ), now ).plan.fetches() );
    REQUIRE( gate.noteUnread( 1, now + 100ms ).empty() );
    CHECK( gate.noteUnread( 0, now + 200ms ).size() == 1 );
    // The model was unloaded and loaded again: its cached parts are lost here too.
    gate.dropModel( "m" );
    auto request = promptRequest( 2, 101 );
    request.since = now + 210ms;
    const auto admitted = admit( gate, request, now + 210ms );
    CHECK( admitted.plan.decision == FetchDecision::failed );
    CHECK( admitted.workMs == Approx( 6600 * msPerToken ) );
}

TEST_CASE( "A restart of the engine drops what it had fetched", "[fetch][admission]" ) {
    auto gate = gateWithLink();
    REQUIRE( admit( gate, promptRequest( 1, 100 ), now ).plan.fetches() );
    gate.clear();
    CHECK( admit( gate, promptRequest( 2, 101 ), now ).plan.fetches() );
}

namespace {

using gateway::Fleet;
using gateway::Generation;

constexpr int engineCount = 4;

//! A gateway's view of engines that hold the model and are in several regions.
struct FleetFixture {
    net::asio::io_context context{ 1 };
    RandomSource random{ 1 };
    Fleet fleet;
    Generation generation;
    std::vector<std::uint64_t> keys;
    MonoTime at = MonoClock::now();

    explicit FleetFixture( PartLink link = fastLink ) : fleet( context, random, settings() ) {
        gateway::Configuration configuration;
        configuration.version = 1;
        auto spec = std::make_shared<gateway::EngineSpec>();
        spec->slots = 64;
        spec->cacheTokens = 240000;
        spec->partLink = link;
        spec->models.push_back( { "m", 65000, 12, 3, 5000ms, 1000ms, 380ms } );
        gateway::Service service;
        service.name = "models";
        service.engine = spec;
        configuration.services.emplace( service.name, service );
        fleet.setConfiguration( std::make_shared<gateway::RouteTable>( std::move( configuration ) ),
                                at );
        std::map<std::string, gateway::Member> members;
        for( int n = 0; n < engineCount; ++n ) {
            gateway::Upstream it;
            it.id = "engine-" + std::to_string( n );
            it.service = "models";
            it.ip = "10.0.0." + std::to_string( n );
            it.port = 8080;
            it.hall = "hall-" + std::to_string( n );
            members.emplace( it.id, gateway::Member{ it, false } );
        }
        fleet.sync( members, at );
        generation.model = "m";
        generation.promptTokens = 6600;
        generation.parts = { { 7, 6300 }, { 100, 300 } };
        keys = gateway::prefixKeys( generation );
        for( int n = 0; n < engineCount; ++n ) {
            gateway::SidecarReport report;
            report.reachable = true;
            report.residents = { { "m", {} } };
            node( n ).takeReport( report, at );
        }
    }
    static gateway::FleetSettings settings() {
        gateway::FleetSettings out;
        out.vm = "gateway-1";
        out.hall = "hall-0";
        out.sidecarPort = 1;
        for( int n = 0; n < engineCount; ++n ) {
            out.regions["hall-" + std::to_string( n )] = "region-" + std::to_string( n );
        }
        return out;
    }
    gateway::Node& node( int n ) { return *fleet.nodes().at( "engine-" + std::to_string( n ) ); }
    static std::string addressOf( int n ) { return "10.0.0." + std::to_string( n ) + ":8080"; }
    //! The part was sent to the engine long ago.
    void cacheAt( int n ) { node( n ).prefixes.insertPart( keys[0], 6300, "m", at - 10s ); }

    gateway::PendingPrompt describe( gateway::RequestNeeds need = {},
                                     const std::set<std::string>& excluded = {} ) {
        need.service = "models";
        need.generation = &generation;
        need.prefix = keys;
        gateway::Choice choice;
        choice.node = fleet.nodes().at( "engine-0" );
        auto out = fleet.describePrompt( need );
        fleet.addPartSource( out, choice, need, excluded, at );
        return out;
    }
};

} // namespace

TEST_CASE( "A gateway names the engine that has a part which the chosen one lacks",
           "[fetch][gateway]" ) {
    FleetFixture f;
    CHECK( f.describe().cachedAt.empty() );
    f.cacheAt( 2 );
    const auto prompt = f.describe();
    CHECK( prompt.cachedAt == FleetFixture::addressOf( 2 ) );
    CHECK( prompt.cachedTokens == 6300 );
    CHECK( prompt.cachedOtherHall );
    CHECK( prompt.cachedReadyMs == 0 );
    SECTION( "not for a short part" ) {
        f.generation.parts[0].tokens = 122;
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if the chosen one has it" ) {
        f.cacheAt( 0 );
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if this request failed there" ) {
        CHECK( f.describe( {}, { "engine-2" } ).cachedAt.empty() );
    }
    SECTION( "not if it has unloaded the model" ) {
        gateway::SidecarReport report;
        report.reachable = true;
        f.node( 2 ).takeReport( report, f.at );
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if it has restarted" ) {
        f.node( 2 ).resetForRestart( 5, f.at );
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if it has been silent" ) {
        f.at += 2s;
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if it runs another software version" ) {
        f.node( 2 ).upstream.softwareVersion = "v2";
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if it leaves" ) {
        f.node( 2 ).upstream.state = gateway::UpstreamState::draining;
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if its hall is evacuated" ) {
        f.node( 2 ).stopAt = f.at + 1s;
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if it backs off" ) {
        decide::Announcement announcement;
        announcement.backoff = 500ms;
        f.node( 2 ).takeAnnouncement( announcement, 1, f.at );
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if it failed" ) {
        noteFailure( f.node( 2 ).health, 1.0, f.at );
        CHECK( f.describe().cachedAt.empty() );
    }
    SECTION( "not if its sidecar does not reach it" ) {
        f.node( 2 ).engineReachable = false;
        CHECK( f.describe().cachedAt.empty() );
    }
}

TEST_CASE( "A part for another adapter of the model is another part", "[fetch][gateway]" ) {
    FleetFixture f;
    f.cacheAt( 2 );
    f.generation.adapter = "a1";
    f.keys = gateway::prefixKeys( f.generation );
    CHECK( f.describe().cachedAt.empty() );
}

TEST_CASE( "Without a link between engines no source is named", "[fetch][gateway]" ) {
    FleetFixture f{ PartLink{} };
    f.cacheAt( 2 );
    CHECK( f.describe().cachedAt.empty() );
}

TEST_CASE( "A part that is just being read is named with the time until it is read",
           "[fetch][gateway]" ) {
    FleetFixture f;
    f.node( 2 ).prefixes.insertPart( f.keys[0], 6300, "m", f.at );
    CHECK( f.describe().cachedReadyMs > 0 );
    SECTION( "an engine that has read it goes first" ) {
        f.cacheAt( 3 );
        const auto prompt = f.describe();
        CHECK( prompt.cachedAt == FleetFixture::addressOf( 3 ) );
        CHECK( prompt.cachedReadyMs == 0 );
    }
}

TEST_CASE( "Parts of a prompt stay in the homes of its route and its organisation",
           "[fetch][gateway]" ) {
    rc::check( "any homes, any engines with the part", [] {
        FleetFixture f;
        const auto homes = [] {
            std::vector<std::string> out;
            for( int n = 0; n < engineCount; ++n ) {
                if( *rc::gen::inRange( 0, 2 ) == 1 ) {
                    out.push_back( "region-" + std::to_string( n ) );
                }
            }
            return out;
        };
        const auto route = homes();
        const auto organisation = homes();
        for( int n = 1; n < engineCount; ++n ) {
            if( *rc::gen::inRange( 0, 3 ) > 0 ) {
                f.cacheAt( n );
            }
        }
        gateway::RequestNeeds need;
        need.allowedRegions = { route, organisation };
        const auto prompt = f.describe( need );
        bool available = false;
        for( int n = 1; n < engineCount; ++n ) {
            const bool allowed =
                decide::mayServe( need.allowedRegions, "region-" + std::to_string( n ) );
            const bool has = f.node( n ).prefixes.cachedTokens( f.keys, f.generation ) > 0;
            available = available || ( allowed && has );
            RC_ASSERT( allowed || prompt.cachedAt != FleetFixture::addressOf( n ) );
        }
        RC_ASSERT( available == !prompt.cachedAt.empty() );
    } );
}

TEST_CASE( "Only the gateway says from where an engine fetches", "[fetch][gateway]" ) {
    namespace http = boost::beast::http;
    http::fields client;
    client.set( "Kv-Fetch", "10.9.9.9:1" );
    platform::SendHead head;
    head.fetchFrom = source;
    CHECK( platform::makeSendHeaders( head, client )["Kv-Fetch"] == source );
    CHECK( client.count( "Kv-Fetch" ) == 0 );
    head.fetchFrom.clear();
    client.set( "Kv-Fetch", "10.9.9.9:1" );
    CHECK( platform::removeSystemHeaders( client ) == 1 );
    CHECK( platform::makeSendHeaders( head, client ).count( "Kv-Fetch" ) == 0 );
}
