// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/registry.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

// Guards against quadratic work. When every change of an entry was compared with all members and
// copied all of them into the fleet, the work grew with the square of the fleet's size, because
// entries change all the time.

using namespace coursehead;
using namespace coursehead::gateway;
using namespace std::chrono_literals;

namespace {

constexpr MonoTime start{ 1000s };

Upstream entry( int id, int port, std::uint64_t created ) {
    Upstream out;
    out.id = "u" + std::to_string( id );
    out.ip = "10.0.0.1";
    out.port = port;
    out.created = { 1, created };
    return out;
}

Registry reachableRegistry() {
    Registry out( Registry::Settings{} );
    out.storeReachable( true, start - 1h );
    return out;
}

} // namespace

TEST_CASE( "A change of one entry concerns one member, however many there are",
           "[gateway][registry]" ) {
    auto registry = reachableRegistry();
    std::vector<Upstream> entries;
    for( int n = 0; n < 624; ++n ) {
        entries.push_back( entry( n, n, 1 ) );
    }
    registry.applyListing( entries, start );
    CHECK( registry.takeChanged().size() == 624U );
    CHECK( registry.takeChanged().empty() );
    auto changedEntry = entries[7];
    changedEntry.state = UpstreamState::draining;
    registry.put( changedEntry, start );
    CHECK( registry.takeChanged() == std::set<std::string>{ "u7" } );
    registry.remove( "u7", start );
    registry.remove( "unknown", start );
    CHECK( registry.takeChanged() == std::set<std::string>{ "u7" } );
}

TEST_CASE( "Of two entries at an address the one that was made later is a member",
           "[gateway][registry]" ) {
    rc::check( "whatever comes and goes", [] {
        auto registry = reachableRegistry();
        std::set<std::string> previousMembers;
        const auto count = *rc::gen::inRange( 1, 60 );
        for( int n = 0; n < count; ++n ) {
            const auto id = *rc::gen::inRange( 0, 8 );
            if( *rc::gen::inRange( 0, 4 ) == 0 ) {
                registry.remove( "u" + std::to_string( id ), start );
            } else {
                registry.put( entry( id, *rc::gen::inRange( 0, 4 ),
                                     static_cast<std::uint64_t>( *rc::gen::inRange( 0, 9 ) ) ),
                              start );
            }
            std::set<int> ports;
            std::set<std::string> currentMembers;
            for( const auto& [name, member] : registry.members() ) {
                RC_ASSERT( ports.insert( member.upstream.port ).second );
                currentMembers.insert( name );
            }
            // Every member added or removed is reported as changed.
            const auto changed = registry.takeChanged();
            for( const auto& it : previousMembers ) {
                RC_ASSERT( currentMembers.contains( it ) || changed.contains( it ) );
            }
            for( const auto& it : currentMembers ) {
                RC_ASSERT( previousMembers.contains( it ) || changed.contains( it ) );
            }
            previousMembers = currentMembers;
        }
    } );
}
