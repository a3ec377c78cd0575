// SPDX-License-Identifier: BSL-1.0
#include "sidecar/report_news.hpp"

#include <cstdint>

namespace coursehead::sidecar {

namespace {

//! Smallest changes of the load that cause a report.
constexpr std::uint32_t runningStep = 4;
constexpr std::uint32_t prefillingStep = 2;

bool apart( std::uint32_t a, std::uint32_t b, std::uint32_t step ) {
    return ( a > b ? a - b : b - a ) >= step;
}

} // namespace

bool shapeDiffers( const gateway::EngineReport& a, const gateway::EngineReport& b ) {
    return a.residents != b.residents || a.loadingAdapters != b.loadingAdapters ||
           a.onDisk != b.onDisk || a.inMemory != b.inMemory;
}

bool loadDiffers( const gateway::EngineReport& a, const gateway::EngineReport& b ) {
    return a.orderInProgress != b.orderInProgress || a.queued != b.queued ||
           apart( a.running, b.running, runningStep ) ||
           apart( a.prefilling, b.prefilling, prefillingStep );
}

} // namespace coursehead::sidecar
