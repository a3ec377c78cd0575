// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ROUTER_ROUTE_HPP_INCLUDED
#define COURSEHEAD_ROUTER_ROUTE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

//! Chooses the agent for a request. Pure: the caller passes the view and the random numbers.
namespace coursehead::router {

//! How far an agent is from the entry.
enum class Distance { sameHall, sameRegion, otherRegion };

//! An agent as an entry sees it for one target.
struct Candidate {
    std::string_view vm;
    Distance distance = Distance::sameHall;
    bool reachable = false; //!< the connection is up
    bool leaving = false;   //!< draining by its own word, or leaving by the platform's list
    bool excluded = false;  //!< this request has been there
    bool resident = false;  //!< it has the target ready
    bool loading = false;   //!< it is loading the target
    bool canLoad = false;   //!< it gives orders and could make room
    std::uint64_t freeBytes = 0;
    std::uint32_t reportedLoad = 0;   //!< running and queued, as last reported
    std::uint32_t ownSinceReport = 0; //!< requests that this entry has sent since that report
    std::uint32_t capacity = 1;       //!< requests it runs at once
};

struct RoutingRules {
    double hallCost = 0.05;    //!< load share that another hall is worth avoiding for
    double regionCost = 0.5;   //!< the same for another region
    double affinityGain = 0.1; //!< load share that a likely prefix hit is worth
    double affinityUpTo = 0.6; //!< load share past which a likely hit is worth nothing
    double busyAt = 1.0;       //!< load share at which all warm agents are compared, not just two
    double fullAt = 1.2;       //!< load share at which a candidate counts as full
    bool twoChoices = true;    //!< false: least loaded of all (for comparison)
    bool affinity = true;
};

//! A random number in [0, bound).
using Draw = std::uint64_t ( * )( void* context, std::uint64_t bound );
struct Dice {
    Draw draw = nullptr;
    void* context = nullptr;
    std::uint64_t operator()( std::uint64_t bound ) const { return draw( context, bound ); }
};

enum class RouteKind {
    warm,    //!< the chosen agent has the target
    cold,    //!< the chosen agent has to load it first
    full,    //!< every agent that could serve is full
    nowhere, //!< no agent can serve it now
};

struct Route {
    RouteKind kind = RouteKind::nowhere;
    std::size_t index = 0; //!< of the candidate, for warm and cold
};

/**
 * Warm agents first, by two random choices over load, distance and prefix affinity; without one,
 * an agent that is loading the target already, then the one with the most free memory.
 * `prefixHash` 0 means no prefix.
 */
Route route( std::span<const Candidate> candidates, std::uint64_t prefixHash,
             const RoutingRules& rules, const Dice& dice );

//! Load as a share of capacity, counting what this entry sent since the report.
double loadShare( const Candidate& candidate );

//! The agents an entry keeps connections to, when there are more than `limit`: for each target
//! the holders that come first by rendezvous hashing with the entry's name.
std::uint64_t rendezvous( std::string_view entry, std::string_view agent );

} // namespace coursehead::router

#endif // COURSEHEAD_ROUTER_ROUTE_HPP_INCLUDED
