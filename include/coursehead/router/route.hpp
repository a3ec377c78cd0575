// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_ROUTER_ROUTE_HPP_INCLUDED
#define COURSEHEAD_ROUTER_ROUTE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

//! Chooses the agent for a request. Pure functions: the caller passes the candidates and a source
//! of random numbers.
namespace coursehead::router {

//! How far an agent is from the entry.
enum class Distance { sameHall, sameRegion, otherRegion };

//! An agent as known to an entry, with regard to one target (model or adapter).
struct Candidate {
    std::string_view vm;
    Distance distance = Distance::sameHall;
    bool reachable = false; //!< the connection is up
    bool leaving = false;  //!< reported by itself as draining, or listed by the platform as leaving
    bool excluded = false; //!< this request was already sent to it
    bool resident = false; //!< it holds the target, ready to serve
    bool loading = false;  //!< it is loading the target
    bool canLoad = false;  //!< it may send orders and could free enough memory
    std::uint64_t freeBytes = 0;
    std::uint32_t reportedLoad = 0;   //!< running and queued, as last reported
    std::uint32_t ownSinceReport = 0; //!< requests that this entry has sent since that report
    std::uint32_t capacity = 1;       //!< requests that it runs in parallel
};

struct RoutingRules {
    double hallCost = 0.05;       //!< load share added to the score of an agent in another hall
    double regionCost = 0.5;      //!< the same for an agent in another region
    double affinityGain = 0.1;    //!< load share subtracted from the score for a likely prefix hit
    double affinityMaxLoad = 0.6; //!< load share from which the likely holder is not preferred
    double busyLoad = 1.0;  //!< load share from which all warm agents are compared, not just two
    double fullLoad = 1.2;  //!< load share from which a candidate counts as full
    bool twoChoices = true; //!< false: compares all warm agents (for comparison of policies)
    bool affinity = true;
};

//! Returns a random number in [0, bound).
using RandomFunction = std::uint64_t ( * )( void* context, std::uint64_t bound );
struct BoundedRandom {
    RandomFunction randomNumber = nullptr;
    void* context = nullptr;
    std::uint64_t operator()( std::uint64_t bound ) const { return randomNumber( context, bound ); }
};

enum class RouteKind {
    warm,        //!< the chosen agent holds the target
    cold,        //!< the chosen agent has to load it first
    full,        //!< every usable agent that holds the target is full
    unavailable, //!< no agent can serve it now
};

struct Route {
    RouteKind kind = RouteKind::unavailable;
    std::size_t index = 0; //!< of the candidate, for warm and cold
};

/**
 * Prefers agents that hold the target, choosing by the power of two random choices with a score of
 * load, distance and prefix affinity. Without such an agent, chooses one that is already loading
 * the target, then the one with the most free memory, discounted by load and distance. `prefixHash`
 * 0 means no prefix.
 */
Route route( std::span<const Candidate> candidates, std::uint64_t prefixHash,
             const RoutingRules& rules, const BoundedRandom& randomBelow );

//! Load as a share of capacity, including the requests that this entry sent since the last report.
double loadShare( const Candidate& candidate );

//! Rendezvous hash of an entry and an agent. With more agents than its connection limit, an entry
//! keeps connections to the holders of each target that rank first by this hash.
std::uint64_t rendezvous( std::string_view entry, std::string_view agent );

} // namespace coursehead::router

#endif // COURSEHEAD_ROUTER_ROUTE_HPP_INCLUDED
