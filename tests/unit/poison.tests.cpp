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
constexpr Fingerprint poisonFingerprint = 7;

RequestContent content() {
    return { "one", "POST", "h", "/a/x", "body" };
}

} // namespace

TEST_CASE( "A fingerprint tells every part of a content, and where one ends and the next begins",
           "[poison]" ) {
    const auto original = fingerprintOf( content() );
    CHECK( fingerprintOf( content() ) == original );
    auto other = content();
    other.organisation = "two";
    CHECK( fingerprintOf( other ) != original );
    other = content();
    other.target = "/a/y";
    CHECK( fingerprintOf( other ) != original );
    other = content();
    other.body = "bodx";
    CHECK( fingerprintOf( other ) != original );
    other = content();
    other.host = "h/a";
    other.target = "/x";
    CHECK( fingerprintOf( other ) != original );
}

TEST_CASE( "Fingerprints are read back from their text, and nothing else is", "[poison]" ) {
    CHECK( parseFingerprint( fingerprintText( 0xabcULL ) ) == 0xabcULL );
    for( const auto* it : { "", "xyz", "12 ", "-1", "123456789012345678" } ) {
        INFO( it );
        CHECK_FALSE( parseFingerprint( it ) );
    }
}

TEST_CASE( "Three upstreams that end under a content have it quarantined", "[poison]" ) {
    PoisonCounter counter;
    CHECK_FALSE( counter.note( { poisonFingerprint }, "u1", start ) );
    CHECK_FALSE( counter.note( { poisonFingerprint }, "u2", start + 1s ) );
    // An end under another content does not count for this one.
    CHECK_FALSE( counter.note( { 8 }, "u3", start + 2s ) );
    const auto quarantine = counter.note( { poisonFingerprint }, "u3", start + 2s );
    REQUIRE( quarantine );
    CHECK( quarantine->fingerprint == poisonFingerprint );
    CHECK( quarantine->times == 1 );
    CHECK( quarantine->holdMs == quarantineDuration( 1 ).count() );
}

TEST_CASE( "One end counts once, however many gateways tell of it", "[poison]" ) {
    PoisonCounter counter;
    for( int n = 0; n < 50; ++n ) {
        CHECK_FALSE( counter.note( { poisonFingerprint }, "u1", start + n * 10ms ) );
    }
    // The upstream restarted under the same id, and ended again.
    CHECK_FALSE( counter.note( { poisonFingerprint }, "u1", start + 4s ) );
    CHECK( counter.note( { poisonFingerprint }, "u1", start + 8s ) );
}

TEST_CASE( "An upstream that had sent events for a second counts for half when it ends",
           "[poison]" ) {
    CHECK( evidenceWeight( -1 ) == 1.0 );
    CHECK( evidenceWeight( 900 ) == 1.0 );
    CHECK( evidenceWeight( 1000 ) == 0.5 );
    PoisonCounter counter;
    for( int n = 1; n < 6; ++n ) {
        CHECK_FALSE(
            counter.note( { poisonFingerprint, 0.5 }, "u" + std::to_string( n ), start + n * 1s ) );
    }
    CHECK( counter.note( { poisonFingerprint, 0.5 }, "u6", start + 6s ) );
}

TEST_CASE( "A content that ran to its end begins anew", "[poison]" ) {
    PoisonCounter counter;
    counter.note( { poisonFingerprint }, "u1", start );
    counter.note( { poisonFingerprint }, "u2", start );
    CHECK( counter.clear( poisonFingerprint ) );
    CHECK_FALSE( counter.clear( poisonFingerprint ) );
    CHECK_FALSE( counter.note( { poisonFingerprint }, "u3", start ) );
    CHECK_FALSE( counter.note( { poisonFingerprint }, "u4", start + 20min ) );
    // The last end is more than 30 min old, so that this one counts as the first.
    CHECK_FALSE( counter.note( { poisonFingerprint }, "u5", start + 60min ) );
}

TEST_CASE( "After a quarantine one end is enough, and the next one lasts longer", "[poison]" ) {
    PoisonCounter counter;
    const auto repeated = counter.note( { poisonFingerprint, 1.0, 1 }, "u1", start );
    REQUIRE( repeated );
    CHECK( repeated->times == 2 );
    CHECK( repeated->holdMs > quarantineDuration( 1 ).count() );
    // From the fourth on each quarantine lasts a day, so that a content gets at most three retries
    // in a day.
    CHECK( quarantineDuration( 4 ) == 24h );
    CHECK( quarantineDuration( 99 ) == 24h );
}

TEST_CASE( "A hall without power makes no content poison, and costs bounded memory", "[poison]" ) {
    PoisonCounter counter;
    for( Fingerprint it = 1; it <= 60000; ++it ) {
        CHECK_FALSE( counter.note( { it }, "u" + std::to_string( it % 600 ), start ) );
    }
    CHECK( counter.size() <= 20000 );
    // A poison request is still detected among so many other contents.
    counter.note( { poisonFingerprint }, "a", start );
    counter.note( { poisonFingerprint }, "b", start + 1s );
    CHECK( counter.note( { poisonFingerprint }, "c", start + 2s ) );
}

TEST_CASE( "A quarantine holds until it ends, and is remembered after that", "[poison]" ) {
    QuarantineList list;
    CHECK( list.put( { poisonFingerprint, 1, 5000 }, start ) );
    CHECK_FALSE( list.put( { poisonFingerprint, 1, 9000 }, start ) );
    CHECK( list.left( poisonFingerprint, start + 1s ) == 4000ms );
    CHECK( list.all( start ).size() == 1 );
    CHECK( list.left( poisonFingerprint, start + 6s ) == 0ms );
    CHECK( list.all( start + 6s ).empty() );
    CHECK( list.times( poisonFingerprint ) == 1 );
    CHECK( list.put( { poisonFingerprint, 2, 9000 }, start + 6s ) );
    CHECK( list.left( poisonFingerprint, start + 7s ) == 8000ms );
    list.clear( poisonFingerprint );
    CHECK( list.times( poisonFingerprint ) == 0 );
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
    const auto holders = poisonHolders( poisonFingerprint, all );
    REQUIRE( holders.size() == holdersPerContent );
    // When one holder is gone the other holders stay the same.
    std::vector<std::string_view> withoutFirst = all;
    withoutFirst.erase( withoutFirst.begin() + static_cast<std::ptrdiff_t>( holders[0] ) );
    const auto nextHolders = poisonHolders( poisonFingerprint, withoutFirst );
    CHECK( withoutFirst[nextHolders[0]] == all[holders[1]] );
    CHECK( withoutFirst[nextHolders[1]] == all[holders[2]] );
    CHECK( poisonHolders( poisonFingerprint, {} ).empty() );
    CHECK( poisonHolders( poisonFingerprint, std::vector<std::string_view>{ "a" } ).size() == 1 );
}

TEST_CASE( "A content that completed lately is forgiven one end, not two", "[poison]" ) {
    CompletedRuns runs;
    CHECK_FALSE( runs.consume( poisonFingerprint ) );
    runs.note( poisonFingerprint );
    CHECK_FALSE( runs.consume( poisonFingerprint + 1 ) );
    CHECK( runs.consume( poisonFingerprint ) );
    CHECK_FALSE( runs.consume( poisonFingerprint ) );
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
    // With a clock that is far off a quarantine still lasts no longer than its full duration.
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
