// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_RECALL_HPP_INCLUDED
#define COURSEHEAD_DECIDE_RECALL_HPP_INCLUDED

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
struct FormerModel {
    std::string model;
    int copies = 1; //!< in the fleet at that time
};

struct Recall {
    std::vector<FormerModel> models; //!< models still to be loaded
    bool everywhere = false;         //!< all engines have restarted, not only this one
};

/**
 * Removes the next model to load from `recall` and returns it. Models for which `isNear` is false
 * are removed as well: their weights are not on this VM, and the weight store's rate is kept for
 * requests. If all engines are empty, busy models (those with several copies) are loaded first; the
 * random number `draw` in [0, 1) chooses among them, so that each gets its share over the fleet. If
 * only this engine is empty, models that no other engine holds are loaded first.
 */
std::optional<std::string>
takeNext( Recall& recall, const std::function<bool( std::string_view )>& isNear, double draw );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_RECALL_HPP_INCLUDED
