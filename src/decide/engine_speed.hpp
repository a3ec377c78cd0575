// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ENGINE_SPEED_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ENGINE_SPEED_HPP_INCLUDED

#include <cstdint>

namespace coursehead::decide {

//! How fast an engine works, as its sidecar measures it.
struct EngineSpeed {
    //! Time for the same work, relative to the usual time of the models that it runs: 0.8 is faster
    //! than usual, 2 takes twice as long.
    double timeRatio = 1;
    double stepMs = 0;    //!< time between two events of a stream while nothing is read; 0: unknown
    double certainty = 0; //!< 0: not measured; 1: measured often and lately
    std::int64_t ageMs = 0; //!< since the last measurement that counts

    bool operator==( const EngineSpeed& ) const = default;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ENGINE_SPEED_HPP_INCLUDED
