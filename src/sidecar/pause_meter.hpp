// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PAUSE_METER_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PAUSE_METER_HPP_INCLUDED

#include "gateway/model.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace coursehead::sidecar {

/**
 * Measures from an engine's reports which share of its streams pause too long between events. An
 * engine may read prompts in time and still be too slow for the streams that run beside them.
 */
class PauseMeter {
public:
    //! Takes the runs from a new report. A stream is late after a pause longer than `longestPause`.
    void update( std::span<const gateway::EngineRun> runs, Millis longestPause, MonoTime now );
    //! Share of the recent streams that were late, 0 to 1. Decays while no stream runs.
    double lateShare( MonoTime now ) const;

private:
    struct Run {
        std::int64_t events = 0;
        MonoTime since; //!< when `events` was first reported
        bool late = false;
    };
    //! Numbers of streams; past streams count with exponential decay.
    struct Counts {
        double all = 0;
        double late = 0;
        MonoTime at;
    };
    void decay( MonoTime now );
    void count( bool late );

    std::map<std::string, Run> m_runs;
    Counts m_counts;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PAUSE_METER_HPP_INCLUDED
