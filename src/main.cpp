// SPDX-License-Identifier: BSL-1.0
#include "agent/agent.hpp"
#include "ctl/ctl.hpp"
#include "entry/entry.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int exitUsage = 2;

int usage() {
    std::cerr << "usage: coursehead entry|agent|ctl [--help] [options]\n"
                 "  entry   serves callers and operators\n"
                 "  agent   stands beside one upstream VM\n"
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
