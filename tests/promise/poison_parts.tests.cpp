// SPDX-License-Identifier: BSL-1.0
#include "support/prompt_load.hpp"

#include <catch2/catch.hpp>

// Guards against gateways that keep sending requests which share a prompt part that crashes engines
// because no two of these requests are alike.

using namespace coursehead;
using namespace coursehead::soak;
using support::PromptLoad;

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
