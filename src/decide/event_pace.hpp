// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_EVENT_PACE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_EVENT_PACE_HPP_INCLUDED

#include "gateway/model.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace coursehead::decide {

/**
 * Pause between events of an engine's streams, without prompt reading and with a prompt piece in
 * every step, estimated from the engine's reports. If events are in time although every step reads
 * a prompt piece, prompts need not wait to protect the streams. The pause has to be measured since
 * engines differ: no configuration says how many tokens an event holds or how much a prompt
 * lengthens a step.
 */
class EventPace {
public:
    //! Takes the runs from an engine's report; `reading`: the engine has prompts that it has not
    //! read completely.
    void update( std::span<const gateway::EngineRun> runs, bool reading, MonoTime now );
    //! Pause between events while prompts are read continuously; nullopt until it was measured.
    std::optional<Millis> pauseWhileReading() const;

private:
    struct Run {
        std::int64_t events = 0;
        MonoTime since;  //!< when this number of events was first reported
        int reports = 0; //!< reports since then
        int reading = 0; //!< of those reports, with prompts being read
    };
    void notePause( const Run& run, std::int64_t events, MonoTime now );

    std::map<std::string, Run> m_runs;
    std::optional<double> m_pauseWithoutReadingMs; //!< pause between events without reading
    std::optional<double> m_addedPauseMs;          //!< what continuous reading adds to that pause
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_EVENT_PACE_HPP_INCLUDED
