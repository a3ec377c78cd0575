// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/committer.hpp"
#include "coursehead/operator/language.hpp"

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::config;

namespace {

Change makeChange( Action action, Kind kind, std::string name, std::vector<FieldValue> fields ) {
    return { action, kind, std::move( name ), std::move( fields ) };
}

State withUpstream() {
    State state;
    state.upstreams.push_back( { "runner", 2, 16ULL << 30U, true, 0 } );
    return state;
}

} // namespace

TEST_CASE( "A change set is applied whole or not at all", "[config]" ) {
    const auto state = withUpstream();
    const ChangeSet valid{
        "w1", "", { makeChange( Action::create, Kind::model, "m", { { "memory", "8GiB" } } ) } };
    auto result = dryRun( state, valid );
    CHECK( result.status == CommitStatus::committed );
    CHECK( result.revision == 1 );

    auto invalid = valid;
    invalid.changes.push_back(
        makeChange( Action::set, Kind::model, "absent", { { "replicas", "2" } } ) );
    result = dryRun( state, invalid );
    CHECK( result.status == CommitStatus::rejected );
    CHECK( result.error.name == "absent" );
}

TEST_CASE( "Bad values are refused by field and value", "[config][hostile]" ) {
    struct Row {
        std::vector<FieldValue> fields;
        std::string field;
        std::string value;
    };
    const auto row = GENERATE( values<Row>( {
        { { { "memory", "lots" } }, "memory", "lots" },
        { { { "memory", "1GiB" }, { "memory", "2GiB" } }, "memory", "2GiB" },
        { { { "memory", "1GiB" }, { "colour", "red" } }, "colour", "red" },
        { { { "memory", "1GiB" }, { "accelerators", "0" } }, "accelerators", "0" },
        { { { "memory", "17GiB" } }, "memory", "17GiB" },
        { { { "memory", "1GiB" }, { "class", "none" } }, "class", "none" },
        { {}, "memory", "0" },
    } ) );
    const ChangeSet set{ "w", "", { makeChange( Action::create, Kind::model, "m", row.fields ) } };
    const auto result = dryRun( withUpstream(), set );
    CHECK( result.status == CommitStatus::rejected );
    CHECK( result.error.field == row.field );
    CHECK( result.error.value == row.value );
}

TEST_CASE( "Sizes are read and written with units", "[config]" ) {
    std::uint64_t n = 0;
    CHECK( parseBytes( "3GiB", n ) );
    CHECK( formatBytes( n ) == "3GiB" );
    CHECK_FALSE( parseBytes( "", n ) );
    CHECK_FALSE( parseBytes( "-1", n ) );
    CHECK_FALSE( parseBytes( "99999999999TiB", n ) );
}

TEST_CASE( "The operators' text is read statement by statement", "[operator][language]" ) {
    const auto parsed = op::parse( "# a comment\n"
                                   "begin; create model m memory=8GiB note=\"two words\" # more\n"
                                   "set weights moves=2\ncommit\n"
                                   "show models where state = loaded and class != till" );
    REQUIRE( parsed.ok );
    REQUIRE( parsed.statements.size() == 5 );
    const auto& create = std::get<op::Edit>( parsed.statements[1].statement );
    CHECK( create.name == "m" );
    REQUIRE( create.fields.size() == 2 );
    CHECK( create.fields[1].value == "two words" );
    const auto& weights = std::get<op::Edit>( parsed.statements[2].statement );
    CHECK( weights.name.empty() );
    CHECK( weights.fields.at( 0 ).field == "moves" );
    const auto& show = std::get<op::Show>( parsed.statements[4].statement );
    REQUIRE( show.where.size() == 2 );
    CHECK( show.where[1].comparison == "!=" );
}

TEST_CASE( "A syntax error says where, and what was expected", "[operator][language][hostile]" ) {
    struct Row {
        std::string text;
        std::size_t line;
        std::size_t column;
        std::string expected;
    };
    const auto row = GENERATE( values<Row>( {
        { "frobnicate", 1, 1, "show" },
        { "show models\n  show models where x", 2, 22, "'=' or '!='" },
        { "create model m memory=", 1, 23, "a value" },
        { "why model", 1, 10, "a name" },
        { "show models models", 1, 13, "end of the statement" },
        { "set model m a=\"open", 1, 20, "'\"'" },
    } ) );
    const auto parsed = op::parse( row.text );
    REQUIRE_FALSE( parsed.ok );
    INFO( op::describe( parsed.error ) );
    CHECK( parsed.error.line == row.line );
    CHECK( parsed.error.column == row.column );
    CHECK( parsed.error.expected.find( row.expected ) != std::string::npos );
}
