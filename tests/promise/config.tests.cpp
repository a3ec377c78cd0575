// SPDX-License-Identifier: BSL-1.0
#include "coursehead/config/committer.hpp"
#include "coursehead/config/replica.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <csignal>
#include <set>

using namespace coursehead;
using fleet::Fleet;

namespace {

//! Two entries and some agents of a plain service.
struct ConfigSetup {
    Fleet fleet;

    explicit ConfigSetup( int agents = 3 ) {
        auto& service = fleet.service( "s" );
        for( int n = 0; n < agents; ++n ) {
            fleet.agent( "a" + std::to_string( n ), service.url, {}, "service" );
        }
        fleet.entry( "e1", { "--plan", "false" } );
        fleet.entry( "e2", { "--plan", "false" } );
        for( auto* it : { &e1(), &e2() } ) {
            fleet.waitForAgents( *it, static_cast<std::size_t>( agents ) );
        }
    }
    fleet::Node& e1() { return fleet.node( "e1" ); }
    fleet::Node& e2() { return fleet.node( "e2" ); }

    //! The set of revisions that the processes have.
    std::set<std::uint64_t> revisions() {
        std::set<std::uint64_t> out;
        for( const char* name : { "e1", "e2", "a0", "a1", "a2" } ) {
            const auto& node = fleet.node( name );
            const auto& url = node.httpUrl.empty() ? node.url : node.httpUrl;
            out.insert( Fleet::get( url, "/healthz" )["revision"].get<std::uint64_t>() );
        }
        return out;
    }
    void waitForRevision( std::uint64_t revision ) {
        fleet::waitUntil( "all processes to have the revision",
                          [&] { return revisions() == std::set<std::uint64_t>{ revision }; } );
    }
};

std::string createCommand( const std::string& name ) {
    return "create model " + name + " memory=1GiB";
}

std::set<std::string> modelNames( const fleet::Node& entry ) {
    std::set<std::string> out;
    const auto shown = Fleet::command( entry, "show models" );
    for( const auto& it : shown["tables"][0]["rows"] ) {
        out.insert( it[0] );
    }
    return out;
}

} // namespace

TEST_CASE( "A replica never steps back, whatever order heads come in",
           "[promise][config][property]" ) {
    rc::prop( "offers from the store and from peers, reordered and repeated", [] {
        // A history of heads whose tail is cut at every twentieth revision.
        std::vector<config::Head> heads( 1 );
        std::vector<config::State> states( 1 );
        for( int n = 1; n <= 80; ++n ) {
            config::Head head = heads.back();
            if( n % 20 == 0 ) {
                head = config::trimTail( head, head.revision );
            }
            const config::ChangeSet set{ std::to_string( n ),
                                         "",
                                         { { config::Action::create,
                                             config::Kind::model,
                                             "m" + std::to_string( n ),
                                             { { "memory", "1GiB" } } } } };
            heads.push_back( config::append( head, set ) );
            config::State next = states.back();
            RC_ASSERT( config::adopt( next, heads.back() ) == config::HeadVerdict::adopted );
            states.push_back( std::move( next ) );
        }
        const auto snapshots = [&states]( config::Revision revision ) {
            return std::optional( states[revision] );
        };
        config::Replica replica;
        config::Replica peer;
        config::Revision last = 0;
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            60, rc::gen::inRange<std::size_t>( 1, heads.size() ) );
        std::uint64_t olderOffers = 0;
        for( const auto it : order ) {
            olderOffers += heads[it].revision < replica.revision() ? 1 : 0;
            replica.offer( heads[it], snapshots );
            RC_ASSERT( replica.revision() >= last );
            last = replica.revision();
            RC_ASSERT( replica.state()->models.size() == last );
            if( it % 3 == 0 ) {
                if( const auto update = replica.updateFor( peer.revision() ) ) {
                    peer.offer( *update );
                }
                RC_ASSERT( peer.revision() == replica.revision() );
                RC_ASSERT( config::toText( *peer.state() ) == config::toText( *replica.state() ) );
            }
        }
        RC_ASSERT( replica.stats().olderHeadsIgnored == olderOffers );
    } );
}

TEST_CASE( "Racing operators: every accepted change stays, none is lost or doubled",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    std::mutex mutex;
    std::set<std::string> accepted;
    std::set<std::uint64_t> committedRevisions;
    std::vector<std::jthread> operators;
    for( int n = 0; n < 6; ++n ) {
        operators.emplace_back( [&, n] {
            const auto& entry = n % 2 == 0 ? setup.e1() : setup.e2();
            for( int k = 0; k < 5; ++k ) {
                const auto name = "m" + std::to_string( n ) + "-" + std::to_string( k );
                const auto done = Fleet::command( entry, createCommand( name ) );
                const std::lock_guard lock( mutex );
                if( done["status"] == "ok" ) {
                    accepted.insert( name );
                    CHECK(
                        committedRevisions.insert( done["revision"].get<std::uint64_t>() ).second );
                }
            }
        } );
    }
    operators.clear();
    CHECK( accepted.size() >= 20 );
    setup.waitForRevision( *committedRevisions.rbegin() );
    CHECK( modelNames( setup.e1() ) == accepted );
    CHECK( modelNames( setup.e2() ) == accepted );
}

TEST_CASE( "Two operators changing the same object: one is told of the conflict",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    Fleet::require( setup.e1(), createCommand( "m" ) );
    int conflicts = 0;
    for( int n = 0; n < 20 && conflicts == 0; ++n ) {
        fleet::Json one;
        {
            std::jthread other(
                [&] { one = Fleet::command( setup.e1(), "set model m replicas=3" ); } );
            const auto two = Fleet::command( setup.e2(), "set model m replicas=4" );
            conflicts += two["status"] == "conflict" ? 1 : 0;
        }
        conflicts += one["status"] == "conflict" ? 1 : 0;
    }
    CHECK( conflicts > 0 );
}

TEST_CASE( "A write whose answer is lost is settled: accepted once",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    Fleet::require( setup.e1(), createCommand( "m0" ) );
    const auto before = *setup.revisions().rbegin();
    Fleet::setFaults( setup.fleet.store(), { { "lose_write_answers", 1 } } );
    const auto done = Fleet::command( setup.e1(), createCommand( "m1" ) );
    CHECK( done["status"] == "ok" );
    CHECK( done["revision"] == before + 1 );
    setup.waitForRevision( before + 1 );
}

TEST_CASE( "A stale read neither loses nor reverts a change", "[promise][config][process]" ) {
    ConfigSetup setup;
    Fleet::require( setup.e1(), createCommand( "m0" ) );
    Fleet::require( setup.e1(), createCommand( "m1" ) );
    Fleet::setFaults( setup.fleet.store(), { { "stale_reads", 1 } } );
    const auto done = Fleet::command( setup.e2(), createCommand( "m2" ) );
    CHECK( done["status"] == "ok" );
    setup.waitForRevision( done["revision"].get<std::uint64_t>() );
    CHECK( modelNames( setup.e1() ) == std::set<std::string>{ "m0", "m1", "m2" } );
}

TEST_CASE( "A change committed just before the store goes down spreads from peer to peer",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    Fleet::require( setup.e1(), createCommand( "m0" ) );
    Fleet::setFaults( setup.fleet.store(), { { "hold_watches", true } } );
    const auto done = Fleet::command( setup.e1(), createCommand( "m1" ) );
    REQUIRE( done["status"] == "ok" );
    Fleet::setFaults( setup.fleet.store(), { { "hold_watches", true }, { "outage", true } } );
    setup.waitForRevision( done["revision"].get<std::uint64_t>() );
    CHECK( modelNames( setup.e2() ) == std::set<std::string>{ "m0", "m1" } );
    const auto refused = Fleet::command( setup.e1(), createCommand( "m2" ) );
    CHECK( refused["status"] == "unavailable" );
}

TEST_CASE( "An entry paused through ten changes catches up and never shows an older one",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    Fleet::require( setup.e1(), createCommand( "m" ) );
    setup.e2().process->signal( SIGSTOP );
    std::uint64_t last = 0;
    for( int n = 0; n < 10; ++n ) {
        const auto done =
            Fleet::command( setup.e1(), "set model m replicas=" + std::to_string( n + 2 ) );
        REQUIRE( done["status"] == "ok" );
        last = done["revision"];
    }
    setup.e2().process->signal( SIGCONT );
    setup.waitForRevision( last );
    const auto shown = Fleet::command( setup.e2(), "show models where replicas = 11" );
    CHECK( shown["tables"][0]["rows"].size() == 1 );
}

TEST_CASE( "A change set is in force whole or not at all, and says what is wrong",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    const auto done = Fleet::command( setup.e1(), "begin\n" + createCommand( "good" ) +
                                                      "\ncreate model bad memory=lots\ncommit" );
    CHECK( done["status"] == "rejected" );
    CHECK( done["message"].get<std::string>().find( "field 'memory' = 'lots'" ) !=
           std::string::npos );
    CHECK( modelNames( setup.e1() ).empty() );
    CHECK( Fleet::command( setup.e1(), "begin\n" + createCommand( "open" ) )["status"] ==
           "rejected" );
}

TEST_CASE( "A process that starts after many changes reads the snapshot and the tail",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    std::string text;
    for( int n = 0; n < 90; ++n ) {
        text += createCommand( "m" + std::to_string( n ) ) + "\n";
    }
    Fleet::require( setup.e1(), text );
    setup.fleet.entry( "e3", { "--plan", "false" } );
    fleet::waitUntil( "the new entry",
                      [&] { return modelNames( setup.fleet.node( "e3" ) ).size() == 90; } );
}

TEST_CASE( "A steady stream of changes does not hold up their spread from peer to peer",
           "[promise][config][process]" ) {
    ConfigSetup setup;
    Fleet::require( setup.e1(), createCommand( "m" ) );
    Fleet::setFaults( setup.fleet.store(), { { "hold_watches", true } } );
    const auto before = *setup.revisions().rbegin();
    bool spread = false;
    for( int n = 0; n < 60 && !spread; ++n ) {
        Fleet::command( setup.e1(), "set model m replicas=" + std::to_string( n + 2 ) );
        std::this_thread::sleep_for( Millis( 200 ) );
        spread = *setup.revisions().begin() > before;
    }
    CHECK( spread );
}
