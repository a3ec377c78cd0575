// SPDX-License-Identifier: BSL-1.0
#include "agent/agent.hpp"
#include "coursehead/kernel/signals.hpp"
#include "ctl/ctl.hpp"
#include "entry/entry.hpp"
#include "gateway/gateway.hpp"
#include "sidecar/sidecar.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int exitUsage = 2;

//! Holds SIGHUP back before any constructor runs, those of shared libraries included: until a role
//! handles it, it would end the process.
[[gnu::section( ".preinit_array" ),
  gnu::used]] void ( *const holdAtStart )() = coursehead::holdReloadSignal;

int usage() {
    std::cerr << "usage: coursehead entry|agent|gateway|sidecar|ctl [--help] [options]\n"
                 "  entry   serves callers and operators\n"
                 "  agent   runs callers' requests on one upstream VM\n"
                 "  gateway on the users' platform: accepts clients' requests\n"
                 "  sidecar on the users' platform: serves one engine\n"
                 "  ctl     the operators' command line\n";
    return exitUsage;
}

} // namespace

int main( int argc, char** argv ) {
    const std::vector<std::string> arguments( argv, argv + argc );
    if( arguments.size() < 2 ) {
        return usage();
    }
    const std::span<const std::string> rest( arguments.begin() + 2, arguments.end() );
    if( arguments[1] == "gateway" ) {
        return coursehead::gateway::runGateway( rest );
    }
    if( arguments[1] == "sidecar" ) {
        return coursehead::sidecar::runSidecar( rest );
    }
    coursehead::allowReloadSignal();
    if( arguments[1] == "entry" ) {
        return coursehead::entry::runEntry( rest );
    }
    if( arguments[1] == "agent" ) {
        return coursehead::agent::runAgent( rest );
    }
    if( arguments[1] == "ctl" ) {
        return coursehead::ctl::runCtl( rest );
    }
    return usage();
}
