// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/kernel.hpp"
#include "coursehead/kernel/clock.hpp"
#include "coursehead/kernel/elastic_pool.hpp"
#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/settings.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <ctime>
#include <type_traits>

using namespace coursehead;

namespace {

const char* emptyEnvironment( const char* ) {
    return nullptr;
}

const char* environmentWithLimit( const char* name ) {
    return std::string_view( name ) == "COURSEHEAD_LIMIT" ? "7" : nullptr;
}

constexpr std::array<settings::Spec, 4> specs{ {
    { "limit", settings::Kind::number, "5", "a limit", 1, 10 },
    { "listen", settings::Kind::address, "127.0.0.1:80", "an address" },
    { "store", settings::Kind::url, "http://127.0.0.1:1", "a URL" },
    { "peer-token", settings::Kind::text, "secret", "a secret" },
} };

} // namespace

TEST_CASE( "Services start in order and stop in reverse", "[kernel]" ) {
    std::string order;
    Kernel kernel;
    kernel.add( { "a", [&] { order += "a"; },
                  [&] {
                      order += "A";
                  } } );
    kernel.add( { "b", [&] { order += "b"; },
                  [&] {
                      order += "B";
                  } } );
    kernel.start();
    kernel.stop();
    CHECK( order == "abBA" );
}

TEST_CASE( "A service that can't start takes down those before it", "[kernel]" ) {
    std::string order;
    Kernel kernel;
    kernel.add( { "a", [&] { order += "a"; },
                  [&] {
                      order += "A";
                  } } );
    kernel.add( { "b", [] { throw KernelError( "no" ); },
                  [&] {
                      order += "B";
                  } } );
    CHECK_THROWS_AS( kernel.start(), KernelError );
    CHECK( order == "aA" );
}

TEST_CASE( "Interfaces are found by name and type", "[kernel]" ) {
    Kernel kernel;
    int n = 3;
    kernel.provide( "number", n );
    CHECK( kernel.find<int>( "number" ) == 3 );
    CHECK_THROWS_AS( kernel.find<double>( "number" ), KernelError );
    CHECK_THROWS_AS( kernel.find<int>( "other" ), KernelError );
    CHECK_THROWS_AS( kernel.provide( "number", n ), KernelError );
}

TEST_CASE( "Every bad setting is named with its value", "[settings]" ) {
    const std::vector<std::string> args{ "--limit", "11", "--listen", "nowhere", "--store", "ftp" };
    const auto parsed = settings::parse( "entry", specs, args, emptyEnvironment );
    REQUIRE( parsed.problems.size() == 3 );
    CHECK( parsed.problems[0].find( "--limit (COURSEHEAD_LIMIT) = '11'" ) == 0 );
    CHECK( parsed.problems[1].find( "nowhere" ) != std::string::npos );
}

TEST_CASE( "A flag wins over the environment, which wins over the default", "[settings]" ) {
    CHECK( settings::parse( "entry", specs, {}, emptyEnvironment ).settings.number( "limit" ) ==
           5 );
    CHECK( settings::parse( "entry", specs, {}, environmentWithLimit ).settings.number( "limit" ) ==
           7 );
    const std::vector<std::string> args{ "--limit", "9" };
    CHECK(
        settings::parse( "entry", specs, args, environmentWithLimit ).settings.number( "limit" ) ==
        9 );
}

TEST_CASE( "A setting given twice or unknown is an error, and secrets are not printed",
           "[settings][hostile]" ) {
    const std::vector<std::string> repeatedFlag{ "--limit", "3", "--limit", "4" };
    CHECK( settings::parse( "entry", specs, repeatedFlag, emptyEnvironment ).problems.size() == 1 );
    const std::vector<std::string> unknownFlag{ "--nothing", "3" };
    CHECK( settings::parse( "entry", specs, unknownFlag, emptyEnvironment ).problems.size() == 1 );
    const auto printed = settings::parse( "entry", specs, {}, emptyEnvironment ).settings.print();
    CHECK( printed.find( "secret" ) == std::string::npos );
    CHECK( printed.find( "limit=5" ) != std::string::npos );
}

TEST_CASE( "A log line quotes what would break its pairs", "[log]" ) {
    CHECK( log::formatLine( "x", { { "a", "plain" }, { "b", "two words" }, { "c", "q\"=\n" } } ) ==
           "event=x a=plain b=\"two words\" c=\"q\\\"= \"" );
}

TEST_CASE( "The pool refuses a task past its limit and runs what it queued", "[kernel][pool]" ) {
    ElasticPool pool( 1 );
    std::mutex taskMutex;
    std::atomic<int> finishedTasks{ 0 };
    taskMutex.lock();
    REQUIRE( pool.tryRun( [&] {
        const std::lock_guard lock( taskMutex );
        ++finishedTasks;
    } ) );
    CHECK_FALSE( pool.tryRun( [&] { ++finishedTasks; } ) );
    pool.run( [&] { ++finishedTasks; } );
    taskMutex.unlock();
    pool.shutdown();
    CHECK( finishedTasks == 2 );
}

TEST_CASE( "Ages and leases count the time in which the VM was suspended", "[kernel][clock]" ) {
    const auto bootTime = [] {
        timespec time{};
        ::clock_gettime( CLOCK_BOOTTIME, &time );
        return std::chrono::seconds( time.tv_sec ) + std::chrono::nanoseconds( time.tv_nsec );
    };
    const auto before = bootTime();
    const auto now = MonoClock::now().time_since_epoch();
    CHECK( before <= now );
    CHECK( now <= bootTime() );
    STATIC_REQUIRE_FALSE( std::is_same_v<MonoTime, std::chrono::steady_clock::time_point> );
}
