// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/access.hpp"
#include "platform/headers.hpp"
#include "platform/wire.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace coursehead;
using namespace coursehead::gateway;

namespace {

platform::http::fields authorizationFields( std::string_view authorization ) {
    platform::http::fields out;
    out.insert( platform::http::field::authorization, authorization );
    return out;
}

nlohmann::json keyedConfiguration() {
    return nlohmann::json::parse( R"({"version": 3,
      "routes": [{"name": "r1", "host": "h", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 1000,
                  "service": "s", "priority": 2},
                 {"name": "r2", "host": "h", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 1000,
                  "service": "s", "keyless": true}],
      "services": [{"name": "s", "connectionLimit": 10}],
      "tenants": [{"name": "one", "keys": ["k1", "k2"], "priority": 1, "unit": "tokens",
                   "plainTokens": 200, "perS": 1000, "burst": 500, "unknown": 7},
                  {"name": "two", "keys": ["k3"]}]})" );
}

std::string problemOf( const nlohmann::json& json ) {
    std::string problem;
    CHECK_FALSE( platform::readConfiguration( json.dump(), problem ) );
    return problem;
}

} // namespace

TEST_CASE( "A key is read from one well-formed header alone", "[organisation][headers]" ) {
    CHECK( platform::readClientKey( authorizationFields( "Bearer k1" ) ) == digestOf( "k1" ) );
    CHECK( platform::readClientKey( authorizationFields( "bEARER \t k1" ) ) == digestOf( "k1" ) );
    for( const auto* it : { "", "Bearer", "Bearer ", "Bearerk1", "Basic k1", "Bearer k1 k2", "k1",
                            "Beare", "Bearer\t" } ) {
        INFO( it );
        CHECK_FALSE( platform::readClientKey( authorizationFields( it ) ) );
    }
    auto duplicated = authorizationFields( "Bearer k1" );
    duplicated.insert( platform::http::field::authorization, "Bearer k1" );
    CHECK_FALSE( platform::readClientKey( duplicated ) );
    CHECK_FALSE( platform::readClientKey( {} ) );
}

TEST_CASE( "A key's digest is its SHA-256", "[organisation]" ) {
    const auto digest = digestOf( "abc" );
    CHECK( digest.bytes[0] == 0xba );
    CHECK( digest.bytes[1] == 0x78 );
    CHECK( digest.bytes[31] == 0xad );
}

TEST_CASE( "A key leads to its organisation, and to nobody when it is not known",
           "[organisation]" ) {
    std::string problem;
    auto parsed = platform::readConfiguration( keyedConfiguration().dump(), problem );
    REQUIRE( parsed );
    CHECK( parsed->keyed );
    const RouteTable table( std::move( *parsed ) );
    const auto& keyed = *table.find( "h", "/a/x" );
    const auto& keyless = *table.find( "h", "/b/x" );

    const auto access = checkAccess( table, keyed, digestOf( "k2" ), true );
    REQUIRE( access.organisation != nullptr );
    CHECK( access.organisation->name == "one" );
    CHECK( access.organisation->priority == 1 );
    CHECK( access.organisation->limit == QuotaLimit{ 1000, 500, QuotaUnit::tokens, 200 } );
    CHECK( checkAccess( table, keyed, digestOf( "k3" ), true ).organisation->name == "two" );
    CHECK( checkAccess( table, keyed, digestOf( "k9" ), true ).verdict == AccessVerdict::denied );
    CHECK( checkAccess( table, keyed, std::nullopt, true ).verdict == AccessVerdict::denied );
    CHECK( checkAccess( table, keyless, std::nullopt, true ).verdict == AccessVerdict::allowed );
}

TEST_CASE( "A gateway that does not hear of changes denies no key that it lacks",
           "[organisation]" ) {
    std::string problem;
    auto parsed = platform::readConfiguration( keyedConfiguration().dump(), problem );
    const RouteTable table( std::move( *parsed ) );
    const auto& keyed = *table.find( "h", "/a/x" );
    CHECK( checkAccess( table, keyed, digestOf( "k9" ), false ).verdict ==
           AccessVerdict::undecided );
    CHECK( checkAccess( table, keyed, digestOf( "k1" ), false ).verdict == AccessVerdict::allowed );
    CHECK( checkAccess( table, keyed, std::nullopt, false ).verdict == AccessVerdict::denied );
}

TEST_CASE( "Without organisations in the configuration nobody needs a key", "[organisation]" ) {
    auto json = keyedConfiguration();
    json.erase( "tenants" );
    std::string problem;
    auto parsed = platform::readConfiguration( json.dump(), problem );
    const RouteTable table( std::move( *parsed ) );
    CHECK( checkAccess( table, *table.find( "h", "/a/x" ), std::nullopt, true ).verdict ==
           AccessVerdict::allowed );
}

TEST_CASE( "A bad organisation is refused with field and value, and never with a key",
           "[organisation][config]" ) {
    auto negative = keyedConfiguration();
    negative["tenants"][1]["perS"] = -5;
    CHECK( problemOf( negative ).find( "tenants[1].perS = -5" ) != std::string::npos );
    auto unit = keyedConfiguration();
    unit["tenants"][0]["unit"] = "apples";
    CHECK( problemOf( unit ).find( "tenants[0].unit = \"apples\"" ) != std::string::npos );
    auto shared = keyedConfiguration();
    shared["tenants"][1]["keys"] = { "k3", "k1" };
    const auto problem = problemOf( shared );
    CHECK( problem.find( "tenants[1].keys" ) != std::string::npos );
    CHECK( problem.find( "k1" ) == std::string::npos );
    std::string truncatedProblem;
    CHECK_FALSE(
        platform::readConfiguration( R"({"tenants": [{"keys": ["secret)", truncatedProblem ) );
    CHECK( truncatedProblem.find( "secret" ) == std::string::npos );
}

TEST_CASE( "A quota counts requests, or the tokens that a request names", "[organisation]" ) {
    const QuotaLimit tokens{ 1000, 500, QuotaUnit::tokens, 200 };
    CHECK( chargeOf( tokens, 9190 ) == 9190 );
    CHECK( chargeOf( tokens, std::nullopt ) == 200 );
    CHECK( chargeOf( tokens, -3 ) == 0 );
    CHECK( chargeOf( QuotaLimit{ 10, 5, QuotaUnit::requests, 200 }, 9190 ) == 1 );
}

TEST_CASE( "Twenty thousand keys of five thousand organisations are read and found",
           "[organisation]" ) {
    auto json = keyedConfiguration();
    json["tenants"] = nlohmann::json::array();
    for( int n = 0; n < 5000; ++n ) {
        nlohmann::json keys = nlohmann::json::array();
        for( int k = 0; k < 4; ++k ) {
            keys.push_back( "key-" + std::to_string( n ) + "-" + std::to_string( k ) );
        }
        json["tenants"].push_back( { { "name", "o" + std::to_string( n ) }, { "keys", keys } } );
    }
    std::string problem;
    auto parsed = platform::readConfiguration( json.dump(), problem );
    REQUIRE( parsed );
    const RouteTable table( std::move( *parsed ) );
    const auto* organisation = table.organisationOf( digestOf( "key-4999-3" ) );
    REQUIRE( organisation != nullptr );
    CHECK( organisation->name == "o4999" );
}

TEST_CASE( "A send names the organisation, whatever the client said, and hides its key",
           "[organisation][headers]" ) {
    platform::http::fields clientFields;
    clientFields.insert( "Authorization", "Bearer k1" );
    clientFields.insert( "x-tenant", "forged" );
    clientFields.insert( "X-TENANT", "forged again" );
    clientFields.insert( "X-Other", "kept" );
    platform::SendHead head;
    head.upstreamId = "u";
    head.keyed = true;
    head.organisation = "one";
    const auto ownFields = platform::makeSendHeaders( head, clientFields );
    CHECK( ownFields["X-Tenant"] == "one" );
    CHECK( clientFields.count( "X-Tenant" ) == 0 );
    CHECK( clientFields.count( "Authorization" ) == 0 );
    CHECK( clientFields["X-Other"] == "kept" );
    // In a configuration without keys the client's Authorization and X-Tenant headers are kept.
    platform::http::fields plainFields;
    plainFields.insert( "Authorization", "Basic x" );
    platform::makeSendHeaders( platform::SendHead{}, plainFields );
    CHECK( plainFields["Authorization"] == "Basic x" );
}
