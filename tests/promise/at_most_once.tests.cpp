// SPDX-License-Identifier: BSL-1.0
#include "coursehead/claims/attempts.hpp"
#include "coursehead/claims/table.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <csignal>
#include <set>

using namespace coursehead;
using namespace coursehead::claims;
using peer::AttemptState;
using peer::ClaimStep;
using peer::ClaimVerdict;

namespace {

constexpr std::size_t executorCount = 2;
constexpr std::size_t requestCount = 4;

struct Executor {
    AttemptTable attempts;
    int incarnation = 1;
};

//! A run message in transit.
struct InFlight {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    std::size_t executor = 0;
    int incarnation = 0;
};

enum class Stage { claim, dispatch, requestBar, move, barHolder, outcomeReported };
enum class ReportedOutcome { none, notRun, unknown, ran };

//! One request of a caller with the shared key; each request has an entry of its own.
struct Request {
    Stage stage = Stage::claim;
    ReportedOutcome reported = ReportedOutcome::none;
    std::uint32_t attempt = 0;
    std::size_t executor = 0;
    int incarnation = 0;
    peer::ClaimHolder holder; //!< the other request's attempt that holds the key
    bool holdsClaim = false;
    bool retried = false;
};

//! Simulates several requests racing under one key, with an owner and two executors. Any message
//! may be lost or arrive late, and the owner and the executors may restart.
class Race {
public:
    void step( std::uint32_t randomBits ) {
        m_randomBits = randomBits;
        m_now += 5;
        if( drawBelow( 60 ) == 0 ) {
            m_owner = ClaimTable{}; // a restarted owner has lost its claims
            takeOwnership();
        }
        if( drawBelow( 60 ) == 0 ) {
            auto& it = m_executors[drawBelow( executorCount )];
            it = Executor{ {}, it.incarnation + 1 };
        }
        if( !m_inFlight.empty() && drawBelow( 4 ) == 0 ) {
            deliver( m_inFlight.front() );
            m_inFlight.erase( m_inFlight.begin() );
        }
        if( !m_delayedClaims.empty() && drawBelow( 5 ) == 0 ) {
            const auto at = m_delayedClaims.begin() + drawBelow( 3 ) % m_delayedClaims.size();
            answer( m_owner, *at, ClaimRules{}, m_now );
            m_delayedClaims.erase( at );
        }
        advance( drawBelow( static_cast<std::uint32_t>( m_requests.size() ) ) );
        checkInvariants();
    }

    Race() {
        m_key = makeKey( m_now, m_random );
        m_now += 10000;
        m_owner.ownedSince[slotOf( m_key )] = 0;
    }

    std::size_t ran() const { return m_runs.size(); }

private:
    //! Takes a number below `bound` from the random bits of this step.
    std::uint32_t drawBelow( std::uint32_t bound ) {
        const auto out = m_randomBits % bound;
        m_randomBits /= bound;
        return out;
    }

    //! Draws which message of a call is lost: 0 the request, 1 the answer, any other value none.
    bool drawRequestLost() { return ( m_loss = drawBelow( 8 ) ) == 0; }
    bool answerLost() const { return m_loss == 1; }

    void takeOwnership() { m_owner.ownedSince[slotOf( m_key )] = m_now; }

    void run( std::size_t request ) { m_runs.push_back( request ); }

    void deliver( const InFlight& it ) {
        auto& executor = m_executors[it.executor];
        if( executor.incarnation == it.incarnation &&
            start( executor.attempts, { std::to_string( it.request ), it.attempt }, MonoTime{} ) ) {
            run( it.request );
            finish( executor.attempts, { std::to_string( it.request ), it.attempt }, MonoTime{} );
        }
    }

    std::optional<peer::ClaimAnswer> callOwner( std::size_t n, ClaimStep step,
                                                peer::ClaimOutcome outcome ) {
        const auto& it = m_requests[n];
        peer::ClaimRequest claimRequest;
        claimRequest.step = step;
        claimRequest.key = m_key;
        claimRequest.fingerprint = "same";
        claimRequest.holder = { std::to_string( n ), it.attempt, std::to_string( it.executor ),
                                std::to_string( it.incarnation ) };
        claimRequest.outcome = outcome;
        if( drawRequestLost() ) {
            m_delayedClaims.push_back( claimRequest );
            return std::nullopt;
        }
        const auto out = answer( m_owner, claimRequest, ClaimRules{}, m_now );
        return answerLost() ? std::nullopt : std::optional( out );
    }

    AttemptState requestBar( std::size_t executor, int incarnation, const std::string& request,
                             std::uint32_t attempt ) {
        auto& it = m_executors[executor];
        if( drawRequestLost() || it.incarnation != incarnation ) {
            return AttemptState::unknown;
        }
        const auto out = bar( it.attempts, { request, attempt }, MonoTime{} );
        return answerLost() ? AttemptState::unknown : out;
    }

    void reportToCaller( std::size_t n, ReportedOutcome reportedOutcome ) {
        auto& it = m_requests[n];
        if( it.holdsClaim ) {
            callOwner( n, ClaimStep::resolve,
                       reportedOutcome == ReportedOutcome::notRun ? peer::ClaimOutcome::notRun
                       : reportedOutcome == ReportedOutcome::ran  ? peer::ClaimOutcome::finished
                                                                  : peer::ClaimOutcome::unknown );
        }
        it.reported = reportedOutcome;
        it.stage = Stage::outcomeReported;
    }

    void pickExecutor( Request& it ) {
        ++it.attempt;
        it.executor = drawBelow( executorCount );
        it.incarnation = m_executors[it.executor].incarnation;
    }

    void onVerdict( std::size_t n, const std::optional<peer::ClaimAnswer>& got ) {
        auto& it = m_requests[n];
        if( !got ) {
            return reportToCaller( n, ReportedOutcome::notRun );
        }
        switch( got->verdict ) {
        case ClaimVerdict::granted:
            it.holdsClaim = true;
            it.stage = Stage::dispatch;
            return;
        case ClaimVerdict::busy:
            it.holder = got->holder;
            it.stage = Stage::barHolder;
            return;
        case ClaimVerdict::finished:
            return reportToCaller( n, ReportedOutcome::ran );
        case ClaimVerdict::notOwner:
            return reportToCaller( n, ReportedOutcome::notRun );
        default:
            return reportToCaller( n, ReportedOutcome::unknown );
        }
    }

    void advance( std::size_t n ) {
        auto& it = m_requests[n];
        switch( it.stage ) {
        case Stage::claim:
            pickExecutor( it );
            return onVerdict( n, callOwner( n, ClaimStep::claim, {} ) );
        case Stage::dispatch: {
            m_inFlight.push_back( { n, it.attempt, it.executor, it.incarnation } );
            if( drawBelow( 2 ) == 0 ) { // the message arrives at once
                deliver( m_inFlight.back() );
                m_inFlight.pop_back();
                if( drawBelow( 3 ) != 0 &&
                    m_executors[it.executor].incarnation == it.incarnation ) {
                    return reportToCaller( n, ReportedOutcome::ran );
                }
            }
            it.stage = Stage::requestBar;
            return;
        }
        case Stage::requestBar:
            switch( requestBar( it.executor, it.incarnation, std::to_string( n ), it.attempt ) ) {
            case AttemptState::barred:
                it.stage = Stage::move;
                return;
            case AttemptState::unknown:
                return reportToCaller( n, ReportedOutcome::unknown );
            default:
                return reportToCaller( n, ReportedOutcome::ran );
            }
        case Stage::move:
            pickExecutor( it );
            return onVerdict( n, callOwner( n, ClaimStep::move, {} ) );
        case Stage::barHolder:
            switch( requestBar( std::stoul( it.holder.executor ),
                                std::stoi( it.holder.incarnation ), it.holder.requestId,
                                it.holder.attempt ) ) {
            case AttemptState::barred: {
                it.attempt = it.holder.attempt + 1;
                const auto moved = callOwner( n, ClaimStep::move, {} );
                if( moved && moved->verdict == ClaimVerdict::granted ) {
                    it.holdsClaim = true;
                    it.stage = Stage::dispatch;
                    return;
                }
                return reportToCaller( n, ReportedOutcome::unknown );
            }
            case AttemptState::unknown:
                return reportToCaller( n, ReportedOutcome::unknown );
            default:
                return reportToCaller( n, ReportedOutcome::ran );
            }
        case Stage::outcomeReported:
            // The caller retries with the same key, as a new request.
            if( it.reported != ReportedOutcome::ran && m_requests.size() < 60 && !it.retried ) {
                it.retried = true;
                m_requests.emplace_back();
            }
            return;
        }
    }

    void checkInvariants() {
        RC_ASSERT( m_runs.size() <= 1U );
        for( const auto it : m_runs ) {
            RC_ASSERT( m_requests[it].reported != ReportedOutcome::notRun );
        }
    }

    std::string m_key;
    RandomSource m_random{ 7 };
    WallMillis m_now = 1'800'000'000'000;
    ClaimTable m_owner;
    std::vector<Executor> m_executors{ executorCount };
    std::vector<Request> m_requests{ requestCount };
    std::vector<InFlight> m_inFlight;
    std::vector<peer::ClaimRequest> m_delayedClaims;
    std::vector<std::size_t> m_runs; //!< index of the request of each run
    std::uint32_t m_randomBits = 0;
    std::uint32_t m_loss = 0;
};

//! A store, two entries and two services with an agent each.
struct ActivationSetup {
    fleet::Fleet fleet;
    fleet::Node* service1 = nullptr;
    fleet::Node* service2 = nullptr;

    ActivationSetup() {
        service1 = &fleet.service( "s1" );
        service2 = &fleet.service( "s2" );
        fleet.agent( "a1", service1->url, {}, "service" );
        fleet.agent( "a2", service2->url, {}, "service" );
        fleet.entry( "e1" );
        fleet.entry( "e2" );
        fleet.waitForAgents( entry1(), 2 );
        fleet.waitForAgents( entry2(), 2 );
        fleet::Fleet::require( entry1(), fleet::defaultConfig() );
        fleet.waitForSlots( entry1() );
        fleet.waitForSlots( entry2() );
    }

    fleet::Node& entry1() { return fleet.node( "e1" ); }
    fleet::Node& entry2() { return fleet.node( "e2" ); }

    http::Outcome activate( const fleet::Node& entry, const std::string& key,
                            int deadlineMs = 8000 ) {
        return fleet::call( entry.url, "POST", "/services/cards/activate", "{}",
                            { { "Idempotency-Key", key },
                              { "X-Coursehead-Deadline-Ms", std::to_string( deadlineMs ) } } );
    }

    //! The number of runs of the key, over both services.
    std::uint64_t runs( const std::string& key ) {
        std::uint64_t out = 0;
        for( auto* it : { service1, service2 } ) {
            out += fleet::Fleet::get( it->url, "/runs" ).value( key, std::uint64_t{ 0 } );
        }
        return out;
    }

    //! The agent that owns the key.
    std::string ownerOf( const std::string& key ) {
        const auto got = fleet::Fleet::command( entry1(), "show slots where name = " +
                                                              std::to_string( slotOf( key ) ) );
        return got["tables"][0]["rows"][0][1];
    }

    std::string keyOwnedBy( const std::string& vm ) {
        for( ;; ) {
            auto key = fleet::Fleet::key();
            if( ownerOf( key ) == vm ) {
                return key;
            }
        }
    }
};

std::string outcomeOf( const http::Outcome& got ) {
    return std::string( got.response.headers.contains( "X-Coursehead-Outcome" )
                            ? got.response.headers.at( "X-Coursehead-Outcome" )
                            : "" );
}

} // namespace

TEST_CASE( "Whatever is lost, late or restarted, a key runs at most once and not-run is true",
           "[promise][once][property]" ) {
    static std::uint64_t ran = 0;
    rc::prop( "requests racing under one key", [] {
        const auto draws = fleet::draws( 400 );
        Race race;
        for( const auto it : draws ) {
            race.step( it );
        }
        ran += race.ran();
    } );
    CHECK( ran > 10 );
}

TEST_CASE( "The same key at two entries at once runs once and both get the answer",
           "[promise][once][process]" ) {
    ActivationSetup setup;
    fleet::Fleet::setFaults( *setup.service1, { { "slow_ms", 150 } } );
    fleet::Fleet::setFaults( *setup.service2, { { "slow_ms", 150 } } );
    for( int n = 0; n < 5; ++n ) {
        const auto key = fleet::Fleet::key();
        http::Outcome one;
        {
            std::jthread other( [&] { one = setup.activate( setup.entry1(), key ); } );
            const auto two = setup.activate( setup.entry2(), key );
            CHECK( two.response.status == 200 );
        }
        CHECK( one.response.status == 200 );
        CHECK( setup.runs( key ) == 1 );
    }
}

TEST_CASE( "A service that dies leaves no second run and no false not-run",
           "[promise][once][process]" ) {
    ActivationSetup setup;
    const std::string fault = GENERATE( "die_before", "die_after" );
    for( auto* it : { setup.service1, setup.service2 } ) {
        fleet::Fleet::setFaults( *it, { { fault, 1 } } );
    }
    const auto key = fleet::Fleet::key();
    const auto first = setup.activate( setup.entry1(), key );
    CHECK( outcomeOf( first ) == "unknown" );
    for( int n = 0; n < 3; ++n ) {
        const auto again = setup.activate( setup.entry2(), key );
        CHECK( outcomeOf( again ) != "not-run" );
    }
    CHECK( setup.runs( key ) <= 1 );
}

TEST_CASE( "An agent killed with a request at its service leaves it run at most once",
           "[promise][once][process]" ) {
    ActivationSetup setup;
    for( auto* it : { setup.service1, setup.service2 } ) {
        fleet::Fleet::setFaults( *it, { { "slow_ms", 600 } } );
    }
    const auto key = fleet::Fleet::key();
    http::Outcome first;
    {
        std::jthread caller( [&] { first = setup.activate( setup.entry1(), key ); } );
        fleet::waitUntil( "the run", [&] { return setup.runs( key ) == 1; } );
        for( const char* name : { "a1", "a2" } ) {
            setup.fleet.node( name ).process->kill();
        }
    }
    CHECK( outcomeOf( first ) == "unknown" );
    for( const char* name : { "a1", "a2" } ) {
        setup.fleet.agent( name, name[1] == '1' ? setup.service1->url : setup.service2->url, {},
                           "service" );
    }
    setup.fleet.waitForAgents( setup.entry2(), 2 );
    setup.fleet.waitForSlots( setup.entry2() );
    const auto again = setup.activate( setup.entry2(), key );
    CHECK( outcomeOf( again ) == "unknown" );
    CHECK( setup.runs( key ) == 1 );
    CHECK( setup.activate( setup.entry2(), fleet::Fleet::key() ).response.status == 200 );
}

TEST_CASE( "An entry killed with a request on its way leaves the answer to another entry",
           "[promise][once][process]" ) {
    ActivationSetup setup;
    for( auto* it : { setup.service1, setup.service2 } ) {
        fleet::Fleet::setFaults( *it, { { "slow_ms", 500 } } );
    }
    const auto key = fleet::Fleet::key();
    {
        std::jthread caller( [&] { setup.activate( setup.entry1(), key ); } );
        fleet::waitUntil( "the run", [&] { return setup.runs( key ) == 1; } );
        setup.entry1().process->kill();
    }
    const auto again = setup.activate( setup.entry2(), key );
    CHECK( again.response.status == 200 );
    CHECK( outcomeOf( again ) == "ran" );
    CHECK( setup.runs( key ) == 1 );
}

TEST_CASE( "A frozen agent that wakes up does not run a request that went elsewhere",
           "[promise][once][process]" ) {
    ActivationSetup setup;
    for( const char* name : { "a1", "a2" } ) {
        setup.fleet.node( name ).process->signal( SIGSTOP );
    }
    const auto key = fleet::Fleet::key();
    const auto first = setup.activate( setup.entry1(), key, 6000 );
    CHECK( first.response.status >= 500 );
    for( const char* name : { "a1", "a2" } ) {
        setup.fleet.node( name ).process->signal( SIGCONT );
    }
    setup.fleet.waitForAgents( setup.entry2(), 2 );
    const bool saidNotRun = outcomeOf( first ) == "not-run";
    const auto runsBefore = setup.runs( key );
    CHECK( ( !saidNotRun || runsBefore == 0 ) );
    fleet::waitUntil( "an answer", [&] {
        const auto again = setup.activate( setup.entry2(), key );
        return again.response.status == 200 || outcomeOf( again ) == "unknown";
    } );
    CHECK( setup.runs( key ) <= 1 );
}

TEST_CASE( "A key whose owner is gone is refused as not run, until the list shows it gone",
           "[promise][once][process]" ) {
    ActivationSetup setup;
    const auto key = setup.keyOwnedBy( "a1" );
    setup.fleet.node( "a1" ).process->kill();
    const auto first = setup.activate( setup.entry1(), key );
    CHECK( outcomeOf( first ) == "not-run" );
    CHECK( first.response.headers.contains( "Retry-After" ) );
    CHECK( setup.runs( key ) == 0 );
    setup.fleet.unlistVm( "a1" );
    fleet::waitUntil( "a new owner", [&] { return setup.ownerOf( key ) == "a2"; } );
    fleet::waitUntil( "the new owner's answer", [&] {
        return setup.activate( setup.entry1(), fleet::Fleet::key() ).response.status == 200;
    } );
    // The key is older than the new owner's ownership of the slot, so that owner cannot know the
    // outcome. Until the owner has received its slot the answer is not-run, which is true as well.
    fleet::waitUntil( "the outcome unknown from the new owner", [&] {
        const auto outcome = outcomeOf( setup.activate( setup.entry1(), key ) );
        CHECK( outcome != "ran" );
        return outcome == "unknown";
    } );
    CHECK( setup.runs( key ) == 0 );
}

TEST_CASE( "An hour of store outage does not stop activations", "[promise][once][process]" ) {
    ActivationSetup setup;
    fleet::Fleet::setFaults( setup.fleet.store(), { { "outage", true } } );
    for( int n = 0; n < 20; ++n ) {
        const auto key = fleet::Fleet::key();
        const auto got = setup.activate( n % 2 == 0 ? setup.entry1() : setup.entry2(), key );
        CHECK( got.response.status == 200 );
        CHECK( setup.runs( key ) == 1 );
    }
}

TEST_CASE( "Only a list at least as new as the owner's assignment proves that it is gone",
           "[promise][once]" ) {
    config::State state;
    state.slots.push_back( { 0, "a1", 50 } );
    for( std::uint32_t n = 1; n < slotCount; ++n ) {
        state.slots.push_back( { n, "a2", 50 } );
    }
    CHECK( reassign( state, { 49, { "a2" }, { "a2" } } ).empty() );
    const auto moved = reassign( state, { 50, { "a2" }, { "a2" } } );
    REQUIRE( moved.size() == 1 );
    CHECK( moved[0].vm == "a2" );
}
