// SPDX-License-Identifier: BSL-1.0
#include "decide/origin_table.hpp"
#include "decide/resume_rule.hpp"
#include "gateway/choice/node.hpp"
#include "gateway/messages.hpp"
#include "platform/headers.hpp"
#include "platform/wire.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <set>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

const MonoTime start{ 1h };

StreamOrigin originOf( std::string_view attempt, std::string version, Millis left = 1000ms ) {
    return { streamKeyOf( attempt ), { "s", std::move( version ) }, left.count() };
}

} // namespace

TEST_CASE( "An origin is known until its client's deadline", "[versions]" ) {
    OriginTable table;
    REQUIRE( table.put( originOf( "r1", "v2" ), start ) );
    CHECK( table.find( streamKeyOf( "r1" ), start + 999ms ) == StreamVersion{ "s", "v2" } );
    CHECK_FALSE( table.find( streamKeyOf( "r1" ), start + 1000ms ) );
    CHECK_FALSE( table.find( streamKeyOf( "r2" ), start ) );
    table.removeExpired( start + 1000ms );
    CHECK( table.size() == 0 );
}

TEST_CASE( "An attempt with two origins has none", "[versions]" ) {
    OriginTable table;
    table.put( originOf( "r1", "v2" ), start );
    table.put( originOf( "r1", "v2" ), start );
    CHECK( table.find( streamKeyOf( "r1" ), start ) );
    table.put( originOf( "r1", "v10" ), start );
    CHECK_FALSE( table.find( streamKeyOf( "r1" ), start ) );
    table.put( originOf( "r1", "v2" ), start );
    CHECK_FALSE( table.find( streamKeyOf( "r1" ), start ) );
}

TEST_CASE( "The table of origins is bounded", "[versions]" ) {
    OriginTable table( 2 );
    CHECK( table.put( originOf( "r1", "v2" ), start ) );
    CHECK( table.put( originOf( "r2", "v2" ), start ) );
    CHECK_FALSE( table.put( originOf( "r3", "v2" ), start ) );
    CHECK( table.put( originOf( "r2", "v2" ), start ) );
    CHECK_FALSE( table.put( originOf( "r4", "v2", -1ms ), start ) );
}

TEST_CASE( "A service has one version only if no other was listed for as long as a stream lasts",
           "[versions]" ) {
    SoftwareVersions versions( start );
    CHECK_FALSE( versions.only( "s", start ) );
    versions.note( "s", "v2", start );
    versions.note( "other", "v10", start );
    CHECK( versions.only( "s", start ) == "v2" );
    versions.note( "s", "v10", start + 1s );
    CHECK_FALSE( versions.only( "s", start + 1s ) );
    const auto later = start + 1s + longestStream;
    versions.note( "s", "v10", later );
    CHECK( versions.only( "s", later ) == "v10" );
    // An entry without a version does not make another one.
    versions.note( "s", "", later );
    CHECK( versions.only( "s", later ) == "v10" );
}

TEST_CASE( "Versions may have been missed until the list was up to date for as long as a stream",
           "[versions]" ) {
    SoftwareVersions versions( start );
    versions.setCurrent( true, start );
    CHECK_FALSE( versions.complete( start + longestStream - 1ms ) );
    CHECK( versions.complete( start + longestStream ) );
    versions.setCurrent( false, start + longestStream );
    CHECK_FALSE( versions.complete( start + longestStream ) );
    versions.setCurrent( true, start + longestStream + 1s );
    CHECK_FALSE( versions.complete( start + 2 * longestStream ) );
    CHECK( versions.complete( start + 2 * longestStream + 1s ) );
}

TEST_CASE( "A stream goes on where its origin says, or where there was never another version",
           "[versions]" ) {
    ResumeFacts facts;
    facts.service = "s";
    facts.only = "v2";
    CHECK( versionToResumeAt( facts ) == StreamVersion{ "s", "v2" } );
    facts.namesOrigin = true;
    CHECK_FALSE( versionToResumeAt( facts ) );
    facts.versionsComplete = true;
    CHECK( versionToResumeAt( facts ) == StreamVersion{ "s", "v2" } );
    facts.only.reset();
    CHECK_FALSE( versionToResumeAt( facts ) );
    facts.recorded = StreamVersion{ "s", "v10" };
    CHECK( versionToResumeAt( facts ) == StreamVersion{ "s", "v10" } );
}

TEST_CASE( "In a large fleet an origin is shared unless every gateway knows the only version",
           "[versions]" ) {
    constexpr int large = maxGatewaysAlwaysSharing + 1;
    CHECK_FALSE( mustShareOrigin( large, "v2", true, "v2" ) );
    CHECK( mustShareOrigin( maxGatewaysAlwaysSharing, "v2", true, "v2" ) );
    CHECK( mustShareOrigin( large, "v2", false, "v2" ) );
    CHECK( mustShareOrigin( large, std::nullopt, true, "v2" ) );
    CHECK( mustShareOrigin( large, "v10", true, "v2" ) );
}

TEST_CASE( "Every gateway finds the same holders of a stream, and the load spreads over all",
           "[versions]" ) {
    constexpr std::array<std::string_view, 4> names{ "a", "b", "c", "d" };
    constexpr std::array<std::string_view, 4> reversed{ "d", "c", "b", "a" };
    std::set<std::string_view> used;
    for( int n = 0; n < 100; ++n ) {
        const auto key = streamKeyOf( "r" + std::to_string( n ) );
        const auto ranked = rankedForStream( key, names, originHolders );
        const auto other = rankedForStream( key, reversed, originHolders );
        REQUIRE( ranked.size() == originHolders );
        for( std::size_t at = 0; at < ranked.size(); ++at ) {
            CHECK( names[ranked[at]] == reversed[other[at]] );
            used.insert( names[ranked[at]] );
        }
    }
    CHECK( used.size() == names.size() );
    CHECK( rankedForStream( 1, {}, originHolders ).empty() );
}

TEST_CASE( "Messages about origins are read as written", "[versions][messages]" ) {
    const OriginUpdate update{ { originOf( "r1", "v2" ), originOf( "r2", "" ) }, true };
    const auto read = gateway::decode( gateway::encode( gateway::Message( update ) ) );
    REQUIRE( read );
    const auto& got = std::get<OriginUpdate>( *read );
    REQUIRE( got.origins.size() == 2 );
    CHECK( got.copy );
    CHECK( got.origins[0].key == update.origins[0].key );
    CHECK( got.origins[0].began == update.origins[0].began );
    CHECK( got.origins[0].leftMs == 1000 );
    const OriginAnswer answer{ 7, true, { "s", "v2" }, 40 };
    const auto readAnswer = gateway::decode( gateway::encode( gateway::Message( answer ) ) );
    REQUIRE( readAnswer );
    CHECK( std::get<OriginAnswer>( *readAnswer ).began == answer.began );
    CHECK( std::get<OriginAnswer>( *readAnswer ).holderAgeMs == 40 );
}

TEST_CASE( "A relayed upstream keeps its software version", "[versions][messages]" ) {
    gateway::StoreUpdate update;
    update.upstreams.emplace_back();
    update.upstreams[0].id = "u1";
    update.upstreams[0].softwareVersion = "v2";
    const auto read = gateway::decode( gateway::encode( gateway::Message( update ) ) );
    REQUIRE( read );
    CHECK( std::get<gateway::StoreUpdate>( *read ).upstreams[0].softwareVersion == "v2" );
}

TEST_CASE( "A software version may be any text, or of another type", "[versions][platform]" ) {
    const auto versionOf = []( const std::string& field ) {
        std::string problem;
        const auto read = platform::readUpstream(
            "u1",
            R"({"service":"s","address":"10.0.0.1:80","zone":"h","slots":1,"state":"ready")" +
                field + "}",
            problem );
        REQUIRE( read );
        return read->softwareVersion;
    };
    CHECK( versionOf( R"(,"version":"v1.1")" ) == "v1.1" );
    CHECK( versionOf( R"(,"version":"ä release\n2")" ) == "ä release\n2" );
    CHECK( versionOf( R"(,"version":3)" ) == "3" );
    CHECK( versionOf( R"(,"version":null)" ) == "" );
    CHECK( versionOf( "" ) == "" );
}

TEST_CASE( "A client's headers tell whether it resumes a stream, and which",
           "[versions][platform]" ) {
    platform::http::fields fields;
    CHECK_FALSE( platform::readRequestHead( fields ).resumes );
    fields.set( "Resumes", "r1" );
    CHECK_FALSE( platform::readRequestHead( fields ).resumes );
    fields.set( "Last-Event-Id", "4" );
    CHECK( platform::readRequestHead( fields ).resumes );
    CHECK( platform::readRequestHead( fields ).streamBeganAs == "r1" );
    fields.set( "Last-Event-Id", "not a number" );
    CHECK( platform::readRequestHead( fields ).resumes );
}

TEST_CASE( "Starts are told apart only if both are known", "[versions]" ) {
    CHECK( gateway::mayBeSameStart( 0, 5 ) );
    CHECK( gateway::mayBeSameStart( 5, 0 ) );
    CHECK( gateway::mayBeSameStart( 5, 5 ) );
    CHECK_FALSE( gateway::mayBeSameStart( 5, 6 ) );
}

TEST_CASE( "The version of an upstream that started again is unknown until its entry is read",
           "[versions]" ) {
    gateway::Upstream upstream;
    upstream.softwareVersion = "v2";
    gateway::Node node( upstream, start );
    CHECK( node.certainVersion( start + 1min ) == "v2" );
    node.brokenAt = start + 1min;
    CHECK_FALSE( node.certainVersion( start + 1min + 1s ) );
    CHECK( node.certainVersion( start + 2min ) == "v2" );
    node.resetForRestart( 2, start + 2min );
    CHECK_FALSE( node.certainVersion( start + 3min ) );
    CHECK_FALSE( node.upstream.softwareVersion );
}
