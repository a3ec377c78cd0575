// SPDX-License-Identifier: BSL-1.0
#include "sidecar/report_changes.hpp"

#include <cstdint>

namespace coursehead::sidecar {

namespace {

//! Smallest changes of the load that cause a report.
constexpr std::uint32_t minRunningChange = 4;
constexpr std::uint32_t minPrefillingChange = 2;

bool differByAtLeast( std::uint32_t a, std::uint32_t b, std::uint32_t minChange ) {
    return ( a > b ? a - b : b - a ) >= minChange;
}

} // namespace

bool contentsDiffer( const gateway::EngineReport& a, const gateway::EngineReport& b ) {
    return a.residents != b.residents || a.loadingAdapters != b.loadingAdapters ||
           a.onDisk != b.onDisk || a.inMemory != b.inMemory;
}

bool loadDiffers( const gateway::EngineReport& a, const gateway::EngineReport& b ) {
    return a.orderInProgress != b.orderInProgress || a.queued != b.queued ||
           differByAtLeast( a.running, b.running, minRunningChange ) ||
           differByAtLeast( a.prefilling, b.prefilling, minPrefillingChange );
}

} // namespace coursehead::sidecar
