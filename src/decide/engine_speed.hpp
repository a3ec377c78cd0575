// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ENGINE_SPEED_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ENGINE_SPEED_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <span>

//! Compares engines of a service that differ in speed, or that turn slow for a while, before
//! gateways of which each sends an engine only a few requests a second.
namespace coursehead::decide {

//! How fast an engine works, as its sidecar measures it.
struct EngineSpeed {
    //! Time for reading prompts, relative to the time that the requests state, which is the usual
    //! one of their models. See timeFactor() for the comparison with other engines.
    double timeRatio = 1;
    double stepMs = 0;    //!< time between two events of a stream while nothing is read; 0: unknown
    double certainty = 0; //!< of timeRatio. 0: not measured; 1: measured often and lately
    std::int64_t ageMs = 0;   //!< since the last measurement that counts
    double readingStepMs = 0; //!< as stepMs, while prompts are read all the time; 0: unknown

    bool operator==( const EngineSpeed& ) const = default;
};

//! The certainty of a speed that was reported `since` ago: it fades while nothing is measured.
double certaintyNow( const EngineSpeed& speed, Millis since );

//! The usual time ratio of a service's engines: the median of those measured with certainty; 1 if
//! there are none. `speeds` are as of now, see certaintyNow().
double usualTimeRatio( std::span<const EngineSpeed> speeds );

//! Factor on the usual time for reading at an engine: its measured ratio over the usual one, nearer
//! to 1 the less certain it is. Small differences count as none.
double timeFactor( const EngineSpeed& speed, double usualRatio, double certainty );

/**
 * Share of an engine's streams that are expected to pause for longer than the gap target, 0 to 1,
 * when one more prompt is read there. Prompt reading takes a part of the gap target at most, see
 * ReadingQueue. 0 if the time between events is unknown or there is no target.
 */
double expectedLateShare( const EngineSpeed& speed, Millis gapTarget );

//! Tells when an engine is found slow, and usual again. Values that last only for moments are not
//! told, so that a log is not filled with them.
class SlowState {
public:
    //! Takes the engine's time factor; true if the engine is now found slow, or no longer.
    bool note( double factor, MonoTime now );
    bool slow() const noexcept { return m_slow; }

private:
    bool m_slow = false;
    bool m_differs = false; //!< the last factor spoke against m_slow
    MonoTime m_differsSince;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ENGINE_SPEED_HPP_INCLUDED
