// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_MODEL_RESTORE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_MODEL_RESTORE_HPP_INCLUDED

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * What an engine that starts anew takes in before anybody asks. The load that it answers: an engine
 * or all of them come back empty while requests go on; loads take about a second each, one at a
 * time, and those that requests call for begin only when the requests have found the engine.
 */
namespace coursehead::decide {

//! A model that an engine held before.
struct PreviousModel {
    std::string model;
    int copies = 1; //!< in the fleet then
};

struct ModelRestore {
    std::vector<PreviousModel> models; //!< those still to be taken in
    bool allEngines = false;           //!< all engines started anew, not this one alone
};

/**
 * The next model to take in; it is removed from `modelRestore`, with all that `isLocal` denies (its
 * weights are not on this VM: the weight store's rate is for requests). Where all engines are empty
 * the busy models go first, those with several copies: the first at each engine by `draw` in [0,
 * 1), so that over the fleet each gets its part. Where one engine is, the models that nobody else
 * holds.
 */
std::optional<std::string> takeNextModel( ModelRestore& modelRestore,
                                          const std::function<bool( std::string_view )>& isLocal,
                                          double draw );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_MODEL_RESTORE_HPP_INCLUDED
