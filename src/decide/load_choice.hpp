// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LOAD_CHOICE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LOAD_CHOICE_HPP_INCLUDED

#include <optional>

//! Whether a request waits at an engine that holds its model or for a load elsewhere. Designed for
//! bursts for a model whose holders are all busy, when a load takes longer than the goal.
namespace coursehead::decide {

//! An engine that may serve a request, by estimate. Times are in milliseconds from now.
struct ServingOption {
    double firstEventMs = 0;
    double cost = 0; //!< what the choice among engines compares
};

//! How long a request's first event is awaited, in milliseconds from now.
struct FirstEventLimits {
    double goalMs = 0;   //!< for an answer in time
    double clientMs = 0; //!< until the client leaves
};

enum class LoadChoice {
    holder, //!< an engine that holds the model
    load,   //!< an engine that loads it for this request
};

/**
 * The better of an engine that holds the model and one that would have to load it. A load that ends
 * after the goal evicts another model and leaves the request late, behind all others that waited
 * for it: such a request waits at the holder instead, while that can serve it before the client
 * leaves.
 */
LoadChoice chooseLoadOrHolder( const ServingOption& holder, const ServingOption& load,
                               const FirstEventLimits& limits );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LOAD_CHOICE_HPP_INCLUDED
