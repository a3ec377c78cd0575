// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_SPEED_METER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_SPEED_METER_HPP_INCLUDED

#include "decide/engine_speed.hpp"
#include "gateway/model.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace coursehead::decide {

/**
 * Measures an engine's speed from its reports and the prompts that it is sent, for fleets whose
 * engines differ or turn slow for a while. Steps that streams make while prompts are read do not
 * count as reading, so a crowded engine is not taken for a slow one. Prompts that wait in the
 * engine for a place do not count as being read.
 */
class SpeedMeter {
public:
    //! A prompt was sent to the engine; `workMs` is the reading time that its request states.
    void notePrompt( std::uint64_t key, double workMs, MonoTime now );
    //! The prompt is not read to its end: its request was withdrawn.
    void withdraw( std::uint64_t key );
    //! Takes a new report. Time between reports that lie far apart is not counted: the engine or
    //! this process stood still.
    void takeReport( const gateway::EngineReport& report, MonoTime now );
    //! Discards all measurements: the engine has restarted.
    void clear() { *this = {}; }
    //! What was measured.
    EngineSpeed speed( MonoTime now ) const;

private:
    //! Time that passed and the streams' events in it, earlier ones faded.
    struct EventTime {
        double ms = 0;
        double events = 0;

        void add( double passedMs, double newEvents );
        void fade( double factor );
        double perEvent() const;
    };
    struct Reading {
        double ms = 0;       //!< that the engine was reading
        double statedMs = 0; //!< that requests stated for the same prompts

        void add( double passedMs, double workMs );
        void fade( double factor );
    };
    struct SentPrompt {
        std::uint64_t key = 0;
        double workMs = 0;
        MonoTime at;
    };
    struct LastReport {
        MonoTime at;
        bool reading = false;
        bool counts = false; //!< it is known to be later than the last pause
        std::map<std::string, std::int64_t> events;
    };

    void fade( MonoTime now );
    double readingRatio() const;
    void count( const gateway::EngineReport& report, MonoTime now );
    void countRead( std::size_t unread, MonoTime now );

    std::optional<LastReport> m_last;
    EventTime m_plain;     //!< while nothing is read
    EventTime m_longPlain; //!< the same over the period for which reading counts
    EventTime m_reading;   //!< while prompts are read
    double m_stepMs = 0;   //!< last known time between events while nothing is read
    Reading m_read;
    Reading m_recentRead;          //!< the same lately
    double m_unfinishedMs = 0;     //!< that the engine was reading since a prompt was last finished
    std::deque<SentPrompt> m_sent; //!< not known to be read
    MonoTime m_fadedAt;
    MonoTime m_measuredAt;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_SPEED_METER_HPP_INCLUDED
