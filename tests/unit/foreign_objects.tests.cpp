// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/store_objects.hpp"
#include "support/odd_entries.hpp"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

// Other systems may write objects to the store. Guards against one unreadable object that makes
// every gateway and relay reject the complete answer, so that they get no listing and no changes
// until the object is removed, and against a crash on an object with half a million nested
// brackets.

using namespace coursehead;
using namespace coursehead::gateway;
using Json = nlohmann::json;

namespace {

Json validSpec() {
    return {
        { "service", "s" }, { "address", "10.0.0.1:80" }, { "zone", "hall" }, { "version", "1" },
        { "slots", 4 },     { "state", "ready" },         { "coldMs", 0 },    { "sequence", 1 } };
}

std::string object( const std::string& name, const std::string& spec ) {
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"created":3},"specification":)" +
           spec + "}";
}

std::string pageOf( const std::vector<std::string>& objects ) {
    std::string out = R"({"items":[)";
    for( const auto& it : objects ) {
        out += out.back() == '[' ? "" : ",";
        out += it;
    }
    return out + R"(],"morePages":false,"timestamp":9})";
}

//! Specifications that don't describe an upstream.
std::vector<std::string> invalidSpecs() {
    std::vector<std::string> out{ "null", "[]", "7", "\"text\"", "{}" };
    for( const auto* field : { "service", "address", "zone", "slots", "state" } ) {
        auto without = validSpec();
        without.erase( field );
        out.push_back( without.dump() );
        for( const auto& value : { Json( nullptr ), Json( -5 ), Json( 1.5 ), Json( true ),
                                   Json::array( { 1 } ), Json::object() } ) {
            auto other = validSpec();
            other[field] = value;
            out.push_back( other.dump() );
        }
    }
    auto state = validSpec();
    state["state"] = "parked";
    out.push_back( state.dump() );
    auto models = validSpec();
    models["models"] = { 1, { { "name", 5 } } };
    out.push_back( models.dump() );
    auto large = validSpec();
    large["address"] = std::string( 1U << 20U, 'x' );
    out.push_back( large.dump() );
    out.push_back( R"({"service":"\xff\xfe","address":"10.0.0.1:80"})" );
    out.push_back( R"({"service":"\ud800 alone","slots":4})" );
    out.push_back( "{\"service\":\"\xff\xfe\x80\",\"slots\":4}" );
    return out;
}

} // namespace

TEST_CASE( "Among objects that can't be read the others hold", "[platform][foreign]" ) {
    constexpr int validCount = 600;
    constexpr int invalidCount = 5000;
    const auto specs = invalidSpecs();
    std::vector<std::string> objects;
    for( int n = 0; n < invalidCount; ++n ) {
        const auto& spec = specs[static_cast<std::size_t>( n ) % specs.size()];
        // The large specification is used a few times only, to keep the page small.
        const bool skipped = spec.size() > 10000 && n > 200;
        objects.push_back( object( "b" + std::to_string( n ), skipped ? "{}" : spec ) );
        if( n < validCount ) {
            objects.push_back( object( "g" + std::to_string( n ), validSpec().dump() ) );
        }
    }
    objects.emplace_back( "7" );
    objects.emplace_back( "{}" );
    objects.emplace_back( R"({"metadata":{"name":5}})" );
    const auto page = platform::readPage( pageOf( objects ) );
    REQUIRE( page );
    CHECK( page->revision == 9 );
    ObjectReader reader;
    int upstreams = 0;
    for( const auto& it : page->objects ) {
        const auto upstream = reader.upstream( it );
        if( upstream ) {
            ++upstreams;
            CHECK( upstream->id[0] == 'g' );
            CHECK( upstream->created.revision == 3 );
        }
    }
    CHECK( upstreams == validCount );
}

TEST_CASE( "An object nested without end costs no stack and hides no other",
           "[platform][foreign]" ) {
    constexpr std::size_t levels = 500000;
    const std::string deeplyNested = std::string( levels, '[' ) + std::string( levels, ']' );
    const auto page = platform::readPage(
        pageOf( { object( "deep", deeplyNested ), object( "good", validSpec().dump() ) } ) );
    REQUIRE( page );
    ObjectReader reader;
    int upstreams = 0;
    for( const auto& it : page->objects ) {
        upstreams += reader.upstream( it ) ? 1 : 0;
    }
    CHECK( upstreams == 1 );
}

TEST_CASE( "A change that can't be read hides no other change", "[platform][foreign]" ) {
    const auto events = platform::readEvents(
        R"({"events":[5,{},{"object":7},{"object":{"metadata":{}},"isGone":true},)"
        R"({"object":{"metadata":{"name":"a"}},"isGone":"yes"},)"
        R"({"object":{"metadata":{"name":"b"}},"isGone":true}],"timestamp":12})" );
    REQUIRE( events );
    CHECK( events->revision == 12 );
    REQUIRE( events->events.size() == 2 );
    CHECK_FALSE( events->events[0].removed );
    CHECK( events->events[1].removed );
}

TEST_CASE( "An answer that is none is told apart from an empty one", "[platform][foreign]" ) {
    for( const auto* it :
         { "", "null", "[]", "{}", R"({"items":[]})", R"({"items":5,"timestamp":1})",
           R"({"items":[],"timestamp":"1"})", "\xff" } ) {
        INFO( it );
        CHECK_FALSE( platform::readPage( it ) );
        CHECK_FALSE( platform::readEvents( it ) );
    }
}

TEST_CASE( "A response of the store that is cut or has no structure is not taken for a list",
           "[platform][foreign]" ) {
    const auto page = pageOf( { object( "a [\\\"{", validSpec().dump() ), object( "b", "[]" ) } );
    REQUIRE( platform::readPage( page ) );
    CHECK( platform::readPage( " " + page + "\r\n" ) );
    for( std::size_t n = 0; n < page.size(); ++n ) {
        INFO( page.substr( 0, n ) );
        CHECK_FALSE( platform::readPage( page.substr( 0, n ) ) );
    }
    for( const auto* items :
         { "[1,]", "[,1]", "[1 2", "[{]", "[}", "{\"a\":1}", "[1]]", "[1]x" } ) {
        INFO( items );
        CHECK_FALSE(
            platform::readPage( std::string( R"({"timestamp":1,"items":)" ) + items + "}" ) );
    }
    for( const auto* whole :
         { "{}", R"({"timestamp":1,"items":[]}})", R"({"timestamp":1,"items":[]},)",
           R"({timestamp:1,"items":[]})", R"({"timestamp":1;"items":[]})" } ) {
        INFO( whole );
        CHECK_FALSE( platform::readPage( whole ) );
    }
}

TEST_CASE( "An entry with a number that its field does not take names no upstream",
           "[platform][foreign]" ) {
    const std::vector<std::pair<const char*, std::vector<std::string>>> invalid{
        { "slots",
          { "0", "-1", "1.5", "\"4\"", "true", "1e30", "2147483648", "4294967300", "4294967312" } },
        { "born", { "\"1\"", "1.5", "1e30", "true", "9223372036854775808" } },
        { "remainingMs",
          { "\"5\"", "true", "[]", "1e30", "-1e30", "9e15", "-9e15", "9223372036854775808" } },
        { "coldMs", { "-1", "\"1\"", "true", "{}", "1e30", "9e15", "9223372036854775808" } },
        { "sequence", { "\"1\"", "-1", "1.5", "[]", "1e30" } },
        { "models", { "\"m\"", "5", "{}", "true" } },
        { "stage", { "5", "[]", "true" } },
        { "zone", { "5" } },
        { "address",
          { "\"10.0.0.1:99999\"", "\"10.0.0.1:0\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:4294967376\"",
            "\"nowhere\"", "\":80\"", "\"not.an.address:80\"", "\"10.0.0.1.5:80\"" } },
    };
    for( const auto& [field, values] : invalid ) {
        for( const auto& value : values ) {
            INFO( field << " = " << value );
            std::string problem;
            CHECK_FALSE( platform::readUpstream(
                "u", support::withField( validSpec(), field, value ), problem ) );
            CHECK( problem.starts_with( std::string( field ) + " = " ) );
        }
    }
}

TEST_CASE( "An entry at the edges of its fields' numbers names an upstream",
           "[platform][foreign]" ) {
    const std::vector<std::pair<const char*, std::vector<std::string>>> valid{
        { "slots", { "1", "2147483647" } },
        { "born", { "0", "-5", "9223372036854775807" } },
        { "remainingMs", { "null", "0", "12.5", "-3", "30000" } },
        { "coldMs", { "0", "0.5", "30000" } },
        { "sequence", { "0", "18446744073709551615" } },
        { "models", { "null", "[]" } },
        { "stage", { "null", "\"prefill\"" } },
    };
    for( const auto& [field, values] : valid ) {
        for( const auto& value : values ) {
            INFO( field << " = " << value );
            std::string problem;
            CHECK( platform::readUpstream( "u", support::withField( validSpec(), field, value ),
                                           problem ) );
            CHECK( problem.empty() );
        }
    }
}

TEST_CASE( "An entry whose name can't stand in a header names no upstream",
           "[platform][foreign]" ) {
    for( const auto& id : std::vector<std::string>{ "a\r\nX: 1", "a\n", { "a\0b", 3 }, "\x7f" } ) {
        std::string problem;
        CHECK_FALSE( platform::readUpstream( id, validSpec().dump(), problem ) );
    }
}

TEST_CASE( "A quarantine with a number that its field does not take is none",
           "[platform][foreign]" ) {
    const Json quarantine{ { "fingerprint", "00000000000000ab" },
                           { "times", 1 },
                           { "kind", "content" },
                           { "untilMs", 1000 } };
    std::string problem;
    platform::StoreObject object;
    object.spec = quarantine.dump();
    REQUIRE( platform::readQuarantine( object, 0, problem ) );
    const std::vector<std::pair<const char*, std::vector<std::string>>> invalid{
        { "times", { "0", "-1", "1.5", "\"1\"", "1e30", "true", "4294967297" } },
        { "untilMs",
          { "1e30", "-9223372036854775808", "9223372036854775808", "1.5", "true", "\"5\"" } },
        { "kind", { "5" } },
    };
    for( const auto& [field, values] : invalid ) {
        for( const auto& value : values ) {
            INFO( field << " = " << value );
            object.spec = support::withField( quarantine, field, value );
            CHECK_FALSE( platform::readQuarantine( object, 1, problem ) );
        }
    }
}

TEST_CASE( "A report of an engine that is nested deeply ends no process", "[platform][foreign]" ) {
    const auto deep = support::nested( 400000 );
    for( const auto* field : { "models", "runs", "available", "coming", "other" } ) {
        INFO( field );
        const auto text = support::withField( { { "sequence", 1 } }, field, deep );
        CHECK_FALSE( platform::readEngineReport( text ) );
    }
}

TEST_CASE( "A report of an engine with a number that its field does not take is none",
           "[platform][foreign]" ) {
    REQUIRE( platform::readEngineReport( R"({"sequence":1,"queuedRequests":2})" ) );
    for( const auto* field :
         { "born", "sequence", "queuedRequests", "activeRequests", "cacheUsed", "cacheTotal" } ) {
        for( const auto& value :
             { std::string( 400, '9' ), std::string( "1e400" ), std::string( 30, '9' ),
               std::string( "1e30" ), std::string( "\"1\"" ), std::string( "-1.5" ) } ) {
            INFO( field << " = " << value );
            const auto text = support::withField( { { "models", Json::array() } }, field, value );
            CHECK_FALSE( platform::readEngineReport( text ) );
        }
    }
    for( const auto* value : { "4294967296", "4294967312", "-1" } ) {
        INFO( value );
        CHECK_FALSE(
            platform::readEngineReport( std::string( R"({"queuedRequests":)" ) + value + "}" ) );
        CHECK_FALSE(
            platform::readEngineReport( std::string( R"({"activeRequests":)" ) + value + "}" ) );
    }
}
