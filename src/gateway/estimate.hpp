// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_ESTIMATE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_ESTIMATE_HPP_INCLUDED

#include "gateway/node.hpp"
#include "gateway/pace.hpp"
#include "gateway/selection.hpp"

#include "decide/allowed_regions.hpp"
#include <span>

#include <string>
#include <string_view>

namespace coursehead::gateway {

//! What a request needs of an upstream.
struct RequestNeeds {
    std::string service;
    const Generation* generation = nullptr;  //!< null for plain services
    std::span<const std::uint64_t> prefix;   //!< keys of the prompt's parts
    decide::AllowedRegions allowedRegions{}; //!< regions in which it may be served
    Millis goal{ 0 };
    std::size_t requestBytes = 0;
};

//! Where a gateway stands, as seen from an upstream.
struct Distance {
    bool otherHall = false;
    bool otherRegion = false;
};

//! What sending a request to a node would take, from that far.
Candidate estimate( const Node& node, const RequestNeeds& need, const ModelPace& pace,
                    Distance distance, MonoTime now );

//! True when no upstream that had to load a model first could be better than `candidate` at `node`.
bool beatsAnyLoad( const Candidate& candidate, const Node& node, std::string_view model );

//! True when a load of the model there needs nothing from the weight store.
bool hasWeights( const Node& node, const std::string& model );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_ESTIMATE_HPP_INCLUDED
