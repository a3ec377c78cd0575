// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_MODEL_SHORTAGE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_MODEL_SHORTAGE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>

//! When a copy of a model is loaded because its holders can't serve requests in time. Designed for
//! bursts of unknown length: a burst that is shorter than the load must not unload other models.
namespace coursehead::decide {

//! Requests for one model that no holder could serve in time, as one gateway saw them.
struct ModelShortage {
    std::optional<MonoTime> since;  //!< first such request of an unbroken series
    MonoTime lastSeen;              //!< latest such request
    std::optional<MonoTime> loadAt; //!< when a load was last started for them
};

//! Notes a request that no holder can serve in time, and returns true if a copy should be loaded
//! now: requests have fallen short for as long as `load` takes, and no load was started within that
//! time.
bool noteShortage( ModelShortage& shortage, Millis load, MonoTime now );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_MODEL_SHORTAGE_HPP_INCLUDED
