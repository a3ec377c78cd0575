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
 * How long an engine's streams pause between events, without prompts and with a piece of one in
 * every step, as its own reports show. Where events come in time although every step carries a
 * piece, prompts need not wait for the streams' sake. Answers the load of engines that differ: how
 * many tokens an event holds and how much a prompt lengthens a step stands in no configuration.
 */
class EventPace {
public:
    //! What a report says of the engine's runs; `reading`: it has prompts that it has not read
    //! whole.
    void update( std::span<const gateway::EngineRun> runs, bool reading, MonoTime now );
    //! Pause between events while prompts are read all the time; nullopt until it was seen.
    std::optional<Millis> pauseWhileReading() const;

private:
    struct Run {
        std::int64_t events = 0;
        MonoTime since;  //!< when this many were first seen
        int reports = 0; //!< since then
        int reading = 0; //!< of those, with prompts being read
    };
    void note( const Run& run, std::int64_t events, MonoTime now );

    std::map<std::string, Run> m_runs;
    std::optional<double> m_calmMs; //!< pause between events without reading
    std::optional<double> m_addMs;  //!< what reading all the time adds to it
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_EVENT_PACE_HPP_INCLUDED
