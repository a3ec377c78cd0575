// SPDX-License-Identifier: BSL-1.0
#include "decide/completed_runs.hpp"
#include "decide/fingerprint.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "platform/store_wire.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

constexpr MonoTime start{ 1000s };
constexpr Fingerprint poison = 7;

RequestContent content() {
    return { "one", "POST", "h", "/a/x", "body" };
}

} // namespace

TEST_CASE( "A fingerprint tells every part of a content, and where one ends and the next begins",
           "[poison]" ) {
    const auto known = fingerprintOf( content() );
    CHECK( fingerprintOf( content() ) == known );
    auto other = content();
    other.organisation = "two";
    CHECK( fingerprintOf( other ) != known );
    other = content();
    other.target = "/a/y";
    CHECK( fingerprintOf( other ) != known );
    other = content();
    other.body = "bodx";
    CHECK( fingerprintOf( other ) != known );
    other = content();
    other.host = "h/a";
    other.target = "/x";
    CHECK( fingerprintOf( other ) != known );
}

TEST_CASE( "Fingerprints are read back from their text, and nothing else is", "[poison]" ) {
    CHECK( parseFingerprint( fingerprintText( 0xabcULL ) ) == 0xabcULL );
    for( const auto* it : { "", "xyz", "12 ", "-1", "123456789012345678" } ) {
        INFO( it );
        CHECK_FALSE( parseFingerprint( it ) );
    }
}

TEST_CASE( "Three upstreams that end under a content have it quarantined", "[poison]" ) {
    PoisonCounter book;
    CHECK_FALSE( book.note( { poison }, "u1", start ) );
    CHECK_FALSE( book.note( { poison }, "u2", start + 1s ) );
    // Another content in between changes nothing.
    CHECK_FALSE( book.note( { 8 }, "u3", start + 2s ) );
    const auto found = book.note( { poison }, "u3", start + 2s );
    REQUIRE( found );
    CHECK( found->fingerprint == poison );
    CHECK( found->times == 1 );
    CHECK( found->holdMs == quarantineDuration( 1 ).count() );
}

TEST_CASE( "One end counts once, however many gateways tell of it", "[poison]" ) {
    PoisonCounter book;
    for( int n = 0; n < 50; ++n ) {
        CHECK_FALSE( book.note( { poison }, "u1", start + n * 10ms ) );
    }
    // It started again under the id that it had, and ended again.
    CHECK_FALSE( book.note( { poison }, "u1", start + 4s ) );
    CHECK( book.note( { poison }, "u1", start + 8s ) );
}

TEST_CASE( "Who had long made events counts for half", "[poison]" ) {
    CHECK( evidenceWeight( -1 ) == 1.0 );
    CHECK( evidenceWeight( 900 ) == 1.0 );
    CHECK( evidenceWeight( 1000 ) == 0.5 );
    PoisonCounter book;
    for( int n = 1; n < 6; ++n ) {
        CHECK_FALSE( book.note( { poison, 0.5 }, "u" + std::to_string( n ), start + n * 1s ) );
    }
    CHECK( book.note( { poison, 0.5 }, "u6", start + 6s ) );
}

TEST_CASE( "A content that ran to its end begins anew", "[poison]" ) {
    PoisonCounter book;
    book.note( { poison }, "u1", start );
    book.note( { poison }, "u2", start );
    CHECK( book.clear( poison ) );
    CHECK_FALSE( book.clear( poison ) );
    CHECK_FALSE( book.note( { poison }, "u3", start ) );
    CHECK_FALSE( book.note( { poison }, "u4", start + 20min ) );
    // Long after the others its third end is a first one.
    CHECK_FALSE( book.note( { poison }, "u5", start + 60min ) );
}

TEST_CASE( "After a quarantine one end is enough, and the next one lasts longer", "[poison]" ) {
    PoisonCounter book;
    const auto again = book.note( { poison, 1.0, 1 }, "u1", start );
    REQUIRE( again );
    CHECK( again->times == 2 );
    CHECK( again->holdMs > quarantineDuration( 1 ).count() );
    // Of the tries that follow a third end there are three at the most in a day.
    CHECK( quarantineDuration( 4 ) == 24h );
    CHECK( quarantineDuration( 99 ) == 24h );
}

TEST_CASE( "A hall without power makes no content poison, and costs bounded memory", "[poison]" ) {
    PoisonCounter book;
    for( Fingerprint it = 1; it <= 60000; ++it ) {
        CHECK_FALSE( book.note( { it }, "u" + std::to_string( it % 600 ), start ) );
    }
    CHECK( book.size() <= 20000 );
    // Poison among them is found all the same.
    book.note( { poison }, "a", start );
    book.note( { poison }, "b", start + 1s );
    CHECK( book.note( { poison }, "c", start + 2s ) );
}

TEST_CASE( "A quarantine holds until it ends, and is remembered after that", "[poison]" ) {
    QuarantineList list;
    CHECK( list.put( { poison, 1, 5000 }, start ) );
    CHECK_FALSE( list.put( { poison, 1, 9000 }, start ) );
    CHECK( list.left( poison, start + 1s ) == 4000ms );
    CHECK( list.all( start ).size() == 1 );
    CHECK( list.left( poison, start + 6s ) == 0ms );
    CHECK( list.all( start + 6s ).empty() );
    CHECK( list.times( poison ) == 1 );
    CHECK( list.put( { poison, 2, 9000 }, start + 6s ) );
    CHECK( list.left( poison, start + 7s ) == 8000ms );
    list.clear( poison );
    CHECK( list.times( poison ) == 0 );
}

TEST_CASE( "Of too many quarantines the one that ends first is forgotten", "[poison]" ) {
    QuarantineList list;
    for( int n = 0; n < 5000; ++n ) {
        list.put( { static_cast<Fingerprint>( n ), 1, 10000 + n }, start );
    }
    CHECK( list.all( start ).size() <= 4096 );
    CHECK( list.times( 0 ) == 0 );
    CHECK( list.times( 4999 ) == 1 );
}

TEST_CASE( "Gateways choose the same few processes to count a content's ends", "[poison]" ) {
    const std::vector<std::string_view> all{ "a", "b", "c", "d", "e", "f" };
    const auto chosen = poisonHolders( poison, all );
    REQUIRE( chosen.size() == holdersPerContent );
    // Without one of them the others stay.
    std::vector<std::string_view> fewer = all;
    fewer.erase( fewer.begin() + static_cast<std::ptrdiff_t>( chosen[0] ) );
    const auto next = poisonHolders( poison, fewer );
    CHECK( fewer[next[0]] == all[chosen[1]] );
    CHECK( fewer[next[1]] == all[chosen[2]] );
    CHECK( poisonHolders( poison, {} ).empty() );
    CHECK( poisonHolders( poison, std::vector<std::string_view>{ "a" } ).size() == 1 );
}

TEST_CASE( "What ran whole lately is forgiven one end, not two", "[poison]" ) {
    CompletedRuns runs;
    CHECK_FALSE( runs.consume( poison ) );
    runs.note( poison );
    CHECK_FALSE( runs.consume( poison + 1 ) );
    CHECK( runs.consume( poison ) );
    CHECK_FALSE( runs.consume( poison ) );
}

TEST_CASE( "A quarantine is read from the store as it was written, less the time since",
           "[poison][platform]" ) {
    constexpr WallMillis now = 1790000000000;
    const Quarantine written{ 0xabcdef, 2, 60000 };
    const auto body = platform::encodeQuarantine( written, now );
    const auto specAt = body.find( "\"specification\":" );
    REQUIRE( specAt != std::string::npos );
    platform::StoreObject object;
    object.spec = body.substr( specAt + 16, body.size() - specAt - 17 );
    std::string problem;
    const auto read = platform::readQuarantine( object, now + 10000, problem );
    REQUIRE( read );
    CHECK( *read == Quarantine{ 0xabcdef, 2, 50000 } );
    CHECK( platform::readQuarantine( object, now + 90000, problem )->holdMs < 0 );
    // A clock that is far off holds nothing for longer than a quarantine lasts.
    CHECK( platform::readQuarantine( object, now - 999999999, problem )->holdMs ==
           quarantineDuration( 2 ).count() );
}

TEST_CASE( "A quarantine that can't be read names nothing, and says why", "[poison][platform]" ) {
    for( const auto* it : { "", "[]", "{}", R"({"fingerprint":7,"times":1,"untilMs":1})",
                            R"({"fingerprint":"zz","times":1,"untilMs":1})",
                            R"({"fingerprint":"07","times":0,"untilMs":1})",
                            R"({"fingerprint":"07","times":"1","untilMs":1})",
                            R"({"fingerprint":"07","times":1,"untilMs":null})", "\xff\xfe" } ) {
        INFO( it );
        platform::StoreObject object;
        object.spec = it;
        std::string problem;
        CHECK_FALSE( platform::readQuarantine( object, 0, problem ) );
        CHECK_FALSE( problem.empty() );
    }
}
