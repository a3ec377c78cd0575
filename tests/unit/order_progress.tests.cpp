// SPDX-License-Identifier: BSL-1.0
// An engine that loads a model takes no other order for seconds. Asks that wait for it in vain tell
// their gateways only after their own goal that they need another engine.
#include "decide/order_progress.hpp"
#include "sidecar/orders.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

using namespace coursehead;
using namespace coursehead::sidecar;
using namespace std::chrono_literals;
using gateway::EnsureOutcome;

TEST_CASE( "What is left of an order falls with time, and is never nothing", "[orders]" ) {
    const MonoTime sent{ 1000s };
    const decide::ModelOrder order{ "m", sent, 6000ms };
    CHECK( decide::orderLeft( order, sent + 100ms ) == 5900ms );
    CHECK( decide::orderLeft( order, sent + 8000ms ) == 800ms );
    CHECK_FALSE( decide::orderLeft( { "m", sent, std::nullopt }, sent + 100ms ) );
}

TEST_CASE( "An ask is refused only if the order is known to last too long", "[orders]" ) {
    CHECK( decide::waitBeyondLimit( { 5900ms, 25ms, 500ms } ) == 5925ms );
    CHECK_FALSE( decide::waitBeyondLimit( { 300ms, 25ms, 500ms } ) );
    CHECK_FALSE( decide::waitBeyondLimit( { std::nullopt, 25ms, 500ms } ) );
}

namespace {

//! Orders to an engine that can't be reached, so that each order may have been accepted.
struct OrdersFixture {
    struct Answer {
        std::uint64_t key;
        EnsureOutcome outcome;
        Millis loadWait;
    };
    net::asio::io_context context{ 1 };
    platform::NodeSettings settings;
    net::Acceptor silentEngine = net::listen( context, "127.0.0.1", 0 );
    std::set<PeerPtr> peers;
    EngineView view{ peers };
    RandomSource random{ 1 };
    metrics::Metrics metrics;
    EngineClient engine{ context, { "127.0.0.1", silentEngine.local_endpoint().port() } };
    std::vector<Answer> answers;
    std::vector<std::uint64_t> ready;
    Orders orders{ context,    withFirstStart( settings ), engine, view, random, metrics,
                   callbacks() };

    OrdersFixture() {
        gateway::EngineSpec spec;
        spec.weightsMb = 220000;
        spec.adapterSlots = 8;
        spec.models.push_back( { "held", 72000, 66, 4, 6000ms, 1300ms, 600ms } );
        spec.models.push_back( { "rare", 72000, 66, 4, 6000ms, 1300ms, 600ms } );
        spec.models.push_back( { "other", 72000, 66, 4, 6000ms, 1300ms, 600ms } );
        view.setSpec( spec );
        orders.start();
        report( false );
    }

    static const platform::NodeSettings& withFirstStart( platform::NodeSettings& settings ) {
        settings.firstStart = true;
        return settings;
    }

    Orders::Callbacks callbacks() {
        Orders::Callbacks out;
        out.answer = [this]( const PendingEnsure& it, EnsureOutcome outcome ) {
            answers.push_back( { it.key, outcome, it.loadWait } );
        };
        out.ready = [this]( const PendingEnsure& it ) {
            ready.push_back( it.key );
        };
        out.changed = [] {
        };
        return out;
    }

    void report( bool orderInProgress,
                 std::vector<gateway::Resident> residents = { { "held", {} } } ) {
        gateway::EngineReport next;
        next.residents = std::move( residents );
        next.onDisk = { "held", "other" };
        next.orderInProgress = orderInProgress;
        view.applyReport( std::move( next ), MonoClock::now() );
    }

    void ask( std::uint64_t key, std::string model, std::string adapter, Millis limit,
              bool fromStore = false, Millis goal = 0ms ) {
        PendingEnsure out;
        out.key = key;
        out.required = { std::move( model ), std::move( adapter ), fromStore };
        out.since = MonoClock::now();
        out.limit = limit;
        out.prompt.goalMs = goal.count();
        orders.add( std::move( out ) );
    }

    //! Sends the order that the waiting asks call for, and reports that it is in progress.
    void startOrder() {
        auto planned = orders.answerWaiting( MonoClock::now() );
        REQUIRE( planned );
        PlannedOrder next = std::move( *planned );
        auto task = orders.sendOrder( std::move( next ) );
        net::asio::co_spawn( context, std::move( task ), net::asio::detached );
        context.run_for( 600ms );
        report( true );
    }
};

} // namespace

TEST_CASE( "An adapter asked for in the middle of a load of six seconds is refused at once",
           "[orders]" ) {
    OrdersFixture f;
    f.ask( 1, "rare", "", 9000ms, true );
    f.startOrder();
    const auto left = f.orders.orderLeft( MonoClock::now() );
    REQUIRE( left );
    CHECK( *left > 4000ms );
    f.ask( 2, "held", "adapter", 900ms );
    f.orders.answerWaiting( MonoClock::now() );
    REQUIRE( f.answers.size() == 1 );
    CHECK( f.answers[0].key == 2 );
    CHECK( f.answers[0].outcome == EnsureOutcome::failed );
    CHECK( f.answers[0].loadWait > 4000ms );
    CHECK( f.orders.waiting() );
}

TEST_CASE( "A model asked for behind another model's load is refused at once if both last too long",
           "[orders]" ) {
    OrdersFixture f;
    f.ask( 1, "rare", "", 9000ms, true );
    f.startOrder();
    f.ask( 2, "other", "", 2000ms );
    f.ask( 3, "rare", "", 9000ms, true );
    f.orders.answerWaiting( MonoClock::now() );
    REQUIRE( f.answers.size() == 1 );
    CHECK( f.answers[0].key == 2 );
}

TEST_CASE( "An order of unknown length is waited for", "[orders]" ) {
    OrdersFixture f;
    f.report( true );
    CHECK_FALSE( f.orders.orderLeft( MonoClock::now() ) );
    f.ask( 1, "held", "adapter", 900ms );
    f.orders.answerWaiting( MonoClock::now() );
    CHECK( f.answers.empty() );
}

TEST_CASE( "A restarted engine has no order left", "[orders]" ) {
    OrdersFixture f;
    f.ask( 1, "rare", "", 9000ms, true );
    f.startOrder();
    f.orders.forgetModelOrder();
    CHECK_FALSE( f.orders.orderLeft( MonoClock::now() ) );
    f.report( false );
    CHECK( f.orders.orderLeft( MonoClock::now() ) == 0ms );
}

TEST_CASE( "When a load is complete those that can be in time are let in first", "[orders]" ) {
    OrdersFixture f;
    f.ask( 1, "other", "", 2000ms, false, 0ms );
    f.ask( 2, "other", "", 2000ms, false, 900ms );
    f.ask( 3, "other", "", 2000ms, false, 300ms );
    f.report( false, { { "held", {} }, { "other", {} } } );
    f.orders.answerWaiting( MonoClock::now() + 10ms );
    CHECK( f.ready == std::vector<std::uint64_t>{ 3, 2, 1 } );
}
