// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_PART_SOURCE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_PART_SOURCE_HPP_INCLUDED

#include "gateway/choice/node.hpp"
#include "gateway/model.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

//! Which engine can give parts of a prompt to the engine that was chosen for it. The load pattern
//! that it answers: demand for a model jumps, and every engine that takes a part of it reads the
//! same shared parts first.
namespace coursehead::gateway {

//! An engine that has more of a prompt cached than the chosen one.
struct PartSource {
    std::string address;        //!< IP:PORT
    std::int64_t tokens = 0;    //!< leading tokens of the prompt that it has cached
    Millis readyIn{ 0 };        //!< until it should have read them
    bool otherHall = false;     //!< it is in another hall than the chosen engine
    std::uint64_t affinity = 0; //!< rendezvous hash of both engines
};

//! The chosen engine and the prompt that is to be sent to it.
struct PartQuery {
    const Node& target;
    const Generation& generation;
    std::span<const std::uint64_t> keys; //!< of the prompt's parts, see prefixKeys()
    double msPerToken = 0;               //!< time that engines need to read a token
    MonoTime now;
};

//! The parts that `node` can give to the target; nullopt if it can't give any, or so few that the
//! target reads them as fast. Whether the node may
//! serve the request at all, by region and state, is for the caller to check.
std::optional<PartSource> partSourceAt( const Node& node, const PartQuery& query );

//! True if `a` is the better source.
bool isBetterSource( const PartSource& a, const PartSource& b );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_PART_SOURCE_HPP_INCLUDED
