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
 * Which part of an engine's streams pause too long between events, as its own reports show. An
 * engine may take prompts in well and still be too slow for the streams that run beside them.
 */
class PauseMeter {
public:
    //! What a report says of the engine's runs.
    void update( std::span<const gateway::EngineRun> runs, Millis longestPause, MonoTime now );
    //! Part of the recent streams that had a longer pause, 0 to 1; fades while nothing runs.
    double lateShare( MonoTime now ) const;

private:
    struct Run {
        std::int64_t events = 0;
        MonoTime since; //!< when this many were first seen
        bool late = false;
    };
    //! Streams, each fading with a half-life.
    struct Counts {
        double all = 0;
        double late = 0;
        MonoTime at;
    };
    void fade( MonoTime now );
    void count( bool late );

    std::map<std::string, Run> m_runs;
    Counts m_counts;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PAUSE_METER_HPP_INCLUDED
