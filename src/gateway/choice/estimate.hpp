// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_ESTIMATE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_ESTIMATE_HPP_INCLUDED

#include "decide/allowed_regions.hpp"
#include "decide/load_choice.hpp"
#include "gateway/choice/node.hpp"
#include "gateway/choice/pace.hpp"
#include "gateway/choice/selection.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! The requirements of a request that decide which upstreams can serve it and at what cost.
struct RequestNeeds {
    std::string service;
    const Generation* generation = nullptr;  //!< null for services that are not engines
    std::span<const std::uint64_t> prefix;   //!< keys of the prompt's parts, see prefixKeys()
    decide::AllowedRegions allowedRegions{}; //!< regions in which the request may be served
    Millis goal{ 0 };
    std::size_t requestBytes = 0;
    //! From now on; nullopt: loads and holders are compared by cost alone.
    std::optional<decide::FirstEventLimits> firstEvent{};
    //! Software version of the upstreams that may serve it; nullopt: any.
    std::optional<std::string> softwareVersion{};
};

//! Whether an upstream is in another hall or region than the gateway.
struct Distance {
    bool otherHall = false;
    bool otherRegion = false;
};

//! Estimates the terms of the cost of sending a request to `node` at this distance.
Candidate estimate( const Node& node, const RequestNeeds& need, const ModelPace& pace,
                    Distance distance, MonoTime now );

//! True if `candidate` at `node` costs less than any upstream that would first have to load
//! `model`.
bool cheaperThanAnyLoad( const Candidate& candidate, const Node& node, std::string_view model );

//! True if the upstream has the model's weights in memory or on disk, so that a load needs nothing
//! from the weight store.
bool hasLocalWeights( const Node& node, const std::string& model );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_ESTIMATE_HPP_INCLUDED
