// SPDX-License-Identifier: BSL-1.0
#include "support/odd_entries.hpp"
#include "support/relay_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

// Guards against an entry of another writer that hides other entries or changes of them.

using namespace coursehead;
using namespace coursehead::gateway;
using support::hugeNumbers;
using support::objectText;
using support::quoted;
using support::RelayFixture;
using support::upstreamEntry;
using support::withField;

namespace {

constexpr std::size_t entryCount = 12;
constexpr std::size_t smallPage = 6;
//! More calls than lists of four kinds take on pages of one object.
constexpr std::uint64_t maxCalls = 40;

std::string entryName( std::size_t n ) {
    return ( n < 10 ? "i-0" : "i-" ) + std::to_string( n );
}

//! A relay over a store with twelve upstreams, on small pages.
struct OddEntryFixture : RelayFixture {
    explicit OddEntryFixture( std::size_t pageSize = smallPage ) {
        store.setPageSize( pageSize );
        for( std::size_t n = 0; n < entryCount; ++n ) {
            store.put( "servers", entryName( n ), upstreamEntry( "ready" ) );
        }
    }

    //! Writes an entry that sorts between the others.
    void putOdd( const std::string& specification ) {
        store.putText( "servers", "i-055", objectText( quoted( "i-055" ), specification ) );
    }
    //! True once the relay has passed on all entries of the list, and no other.
    bool receivesAll() {
        return receives( []( const auto& it ) {
            return it.part == StorePart::upstreams && it.whole && it.upstreams.size() == entryCount;
        } );
    }
    //! True if an upstream that joins now is passed on.
    bool hearsOfNew( const std::string& name ) {
        store.put( "servers", name, upstreamEntry( "ready" ) );
        return receives( [&]( const auto& it ) {
            return std::any_of( it.upstreams.begin(), it.upstreams.end(),
                                [&]( const auto& upstream ) { return upstream.id == name; } );
        } );
    }
    bool lists( const std::string& name ) const {
        return std::any_of( updates.begin(), updates.end(), [&]( const auto& update ) {
            return std::any_of( update.upstreams.begin(), update.upstreams.end(),
                                [&]( const auto& it ) { return it.id == name; } );
        } );
    }
};

nlohmann::json withHall( const std::string& hall ) {
    auto out = upstreamEntry( "ready" );
    out["zone"] = hall;
    return out;
}

//! An entry of an upstream with a number that no type holds in each of its fields, in a field of no
//! meaning, and in the metadata.
std::vector<std::string> entriesWithHugeNumbers() {
    std::vector<std::string> out;
    for( const auto& number : hugeNumbers() ) {
        for( const auto* field : { "slots", "born", "remainingMs", "coldMs", "sequence", "version",
                                   "zone", "models", "other" } ) {
            out.push_back( objectText( quoted( "i-055" ),
                                       withField( upstreamEntry( "ready" ), field, number ) ) );
        }
        for( const auto* field : { "revision", "created" } ) {
            out.push_back( R"({"metadata":{"name":"i-055",")" + std::string( field ) +
                           "\":" + number + R"(},"specification":)" +
                           upstreamEntry( "ready" ).dump() + "}" );
        }
    }
    return out;
}

} // namespace

TEST_CASE( "An entry with a number that no type holds does not hide the others when they are "
           "listed",
           "[relay][foreign]" ) {
    for( const auto& it : entriesWithHugeNumbers() ) {
        INFO( it );
        OddEntryFixture f;
        f.store.putText( "servers", "i-055", it );
        f.subscribe();
        CHECK( f.receivesAll() );
        CHECK( f.hearsOfNew( "i-99" ) );
        CHECK_FALSE( f.lists( "i-055" ) );
    }
}

TEST_CASE( "An entry with a number that no type holds does not hide what changes later",
           "[relay][foreign]" ) {
    for( const auto& it : entriesWithHugeNumbers() ) {
        INFO( it );
        OddEntryFixture f;
        f.subscribe();
        REQUIRE( f.receivesAll() );
        f.store.putText( "servers", "i-055", it );
        CHECK( f.hearsOfNew( "i-99" ) );
        CHECK_FALSE( f.lists( "i-055" ) );
    }
}

TEST_CASE( "An upstream whose entry is overwritten with a number that no type holds is removed",
           "[relay][foreign]" ) {
    OddEntryFixture f;
    f.subscribe();
    REQUIRE( f.receivesAll() );
    f.store.putText( "servers", "i-03",
                     objectText( quoted( "i-03" ), withField( upstreamEntry( "ready" ), "slots",
                                                              hugeNumbers().front() ) ) );
    CHECK( f.receives(
        []( const auto& it ) { return it.gone == std::vector<std::string>{ "i-03" }; } ) );
}

TEST_CASE( "An entry with a number that no type holds does not hide others of its kind",
           "[relay][foreign]" ) {
    for( const std::string kind : { "config", "quarantines", "evacuations" } ) {
        for( const auto& number : hugeNumbers() ) {
            INFO( kind << ": " << number );
            OddEntryFixture f;
            f.store.putText( kind, "odd",
                             objectText( quoted( "odd" ), R"({"version":)" + number + "}" ) );
            f.store.put( "config", "main", { { "version", 1 } } );
            f.store.put( "evacuations", "hall-1", nlohmann::json::object() );
            f.subscribe();
            CHECK( f.receives(
                []( const auto& it ) { return it.configuration == R"({"version":1})"; } ) );
            CHECK( f.receives( []( const auto& it ) {
                return std::find( it.emptied.begin(), it.emptied.end(), "hall-1" ) !=
                       it.emptied.end();
            } ) );
            CHECK( f.receives(
                []( const auto& it ) { return it.part == StorePart::quarantines && it.whole; } ) );
            f.store.put( "config", "main", { { "version", 2 } } );
            CHECK( f.receives(
                []( const auto& it ) { return it.configuration == R"({"version":2})"; } ) );
        }
    }
}

TEST_CASE( "An entry that is nested deeply or not valid text does not hide the others",
           "[relay][foreign]" ) {
    for( const auto& value :
         { support::nested( 400000 ), std::string( "\"\xff\xfe\"" ), std::string( "\"\\ud800\"" ),
           std::string( "\"a\nb\"" ), std::string( "\"\\x\"" ), std::string( "01" ),
           std::string( "NaN" ) } ) {
        INFO( value.substr( 0, 20 ) );
        OddEntryFixture f;
        f.store.put( "servers", "i-05", withHall( "zürich" ) );
        f.putOdd( withField( upstreamEntry( "ready" ), "other", value ) );
        f.subscribe();
        CHECK( f.receives( []( const auto& it ) {
            return it.whole && std::any_of( it.upstreams.begin(), it.upstreams.end(),
                                            []( const auto& u ) { return u.hall == "zürich"; } );
        } ) );
        CHECK( f.hearsOfNew( "i-99" ) );
        CHECK_FALSE( f.lists( "i-055" ) );
    }
}

TEST_CASE( "An entry whose name has a meaning in a URL does not hide the others",
           "[relay][foreign]" ) {
    const std::size_t lastOfItsPage = 7;
    const auto specification =
        withField( upstreamEntry( "ready" ), "slots", hugeNumbers().front() );
    for( const auto& name : support::oddNames() ) {
        for( const std::string prefix : { "", "i-", "i-05" } ) {
            for( const auto pageSize : { std::size_t{ 1 }, lastOfItsPage } ) {
                INFO( "name " << quoted( prefix + name ) << ", pages of " << pageSize );
                OddEntryFixture f( pageSize );
                f.store.putText( "servers", prefix + name,
                                 objectText( quoted( prefix + name ), specification ) );
                f.subscribe();
                CHECK( f.receivesAll() );
                CHECK( f.store.calls() <= maxCalls );
            }
        }
    }
}

TEST_CASE( "The name of an upstream is sent to the store as it is, whatever characters it has",
           "[relay][foreign]" ) {
    for( const auto& name : support::oddNames() ) {
        const bool isText = nlohmann::json::accept( quoted( name ) );
        if( !isText ) {
            continue;
        }
        INFO( quoted( name ) );
        net::asio::io_context context{ 1 };
        support::ObjectStore store( context );
        store.put( "quarantines", name, nlohmann::json::object() );
        const auto settings = support::settingsFor( store );
        platform::StoreClient client( context, settings.store );
        auto status = platform::StoreStatus::unreachable;
        const auto call = [&]() -> net::Task<> {
            status = co_await client.remove( "quarantines", name, Millis( 1000 ) );
            context.stop();
        };
        net::asio::co_spawn( context, call, net::asio::detached );
        context.run_for( Millis( 5000 ) );
        CHECK( status == platform::StoreStatus::ok );
    }
}

TEST_CASE( "A page on which no object has a name does not end the list", "[relay][foreign]" ) {
    constexpr int unnamedCount = 20;
    for( const std::string key : { "i-05-", "" } ) {
        for( const bool isNumber : { true, false } ) {
            INFO( "keys begin with '" << key << "', " << ( isNumber ? "numbers" : "no name" ) );
            if( !isNumber && key.empty() ) {
                continue;
            }
            OddEntryFixture f;
            for( int n = 0; n < unnamedCount; ++n ) {
                const auto number = std::to_string( 500 + n );
                f.store.putText( "servers", key + number,
                                 isNumber ? objectText( number, upstreamEntry( "ready" ).dump() )
                                          : "{}" );
            }
            f.subscribe();
            CHECK( f.receivesAll() );
            CHECK( f.store.calls() <= maxCalls );
        }
    }
}

TEST_CASE( "A list that starts over ends", "[relay][foreign]" ) {
    OddEntryFixture f;
    f.store.repeatFirstPage();
    f.subscribe();
    CHECK( f.receives(
        []( const auto& it ) { return it.whole && it.upstreams.size() == smallPage; } ) );
    CHECK( f.store.calls() <= maxCalls );
}
