// SPDX-License-Identifier: BSL-1.0
#include "kernel/daemon.hpp"

#include "coursehead/kernel/kernel.hpp"
#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/random.hpp"
#include "coursehead/kernel/signals.hpp"

#include <malloc.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace coursehead::daemon {

using settings::Kind;
using settings::Spec;

namespace {

//! Number of malloc arenas shared by all threads. With one arena per thread, many sessions would
//! hold much memory.
constexpr int mallocArenas = 2;
constexpr int mallocTrimBytes = 256 << 10;

constexpr std::array<Spec, 10> commonSpecs{ {
    { "vm", Kind::name, "", "Name of this VM in the platform's list" },
    { "hall", Kind::name, "", "Hall of this VM" },
    { "region", Kind::name, "", "Region of the hall" },
    { "store", Kind::url, "", "The platform's object API" },
    { "peer-token", Kind::text, "", "Secret shared by entries and agents" },
    { "peer-silence-ms", Kind::number, "3000", "Silence after which a peer connection is dropped",
      100, 600000 },
    { "watch-wait-ms", Kind::number, "240000", "Length of one watch call", 1000, 3600000 },
    { "log-level", Kind::logLevel, "info", "debug, info, warn or error" },
    { "drain-limit-ms", Kind::number, "600000",
      "Longest time that a stop waits for requests in progress", 0, 86400000 },
    { "store-retry-ms", Kind::number, "5000", "Longest delay between attempts to reach the store",
      50, 600000 },
} };

} // namespace

std::vector<Spec> withCommon( std::span<const Spec> own ) {
    std::vector<Spec> out( commonSpecs.begin(), commonSpecs.end() );
    out.insert( out.end(), own.begin(), own.end() );
    return out;
}

int runRole( std::string_view role, std::span<const Spec> specs,
             std::span<const std::string> arguments,
             const std::function<int( const settings::Settings& )>& run ) {
    const auto environment = []( const char* name ) -> const char* {
        return std::getenv( name );
    };
    const auto parsed = settings::parse( role, specs, arguments, environment );
    if( parsed.helpShown ) {
        return exitOk;
    }
    for( const auto& it : parsed.problems ) {
        std::cerr << "coursehead " << role << ": " << it << "\n";
    }
    if( !parsed.problems.empty() ) {
        return exitUsage;
    }
    if( parsed.printSettings ) {
        std::cout << parsed.settings.print();
        return exitOk;
    }
    mallopt( M_ARENA_MAX, mallocArenas );
    mallopt( M_TRIM_THRESHOLD, mallocTrimBytes );
    blockStopSignals();
    log::setUp( parsed.settings.text( "log-level" ), role, parsed.settings.text( "vm" ) );
    try {
        return run( parsed.settings );
    } catch( const std::exception& ex ) {
        log::error( "start_failed", { { "detail", ex.what() } } );
        return exitFailed;
    }
}

peer::LoopSettings loopSettings( const settings::Settings& settings ) {
    peer::LoopSettings out;
    out.token = settings.text( "peer-token" );
    out.silenceTimeout = Millis( settings.number( "peer-silence-ms" ) );
    out.seed = systemSeed();
    return out;
}

platform::WatchSettings watchSettings( const settings::Settings& settings ) {
    platform::WatchSettings out;
    out.wait = Millis( settings.number( "watch-wait-ms" ) );
    out.maxRetryDelay = Millis( settings.number( "store-retry-ms" ) );
    return out;
}

void waitUntilIdle( const settings::Settings& settings, const Clock& clock,
                    const std::function<std::size_t()>& inFlight ) {
    constexpr Millis pollInterval{ 20 };
    const auto limit = clock.now() + Millis( settings.number( "drain-limit-ms" ) );
    while( inFlight() > 0 && clock.now() < limit ) {
        std::this_thread::sleep_for( pollInterval );
    }
    log::info( "drain_ends", { { "left", static_cast<std::int64_t>( inFlight() ) } } );
}

void addCommonGauges( metrics::Metrics& metrics, const config::Replica& replica,
                      const platform::StoreStats& store, const peer::Loop& loop ) {
    metrics.gauge( "config_revision",
                   [&replica] { return static_cast<double>( replica.revision() ); } );
    metrics.gauge( "config_older_dropped", [&replica] {
        return static_cast<double>( replica.stats().olderHeadsIgnored );
    } );
    metrics.gauge( "store_calls", [&store] {
        return static_cast<double>( store.reads + store.writes + store.watches );
    } );
    metrics.gauge( "peer_bytes", [&loop] {
        const auto stats = loop.stats();
        return static_cast<double>( stats.bytesIn + stats.bytesOut );
    } );
    metrics.gauge( "peer_connections",
                   [&loop] { return static_cast<double>( loop.stats().connections ); } );
}

} // namespace coursehead::daemon
