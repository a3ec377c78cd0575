// SPDX-License-Identifier: BSL-1.0
#include "kernel/resident_memory.hpp"

#include "coursehead/kernel/log.hpp"

#include <unistd.h>

#include <fstream>

namespace coursehead {

std::uint64_t residentBytes() {
    std::ifstream in( "/proc/self/statm" );
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if( in >> total >> resident ) {
        return resident * static_cast<std::uint64_t>( ::sysconf( _SC_PAGESIZE ) );
    }
    static bool logged = false;
    if( !logged ) {
        logged = true;
        log::warn( "memory_unreadable", { { "path", "/proc/self/statm" } } );
    }
    return 0;
}

} // namespace coursehead
