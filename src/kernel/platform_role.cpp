// SPDX-License-Identifier: BSL-1.0
#include "kernel/platform_role.hpp"

#include "coursehead/kernel/log.hpp"
#include "coursehead/kernel/settings.hpp"
#include "coursehead/kernel/signals.hpp"
#include "kernel/daemon.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace coursehead::daemon {

namespace {

constexpr std::int64_t maxPort = 65535;

constexpr std::array<settings::Spec, 3> specs{ {
    { "log-level", settings::Kind::logLevel, "info", "debug, info, warn or error" },
    { "metrics-port", settings::Kind::number, "0",
      "port of the process's metrics; 0: the last internal port", 0, maxPort },
    { "part-fetch", settings::Kind::flag, "true",
      "engines may fetch cached prompt parts from each other (sidecar)" },
} };

} // namespace

int runPlatformRole( std::string_view role, std::span<const std::string> arguments,
                     const std::function<int( const platform::NodeSettings& )>& run ) {
    holdReloadSignal();
    const auto environment = []( const char* name ) -> const char* {
        return std::getenv( name );
    };
    const auto parsed = settings::parse( role, specs, arguments, environment );
    if( parsed.helpShown ) {
        return exitOk;
    }
    auto problems = parsed.problems;
    auto nodeSettings = platform::readNodeSettings( platform::settingsPath() );
    problems.insert( problems.end(), nodeSettings.problems.begin(), nodeSettings.problems.end() );
    for( const auto& it : problems ) {
        std::cerr << "coursehead " << role << ": " << it << "\n";
    }
    if( !problems.empty() ) {
        return exitUsage;
    }
    if( const auto port = parsed.settings.number( "metrics-port" ); port > 0 ) {
        nodeSettings.settings.metricsPort = static_cast<int>( port );
    }
    nodeSettings.settings.partFetch = parsed.settings.flag( "part-fetch" );
    std::signal( SIGPIPE, SIG_IGN );
    log::setUpBounded( parsed.settings.text( "log-level" ), role, nodeSettings.settings.vm );
    try {
        return run( nodeSettings.settings );
    } catch( const std::exception& ex ) {
        log::error( "start_failed", { { "detail", ex.what() } } );
        return exitFailed;
    }
}

} // namespace coursehead::daemon
