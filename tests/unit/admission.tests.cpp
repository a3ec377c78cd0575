// SPDX-License-Identifier: BSL-1.0
#include "sidecar/admission.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace coursehead;
using namespace coursehead::sidecar;
using namespace std::chrono_literals;
using gateway::EnsureOutcome;

namespace {

//! An Admission that records its callbacks.
struct Fixture {
    struct Answer {
        std::uint64_t key;
        EnsureOutcome outcome;
        decide::PromptRefusal refusal = decide::PromptRefusal::none;
        Millis wait{ 0 };
    };
    net::asio::io_context context{ 1 };
    bool modelResident = true;
    std::vector<Answer> answers;
    std::vector<std::uint64_t> notResident;
    std::vector<std::uint64_t> admitted;
    Admission admission{ context, callbacks() };

    Fixture() { admission.setEngine( 100000, 600ms ); }

    Admission::Callbacks callbacks() {
        Admission::Callbacks out;
        out.isResident = [this]( const RequiredModel& ) {
            return modelResident;
        };
        out.answer = [this]( const PendingEnsure& pendingEnsure, EnsureOutcome outcome, Millis wait,
                             double ) {
            answers.push_back( { pendingEnsure.key, outcome, pendingEnsure.refusal, wait } );
        };
        out.notResident = [this]( const PendingEnsure& pendingEnsure ) {
            notResident.push_back( pendingEnsure.key );
        };
        out.admitted = [this]( const PendingEnsure& pendingEnsure ) {
            admitted.push_back( pendingEnsure.key );
        };
        return out;
    }

    //! A request for a prompt with 400 ms of reading; one such prompt fits into the gap target.
    static PendingEnsure pendingEnsure( std::uint64_t key, Millis goal ) {
        PendingEnsure out;
        out.key = key;
        out.required.model = "m";
        out.prompt.tokens = 4000;
        out.prompt.msPerToken = 0.1;
        out.prompt.goalMs = goal.count();
        out.since = MonoClock::now();
        out.limit = goal;
        return out;
    }
};

} // namespace

TEST_CASE( "A prompt that an idle engine can read gets leave at once", "[sidecar][admission]" ) {
    Fixture f;
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    REQUIRE( f.answers.size() == 1 );
    CHECK( f.answers[0].outcome == EnsureOutcome::ready );
    CHECK( f.admitted == std::vector<std::uint64_t>{ 1 } );
}

TEST_CASE( "A prompt that can't start in time is told so at once", "[sidecar][admission]" ) {
    Fixture f;
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    f.admission.admit( Fixture::pendingEnsure( 2, 100ms ) );
    REQUIRE( f.answers.size() == 2 );
    CHECK( f.answers[1].outcome == EnsureOutcome::tooLate );
}

TEST_CASE( "A displaced prompt is told so at once, with when the engine could start on it",
           "[sidecar][admission][order]" ) {
    Fixture f;
    f.admission.setEngine( 100000, 0ms );
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    auto batch = Fixture::pendingEnsure( 2, 900ms );
    batch.prompt.urgency = 7;
    f.admission.admit( batch );
    REQUIRE( f.answers.size() == 1 );
    auto urgent = Fixture::pendingEnsure( 3, 480ms );
    urgent.prompt.urgency = 1;
    urgent.prompt.tokens = 6000;
    f.admission.admit( urgent );
    REQUIRE( f.answers.size() == 2 );
    CHECK( f.answers[1].key == 2 );
    CHECK( f.answers[1].outcome == EnsureOutcome::tooLate );
    CHECK( f.answers[1].refusal == decide::PromptRefusal::displaced );
    CHECK( f.answers[1].wait > 900ms );
    CHECK( f.answers[1].wait <= 1000ms );
}

TEST_CASE( "When the engine is lost all that wait hear it at once", "[sidecar][admission]" ) {
    Fixture f;
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    f.admission.admit( Fixture::pendingEnsure( 2, 60s ) );
    REQUIRE( f.answers.size() == 1 );
    f.admission.failAll();
    REQUIRE( f.answers.size() == 2 );
    CHECK( f.answers[1].key == 2 );
    CHECK( f.answers[1].outcome == EnsureOutcome::failed );
    CHECK_FALSE( f.admission.busy( MonoClock::now() ) );
}

TEST_CASE( "When the engine is lost, prompts of every rank hear it once, and none is left",
           "[sidecar][admission][order]" ) {
    Fixture f;
    f.admission.setEngine( 100000, 0ms );
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    for( std::uint64_t key = 2; key <= 4; ++key ) {
        auto waiting = Fixture::pendingEnsure( key, 60s );
        waiting.prompt.urgency = static_cast<int>( key );
        waiting.prompt.organisation = "o" + std::to_string( key );
        f.admission.admit( waiting );
    }
    REQUIRE( f.answers.size() == 1 );
    f.admission.failAll();
    REQUIRE( f.answers.size() == 4 );
    for( std::size_t n = 1; n < 4; ++n ) {
        CHECK( f.answers[n].outcome == EnsureOutcome::failed );
    }
    CHECK( f.admission.promptsWaiting() == 0 );
    CHECK( f.admission.typicalWait( MonoClock::now() ) == 0ms );
    f.admission.admit( Fixture::pendingEnsure( 5, 100ms ) );
    CHECK( f.answers.back().outcome == EnsureOutcome::ready );
}

TEST_CASE( "The prompts of a lost gateway make room for those of others",
           "[sidecar][admission][order]" ) {
    Fixture f;
    f.admission.setEngine( 100000, 0ms );
    Peer lost;
    lost.connectionNumber = 7;
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    auto urgent = Fixture::pendingEnsure( ensureKey( lost, 1 ), 480ms );
    urgent.number = 1;
    urgent.prompt.urgency = 1;
    f.admission.admit( urgent );
    REQUIRE( f.admission.promptsWaiting() == 1 );
    f.admission.forgetPeer( lost );
    CHECK( f.admission.promptsWaiting() == 0 );
    auto usual = Fixture::pendingEnsure( 2, 480ms );
    usual.prompt.urgency = 3;
    f.admission.admit( usual );
    CHECK( f.admission.promptsWaiting() == 1 );
    CHECK( f.answers.size() == 1 );
}

TEST_CASE( "A model that made way meanwhile is wanted again, and no leave is given",
           "[sidecar][admission]" ) {
    Fixture f;
    f.modelResident = false;
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    CHECK( f.answers.empty() );
    CHECK( f.notResident == std::vector<std::uint64_t>{ 1 } );
}

TEST_CASE( "A cancel that names nothing does no harm", "[sidecar][admission]" ) {
    Fixture f;
    f.admission.forget( 77 );
    f.admission.admit( Fixture::pendingEnsure( 1, 500ms ) );
    f.admission.forget( 1 );
    f.admission.forget( 1 );
    f.admission.admit( Fixture::pendingEnsure( 2, 500ms ) );
    CHECK( f.answers.size() == 2 );
    CHECK( f.answers[1].outcome == EnsureOutcome::ready );
}
