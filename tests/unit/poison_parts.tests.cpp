// SPDX-License-Identifier: BSL-1.0
#include "decide/part_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "decide/shared_part.hpp"
#include "decide/sound_parts.hpp"
#include "gateway/messages.hpp"
#include "platform/headers.hpp"
#include "platform/store_client.hpp"
#include "platform/store_wire.hpp"
#include "support/object_store.hpp"
#include "support/run_until.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::decide;
using namespace std::chrono_literals;

namespace {

constexpr MonoTime start{ 1000s };
constexpr Fingerprint part = 7;

std::vector<SharedPart> sharedParts( std::string_view prefix ) {
    platform::http::fields fields;
    fields.set( "X-Prompt-Prefix", prefix );
    return platform::readRequestHead( fields ).sharedParts;
}

//! Counts an end under the part at `at`; true if the part is quarantined.
bool countEnd( PartCounter& counter, const std::string& upstream, MonoTime at,
               std::int64_t soundMsAgo = -1 ) {
    return counter.note( { part, soundMsAgo }, upstream, at, at ).has_value();
}

} // namespace

TEST_CASE( "All parts of a prompt but the last are shared ones, whatever their ids look like",
           "[poison-parts][platform]" ) {
    const auto parts =
        sharedParts( "5c1e:800,not-hex:1,123456789abcdef0123456789:2,:3,bad,e4:250" );
    REQUIRE( parts.size() == 5 );
    CHECK( parts[0].id == "5c1e" );
    CHECK( parts[1].id == "not-hex" );
    CHECK( parts[2].id == "123456789abcdef0123456789" );
    CHECK( parts[4].id == "bad" );
    CHECK( sharedParts( "5c1e:800" ).empty() );
    CHECK( sharedParts( "" ).empty() );
}

TEST_CASE( "A part is the same one wherever it stands and however its id is spelt",
           "[poison-parts][platform]" ) {
    const auto fingerprint = sharedParts( "5c1e:800,1:1" )[0].fingerprint;
    CHECK( sharedParts( "a:1,5c1e:800,1:1" )[1].fingerprint == fingerprint );
    CHECK( sharedParts( "005C1E:70,1:1" )[0].fingerprint == fingerprint );
    CHECK( sharedParts( " 5c1e :800, 1:1" )[0].fingerprint == fingerprint );
    CHECK( sharedParts( "5c1f:800,1:1" )[0].fingerprint != fingerprint );
}

TEST_CASE( "Three ends under a part that no run has shown to be sound have it quarantined",
           "[poison-parts]" ) {
    PartCounter counter;
    CHECK_FALSE( countEnd( counter, "u1", start ) );
    CHECK_FALSE( countEnd( counter, "u2", start + 1s ) );
    const auto got = counter.note( { part }, "u3", start + 2s, start + 2100ms );
    REQUIRE( got );
    CHECK( got->fingerprint == part );
    CHECK( got->kind == PoisonKind::part );
    CHECK( got->times == 1 );
    CHECK( got->holdMs == partQuarantineDuration( 1 ).count() );
    CHECK( got->firstEndMsAgo == 2100 );
    CHECK_FALSE( got->soundBefore );
}

TEST_CASE( "Reports of one end, and ends at the same moment, count once", "[poison-parts]" ) {
    PartCounter counter;
    for( int n = 0; n < 50; ++n ) {
        CHECK_FALSE( countEnd( counter, "u1", start + n * 20ms ) );
        CHECK_FALSE( countEnd( counter, "u" + std::to_string( n ), start + 1ms ) );
    }
    // The upstream restarted under the same id, and ended again.
    CHECK_FALSE( countEnd( counter, "u1", start + 4s ) );
    CHECK( countEnd( counter, "u1", start + 8s ) );
}

TEST_CASE( "Ends before a run that went on are no evidence, wherever the run was seen",
           "[poison-parts]" ) {
    PartCounter counter;
    countEnd( counter, "u1", start );
    countEnd( counter, "u2", start + 1s );
    // The reporting gateway has seen a run that began 0.5 s ago.
    CHECK_FALSE( countEnd( counter, "u3", start + 2s, 500 ) );
    CHECK_FALSE( countEnd( counter, "u4", start + 3s ) );
    counter.noteSound( part, start + 3500ms );
    // An end that is reported late, after a run that began later.
    CHECK_FALSE( counter.note( { part }, "u5", start + 3200ms, start + 4s ) );
    for( int n = 0; n < 3; ++n ) {
        CHECK_FALSE( countEnd( counter, "v" + std::to_string( n ), start + 5s + n * 100ms ) );
    }
}

TEST_CASE( "A part that was sound is quarantined at the fourth end, and not before it is in doubt "
           "for long enough",
           "[poison-parts]" ) {
    PartCounter counter;
    counter.noteSound( part, start - 1s );
    for( int n = 0; n < 10; ++n ) {
        CHECK_FALSE( countEnd( counter, "u" + std::to_string( n ), start + n * 100ms ) );
    }
    const auto got = counter.note( { part }, "u10", start + 1500ms, start + 1500ms );
    REQUIRE( got );
    CHECK( got->soundBefore );
}

TEST_CASE(
    "A quarantine ends when a gateway knows that the part was sound, and the next needs more",
    "[poison-parts]" ) {
    PartCounter counter;
    for( int n = 0; n < 3; ++n ) {
        countEnd( counter, "u" + std::to_string( n ), start + n * 100ms );
    }
    CHECK( counter.noteSound( part, start - 20s ) );
    CHECK_FALSE( counter.noteSound( part, start - 10s ) );
    CHECK_FALSE( countEnd( counter, "u4", start + 400ms ) );
    CHECK( countEnd( counter, "u5", start + 2s ) );
    // Sound before is not enough against these.
    CHECK_FALSE( counter.noteSound( part, start - 5s ) );
    CHECK( counter.noteSound( part, start + 3s ) );
}

TEST_CASE( "A hall without power makes no part poison, and costs bounded memory",
           "[poison-parts]" ) {
    PartCounter counter;
    for( Fingerprint it = 1; it <= 60000; ++it ) {
        CHECK_FALSE(
            counter.note( { it % 30000 }, "u" + std::to_string( it % 600 ), start, start ) );
    }
    CHECK( counter.size() <= 20000 );
}

TEST_CASE( "A gateway knows for a minute which parts it has seen to be sound", "[poison-parts]" ) {
    SoundParts sound;
    CHECK_FALSE( sound.begunAt( part, start ) );
    sound.note( part, start );
    sound.note( part, start - 1s );
    CHECK( sound.begunAt( part, start + 1s ) == start );
    CHECK_FALSE( sound.begunAt( part + 1, start + 1s ) );
    CHECK_FALSE( sound.begunAt( part, start + 61s ) );
}

TEST_CASE( "A part's quarantine is refuted by a run that began after the first end",
           "[poison-parts]" ) {
    QuarantineList list;
    // The store tells no first end, a sidecar does.
    list.put( { part, 1, 10000, PoisonKind::part }, start );
    CHECK_FALSE( list.firstEndKnown( part ) );
    CHECK_FALSE( list.isRefuted( part, start - 1s ) );
    CHECK_FALSE( list.put( { part, 1, 10000, PoisonKind::part, 3000 }, start ) );
    CHECK( list.firstEndKnown( part ) );
    CHECK( list.isRefuted( part, start - 1s ) );
    CHECK_FALSE( list.isRefuted( part, start - 4s ) );
    const auto all = list.all( start + 1s );
    REQUIRE( all.size() == 1 );
    CHECK( all[0].kind == PoisonKind::part );
    CHECK( all[0].firstEndMsAgo == 4000 );
    CHECK( list.all( start + 11s ).empty() );
    CHECK( list.known( start + 11s, 2000ms ).size() == 1 );
    CHECK( list.known( start + 13s, 2000ms ).empty() );
}

TEST_CASE( "A part's quarantine is read from the store as it was written, and from its name",
           "[poison-parts][platform]" ) {
    constexpr WallMillis now = 1790000000000;
    const Quarantine written{ 0xabcdef, 2, 60000, PoisonKind::part };
    const auto body = platform::encodeQuarantine( written, now );
    const auto specAt = body.find( "\"specification\":" );
    REQUIRE( specAt != std::string::npos );
    platform::StoreObject object;
    object.spec = body.substr( specAt + 16, body.size() - specAt - 17 );
    std::string problem;
    const auto read = platform::readQuarantine( object, now + 10000, problem );
    REQUIRE( read );
    CHECK( read->kind == PoisonKind::part );
    CHECK( read->times == 2 );
    CHECK( read->holdMs == 50000 );
    const auto named = platform::partQuarantineOf( platform::quarantineName( written ) );
    REQUIRE( named );
    CHECK( named->fingerprint == written.fingerprint );
    CHECK( named->times == 2 );
    for( const auto* it : { "0000000000abcdef-2", "part-", "part-xyz-1", "part-0000000000abcdef",
                            "part-0000000000abcdef-x", "" } ) {
        INFO( it );
        CHECK_FALSE( platform::partQuarantineOf( it ) );
    }
}

TEST_CASE( "Messages on parts arrive as they were sent, and those of the version before are read",
           "[poison-parts][messages]" ) {
    const PoisonEvidence evidence{ "u1", { { 5, 0.5, 1 } }, { { part, 1200 } }, 300 };
    const auto readEvidence = gateway::decode( gateway::encode( gateway::Message( evidence ) ) );
    REQUIRE( readEvidence );
    const auto& gotEvidence = std::get<PoisonEvidence>( *readEvidence );
    REQUIRE( gotEvidence.parts.size() == 1 );
    CHECK( gotEvidence.parts[0].fingerprint == part );
    CHECK( gotEvidence.parts[0].soundMsAgo == 1200 );
    CHECK( gotEvidence.endedMsAgo == 300 );
    const QuarantineUpdate update{ { { part, 1, 10000, PoisonKind::part, 400, false } } };
    const auto readUpdate = gateway::decode( gateway::encode( gateway::Message( update ) ) );
    REQUIRE( readUpdate );
    CHECK( std::get<QuarantineUpdate>( *readUpdate ).entries == update.entries );
    const PoisonCleared cleared{ part, 20, 2 };
    const auto readCleared = gateway::decode( gateway::encode( gateway::Message( cleared ) ) );
    REQUIRE( readCleared );
    CHECK( std::get<PoisonCleared>( *readCleared ).times == 2 );
}

TEST_CASE( "Of two gateways one tries a part after its quarantine", "[poison-parts][platform]" ) {
    net::asio::io_context context{ 1 };
    support::ObjectStore store( context );
    const platform::Endpoint endpoint{ "127.0.0.1", store.port() };
    platform::StoreClient first( context, endpoint );
    platform::StoreClient second( context, endpoint );
    std::vector<platform::StoreStatus> got;
    const auto apply = [&got]( platform::StoreClient& client ) -> net::Task<> {
        std::string body =
            platform::encodeQuarantine( { part, 2, 60000, PoisonKind::part }, 1790000000000 );
        const auto status =
            co_await client.createNew( platform::quarantineKind, std::move( body ), 1000ms );
        got.push_back( status );
    };
    net::start( context, apply( first ), "first" );
    net::start( context, apply( second ), "second" );
    REQUIRE( support::runUntil( context, [&got] { return got.size() == 2; } ) );
    CHECK( std::count( got.begin(), got.end(), platform::StoreStatus::ok ) == 1 );
    CHECK( std::count( got.begin(), got.end(), platform::StoreStatus::refused ) == 1 );
}
