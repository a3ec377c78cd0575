// SPDX-License-Identifier: BSL-1.0
// Gateways and sidecars of different versions run side by side while a release is rolled out. A
// message with fields that the reader does not know, or without fields that it expects, has to be
// read like one of the reader's own version.
#include "gateway/messages.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace coursehead;
using namespace coursehead::gateway;
using Json = nlohmann::json;

namespace {

EnsureRequest promptRequest() {
    EnsureRequest out;
    out.number = 7;
    out.model = "m";
    out.limitMs = 900;
    out.prompt.tokens = 1460;
    out.prompt.goalMs = 600;
    out.prompt.parts = { { 1, 800 }, { 2, 410 } };
    out.prompt.route = "drafts";
    out.prompt.organisation = "clinic";
    out.prompt.urgency = 3;
    out.prompt.maxTokens = 80;
    out.prompt.content = 0x9c41d07be2a35f68;
    out.prompt.cachedAt = "10.0.0.9:8080";
    out.prompt.cachedTokens = 1210;
    out.prompt.cachedOtherHall = true;
    out.prompt.cachedReadyMs = 40;
    return out;
}

EngineLoad engineLoad() {
    EngineLoad out;
    out.running = 12;
    out.gateways = 5;
    out.speed = { 1.8, 9.5, 0.75, 120, 31 };
    out.freePlaces = 52;
    out.freeTokens = 49000;
    out.promptsWaiting = 3;
    out.orderLeftMs = 1300;
    return out;
}

Json bodyOf( const Message& message ) {
    return Json::from_cbor( encode( message ) );
}

template <typename T>
T decodeBody( const Json& message ) {
    const auto bytes = Json::to_cbor( message );
    const auto decoded = decode( { reinterpret_cast<const char*>( bytes.data() ), bytes.size() } );
    REQUIRE( decoded );
    return std::get<T>( *decoded );
}

//! The message as a version sends it that knows only the first `fields` fields of it.
Json cutTo( Json body, std::size_t fields ) {
    body.erase( body.begin() + static_cast<std::ptrdiff_t>( fields ), body.end() );
    return body;
}

constexpr std::size_t firstRequestFields = 9;
constexpr std::size_t promptField = 6;
constexpr std::size_t firstPromptFields = 5;
constexpr std::size_t firstAnswerFields = 5;
constexpr std::size_t firstLoadFields = 10;
constexpr std::size_t speedField = 10;
constexpr std::size_t firstSpeedFields = 4;

} // namespace

TEST_CASE( "A prompt's organisation and urgency and its cached parts reach the sidecar",
           "[messages]" ) {
    const auto decoded = decodeBody<EnsureRequest>( bodyOf( promptRequest() ) ).prompt;
    CHECK( decoded.route == "drafts" );
    CHECK( decoded.organisation == "clinic" );
    CHECK( decoded.urgency == 3 );
    CHECK( decoded.maxTokens == 80 );
    CHECK( decoded.content == 0x9c41d07be2a35f68 );
    CHECK( decoded.cachedAt == "10.0.0.9:8080" );
    CHECK( decoded.cachedTokens == 1210 );
    CHECK( decoded.cachedOtherHall );
    CHECK( decoded.cachedReadyMs == 40 );
}

TEST_CASE( "A request of the version before is read with defaults", "[messages]" ) {
    auto message = bodyOf( promptRequest() );
    message[1] = cutTo( message[1], firstRequestFields );
    message[1][promptField] = cutTo( message[1][promptField], firstPromptFields );
    const auto decoded = decodeBody<EnsureRequest>( message );
    CHECK( decoded.number == 7 );
    CHECK( decoded.prompt.parts.size() == 2 );
    CHECK( decoded.prompt.organisation.empty() );
    CHECK( decoded.prompt.urgency == defaultUrgency );
    CHECK( decoded.prompt.content == 0 );
    CHECK( decoded.prompt.cachedAt.empty() );
    CHECK_FALSE( decoded.prompt.cachedOtherHall );
    CHECK( decoded.prompt.cachedReadyMs == 0 );
}

TEST_CASE( "An answer of the version before is read with defaults", "[messages]" ) {
    EnsureAnswer answer{ 7, EnsureOutcome::tooLate, 250, 0, -1 };
    answer.refusal = decide::PromptRefusal::memory;
    answer.placeHeldMs = 300;
    answer.fetchParts = true;
    answer.returnInMs = 410;
    const auto whole = bodyOf( answer );
    const auto decoded = decodeBody<EnsureAnswer>( whole );
    CHECK( decoded.refusal == decide::PromptRefusal::memory );
    CHECK( decoded.placeHeldMs == 300 );
    CHECK( decoded.fetchParts );
    CHECK( decoded.returnInMs == 410 );
    auto before = whole;
    before[1] = cutTo( before[1], firstAnswerFields );
    const auto older = decodeBody<EnsureAnswer>( before );
    CHECK( older.outcome == EnsureOutcome::tooLate );
    CHECK( older.waitMs == 250 );
    CHECK( older.refusal == decide::PromptRefusal::none );
    CHECK( older.placeHeldMs == 0 );
    CHECK_FALSE( older.fetchParts );
    CHECK( older.returnInMs == 0 );
}

TEST_CASE( "A load report of the version before is read with defaults", "[messages]" ) {
    const auto whole = bodyOf( LoadReport{ engineLoad() } );
    const auto decoded = decodeBody<LoadReport>( whole ).load;
    CHECK( decoded.speed == engineLoad().speed );
    CHECK( decoded.speed.readingStepMs == 31 );
    CHECK( decoded.freePlaces == 52 );
    CHECK( decoded.freeTokens == 49000 );
    CHECK( decoded.promptsWaiting == 3 );
    CHECK( decoded.orderLeftMs == 1300 );
    auto before = whole;
    before[1] = cutTo( before[1], firstLoadFields );
    const auto older = decodeBody<LoadReport>( before ).load;
    CHECK( older.running == 12 );
    CHECK( older.gateways == 5 );
    CHECK( older.speed == decide::EngineSpeed{} );
    CHECK( older.freePlaces == -1 );
    CHECK( older.freeTokens == -1 );
    CHECK( older.orderLeftMs == -1 );
}

TEST_CASE( "A speed of the version before is read with defaults", "[messages]" ) {
    auto message = bodyOf( LoadReport{ engineLoad() } );
    message[1][speedField] = cutTo( message[1][speedField], firstSpeedFields );
    const auto decoded = decodeBody<LoadReport>( message ).load;
    CHECK( decoded.speed.stepMs == 9.5 );
    CHECK( decoded.speed.readingStepMs == 0 );
}

TEST_CASE( "Fields of the version after are ignored", "[messages]" ) {
    auto message = bodyOf( promptRequest() );
    message[1].push_back( "a field added later" );
    message[1][promptField].push_back( Json::object( { { "also", "added" } } ) );
    CHECK( decodeBody<EnsureRequest>( message ).prompt.organisation == "clinic" );
    auto load = bodyOf( LoadReport{ engineLoad() } );
    load[1].push_back( 4 );
    CHECK( decodeBody<LoadReport>( load ).load.freePlaces == 52 );
}

TEST_CASE( "A description of the version before allows no transfer of cached parts",
           "[messages]" ) {
    SpecAnswer answer;
    answer.engine.slots = 64;
    answer.engine.partLink = { 163840, 740000 };
    auto message = bodyOf( answer );
    CHECK( decodeBody<SpecAnswer>( message ).engine.partLink.usable() );
    message[1]["engine"].erase( "partLink" );
    const auto older = decodeBody<SpecAnswer>( message );
    CHECK( older.engine.slots == 64 );
    CHECK_FALSE( older.engine.partLink.usable() );
}
