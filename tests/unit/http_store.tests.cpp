// SPDX-License-Identifier: BSL-1.0
#include "coursehead/platform/attempt.hpp"
#include "coursehead/platform/store.hpp"
#include "coursehead/platform/vm.hpp"
#include "support/odd_entries.hpp"
#include "support/scripted_upstream.hpp"
#include "support/server_thread.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

// Guards against an object of another writer that hides the others from the older roles, or ends
// their processes.

using namespace coursehead;
using platform::EventType;
using platform::WatchEvent;

namespace {

std::string vmObject( const std::string& name, const std::string& spec ) {
    return R"({"metadata":{"name":)" + support::quoted( name ) +
           R"(,"resourceVersion":"5"},"spec":)" + spec + "}";
}

//! Objects that can't be read as a whole, or hold what no type holds.
std::vector<std::string> oddObjects() {
    std::vector<std::string> out{
        "7",
        "{}",
        R"({"metadata":7})",
        R"({"metadata":{"name":"x","resourceVersion":5}})",
        R"({"metadata":{"name":"x","resourceVersion":"many"}})",
        R"({"metadata":{"name":"x","resourceVersion":"99999999999999999999999"}})",
        vmObject( "deep", support::nested( 400000 ) ),
        vmObject( "bytes", "\"\xff\xfe\"" ),
        vmObject( "control", "\"a\nb\"" ),
    };
    for( const auto& it : support::hugeNumbers() ) {
        out.push_back( vmObject( "huge", R"({"port":)" + it + "}" ) );
    }
    return out;
}

//! A store that answers one call with this body.
struct OneAnswerStore {
    support::ServerThread server;
    support::ScriptedUpstream upstream{ server.context };
    platform::StoreStats stats;
    platform::ObjectStore store;

    explicit OneAnswerStore( const std::string& body ) {
        upstream.addStep( { support::completeAnswer( 200, "", body ), true } );
        store = platform::httpStore( "127.0.0.1:" + std::to_string( upstream.port() ), stats );
        server.start();
    }
};

} // namespace

TEST_CASE( "An object that can't be read does not hide the others of a list from the older roles",
           "[platform][foreign]" ) {
    for( const auto& odd : oddObjects() ) {
        INFO( odd.substr( 0, 80 ) );
        OneAnswerStore f( R"({"metadata":{"resourceVersion":"9"},"items":[)" +
                          vmObject( "a", R"({"port":1})" ) + "," + odd + "," +
                          vmObject( "b", R"({"port":2})" ) + "]}" );
        const auto listed = platform::attempt( [&] { return f.store.list( { "vms", "" } ); } );
        REQUIRE( listed.ok );
        CHECK( listed.value.version == 9 );
        REQUIRE( listed.value.objects.size() == 2 );
        CHECK( listed.value.objects[0].name == "a" );
        CHECK( listed.value.objects[1].spec == R"({"port":2})" );
    }
}

TEST_CASE( "An event that can't be read does not hide the others of a watch from the older roles",
           "[platform][foreign]" ) {
    for( const auto& odd : oddObjects() ) {
        INFO( odd.substr( 0, 80 ) );
        std::string lines;
        for( const auto& it : { vmObject( "a", "{}" ), odd, vmObject( "b", "{}" ) } ) {
            lines += it.find( '\n' ) == std::string::npos
                         ? R"({"type":"ADDED","object":)" + it + "}\n"
                         : "";
        }
        OneAnswerStore f( lines );
        std::vector<std::string> names;
        platform::CallControl control;
        bool ok = false;
        platform::attemptVoid(
            [&] {
                return f.store.watch(
                    { "vms", "" }, 1, Millis( 1000 ),
                    [&]( const WatchEvent& event ) {
                        names.push_back( event.object.name );
                        return true;
                    },
                    control );
            },
            ok );
        CHECK( ok );
        CHECK( names == std::vector<std::string>{ "a", "b" } );
    }
}

TEST_CASE( "A single object that can't be read is a failed call of the older roles",
           "[platform][foreign]" ) {
    for( const auto& odd : oddObjects() ) {
        INFO( odd.substr( 0, 80 ) );
        OneAnswerStore f( odd );
        const auto got = platform::attempt( [&] { return f.store.get( "vms", "x" ); } );
        CHECK_FALSE( got.ok );
    }
}

TEST_CASE( "A VM whose port is none is not taken for one at another port", "[platform][foreign]" ) {
    const nlohmann::json valid{ { "ip", "127.0.0.1" }, { "port", 80 }, { "role", "runner" } };
    const auto isVm = [&]( const std::string& port ) {
        platform::Vm vm;
        return platform::readVm( { "vms", "a", 1, support::withField( valid, "port", port ) }, vm );
    };
    for( const auto* it : { "1", "65535" } ) {
        CHECK( isVm( it ) );
    }
    for( const auto* it : { "0", "-1", "65536", "65616", "99999", "4294967376", "80.5", "1e30",
                            "1e400", "\"80\"", "true", "null" } ) {
        INFO( it );
        CHECK_FALSE( isVm( it ) );
    }
}
