// SPDX-License-Identifier: BSL-1.0
#include "decide/poison.hpp"
#include "support/prompt_load.hpp"

#include <catch2/catch.hpp>

// Guards against gateways that keep sending requests which share a prompt part that crashes engines
// because no two of these requests are alike.

using namespace coursehead;
using namespace coursehead::soak;
using support::PromptLoad;
using namespace std::chrono_literals;

namespace {

//! A load without any poison part.
void makeSound( PromptLoad& load ) {
    load.poisonEvery = 0;
}

} // namespace

TEST_CASE( "A prompt part that crashes engines stops being sent, and what it shares prompts with "
           "does not",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that crashes engines stops being sent if every second request has it",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.poisonEvery = 2;
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that crashes engines stops being sent if one request in a hundred has it",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.requests = 1200;
    load.gap = Millis{ 10 };
    load.poisonEvery = 100;
    load.run();
    load.check();
}

TEST_CASE(
    "A prompt part that crashes engines stops being sent behind first parts that differ, and "
    "for several models",
    "[promise][poison-parts]" ) {
    PromptLoad load;
    load.shared = []( int n, bool poison ) {
        const auto part =
            poison ? std::string( PromptLoad::poisonPart ) : "5" + std::to_string( n % 8 );
        return ( poison ? "a" + std::to_string( n ) : std::string( "f1" ) ) + ":1500," + part +
               ":300";
    };
    load.modelOf = []( int n ) {
        return "m" + std::to_string( n / 10 % 2 );
    };
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that crashes engines stops being sent if prompts begin with it",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.shared = []( int n, bool poison ) {
        const auto first = poison ? PromptLoad::poisonPart : PromptLoad::firstPart;
        return std::string( first ) + ":1500,5" + std::to_string( n % 8 ) + ":300";
    };
    load.run();
    load.check();
}

TEST_CASE( "Two prompt parts that crash engines at the same time both stop being sent",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.poisonEvery = 5;
    load.shared = []( int n, bool poison ) {
        const auto* const bad = n % 10 == 9 ? PromptLoad::poisonPart : PromptLoad::otherPoisonPart;
        const auto part = poison ? std::string( bad ) : "5" + std::to_string( n % 8 );
        return std::string( PromptLoad::firstPart ) + ":1500," + part + ":300";
    };
    load.run();
    load.checkPart( PromptLoad::poisonPart );
    load.checkPart( PromptLoad::otherPoisonPart );
    load.checkOthersServed();
}

TEST_CASE( "A prompt part that crashes engines stops being sent if their streams have no length",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.before[0] = [&load] {
        for( auto* it : load.world.runners( true ) ) {
            it->setUnframed( true );
        }
    };
    load.run();
    load.check();
}

TEST_CASE( "What a prompt part has done outlasts every process", "[promise][poison-parts]" ) {
    PromptLoad load;
    load.before[100] = [&load] {
        load.world.restartAll();
    };
    load.run();
    load.check();
}

TEST_CASE( "A prompt part whose quarantine has ended is not sent freely by restarted gateways",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.requests = 550;
    load.withoutPoison = { 60, 320 };
    load.before[300] = [&load] {
        for( auto& it : load.world.deployment->gateways() ) {
            load.kill( *it );
        }
    };
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that crashes engines stops being sent while gateways are killed in turn",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    for( int n = 0; n < 3; ++n ) {
        load.before[10 + 20 * n] = [&load, n] {
            load.kill( *load.world.deployment->gateways()[static_cast<std::size_t>( n )] );
        };
    }
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that crashes engines stops being sent by a gateway that was suspended",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    auto& suspended = load.world.deployment->gateways()[0]->child;
    load.before[3] = [&suspended] {
        suspended->signal( SIGSTOP );
    };
    load.before[150] = [&suspended] {
        suspended->signal( SIGCONT );
    };
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that crashes engines stops being sent while the store is away",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.before[0] = [&load] {
        load.world.deployment->store().setMode( support::StoreMode::silent );
    };
    load.run();
    load.check();
}

TEST_CASE( "A prompt part that no longer crashes engines is sent again",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    load.requests = 500;
    load.poisonEvery = 5;
    load.before[50] = [&load] {
        load.world.record.parts().mend( PromptLoad::poisonPart );
    };
    load.run();
    load.checkPart( PromptLoad::poisonPart );
    // The first quarantine has ended, and one request was on trial.
    const auto from =
        load.world.record.parts().firstCrashAt() + decide::partQuarantineDuration( 1 );
    CHECK( load.servedShare( from + 4s, MonoTime::max(), true ) >= 0.9 );
}

TEST_CASE( "Prompts are served though engines crash one after the other without a poison part",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    makeSound( load );
    for( int n = 0; n < 30; ++n ) {
        load.before[10 * n] = [&load, n] {
            load.crashEngine( static_cast<std::size_t>( n ) );
        };
    }
    load.run();
    CHECK( load.servedShare() >= 0.5 );
}

TEST_CASE( "Prompts are served after half of the engines crashed at once",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    makeSound( load );
    load.before[100] = [&load] {
        for( std::size_t n = 0; n < PromptLoad::engines; n += 2 ) {
            load.crashEngine( n );
        }
    };
    load.run();
    const auto crashedAt = load.results[100].sentAt;
    CHECK( load.servedShare( crashedAt ) >= 0.5 );
    CHECK( load.servedShare( crashedAt + 2 * contactBound ) >= 0.9 );
}

TEST_CASE( "Resets of links to engines are not taken for crashes by a prompt part",
           "[promise][poison-parts]" ) {
    PromptLoad load;
    makeSound( load );
    const auto setLinks = [&load]( std::size_t n, LinkMode mode ) {
        load.world.deployment->upstreams()[n % PromptLoad::engines].toIt->setMode( mode );
    };
    for( int n = 0; n < 10; ++n ) {
        const auto engine = static_cast<std::size_t>( n );
        load.before[50 + 10 * n] = [setLinks, engine] {
            setLinks( engine, LinkMode::reset );
        };
        load.before[65 + 10 * n] = [setLinks, engine] {
            setLinks( engine, LinkMode::pass );
        };
    }
    load.run();
    CHECK( load.servedShare() >= 0.5 );
    CHECK( load.servedShare( load.results[200].sentAt ) >= 0.9 );
}

TEST_CASE( "A gateway that gets most new connections serves them like others before",
           "[promise][recover]" ) {
    constexpr int turn = 250;
    PromptLoad load;
    makeSound( load );
    load.requests = 700;
    load.gap = Millis{ 20 };
    load.modelOf = []( int n ) {
        return "m" + std::to_string( n % 7 == 0 ? n / 7 % 6 : 0 );
    };
    load.gatewayOf = []( int n ) {
        return n < turn || n % 10 == 0 ? static_cast<std::size_t>( n ) % 3 : std::size_t{ 0 };
    };
    load.run();
    const auto turnedAt = load.results[turn].sentAt;
    const auto usual = load.servedShare( MonoTime{}, turnedAt );
    CHECK( load.servedShare( turnedAt + contactBound ) >= 0.75 * usual );
}
