// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_MODEL_RESTORE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_MODEL_RESTORE_HPP_INCLUDED

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Models that a restarted engine loads before requests ask for them. It is designed for one engine,
 * or all engines, restarting without models while requests continue. Loads take about a second
 * each, one at a time, and a load on request starts only when the request has reached the engine.
 */
namespace coursehead::decide {

//! A model that an engine held before its restart.
struct PreviousModel {
    std::string model;
    int copies = 1; //!< in the fleet at that time
};

struct ModelRestore {
    std::vector<PreviousModel> models; //!< models still to be loaded
    bool allEngines = false;           //!< all engines have restarted, not only this one
};

/**
 * Removes the next model to load from `modelRestore` and returns it. Models for which `isLocal` is
 * false are removed as well: their weights are not on this VM, and the weight store's rate is kept
 * for requests. If all engines are empty, busy models (those with several copies) are loaded first;
 * the random number `randomUnit` in [0, 1) chooses among them, so that each gets its share over the
 * fleet. If only this engine is empty, models that no other engine holds are loaded first.
 */
std::optional<std::string> takeNextModel( ModelRestore& modelRestore,
                                          const std::function<bool( std::string_view )>& isLocal,
                                          double randomUnit );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_MODEL_RESTORE_HPP_INCLUDED
