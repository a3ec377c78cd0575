// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_SELECTION_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_SELECTION_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace coursehead::gateway {

//! Costs that differ by less count as equal: estimates are no more precise than this, and when all
//! gateways break the tie the same way, equal prefixes and adapters stay on the same upstream.
inline constexpr double equalCostMs = 12;

//! An upstream that may be chosen for a request, with the terms of its cost. Times are in
//! milliseconds.
struct Candidate {
    bool avoided = false; //!< recently unreachable: chosen only if all others are avoided too
    double backlogMs = 0; //!< time at the upstream for work queued ahead of the request
    std::int64_t uncachedTokens = 0; //!< prompt tokens that the engine has not cached
    double workMs = 0;               //!< reading the uncached prompt tokens; typical work if plain
    double loadMs = 0;               //!< until the model and the adapter are loaded
    double sendDelayMs = 0;          //!< delay before sending, for running streams or a slow start
    double timeFactor = 1;           //!< factor on workMs: the upstream's measured speed
    double slowness = 1;             //!< factor on all of that, by this gateway's own requests
    double failures = 0;             //!< recent failures, each decaying with time
    std::uint32_t decoding = 0;      //!< running streams that pause while the engine reads prompts
    double latePauseShare = 0;       //!< share of recent streams with a pause above the gap target
    bool otherHall = false;
    double crossHallMs = 0; //!< penalty for an upstream in another hall
    bool otherRegion = false;
    double crossRegionMs = 0;        //!< penalty for an upstream in another region
    double evacuationPenaltyMs = 0;  //!< penalty for a hall that is being evacuated
    bool seen = true;                //!< a fresh report tells its load and cached prefixes
    bool holds = true;               //!< the model is loaded, or the request needs none
    double unsharedWorkMs = 0;       //!< reading the tokens not shared with other prompts
    std::int64_t unsharedTokens = 0; //!< tokens not shared with other prompts
    std::uint64_t affinity = 0;      //!< rendezvous hash; the highest wins among equal costs
};

/**
 * Estimates the load of candidates without a fresh report, which are most of them in a large fleet.
 * Their backlog is taken to be the mean backlog of the reported candidates. The candidate with the
 * highest affinity among those that hold the model is taken to have the prompt's shared parts
 * cached, because every gateway sends them there.
 */
void estimateUnseenLoads( std::span<Candidate> candidates );
//! Expected time to the first event at the candidate, in milliseconds.
double firstEventMs( const Candidate& candidate );
//! Expected time to serve the request at the candidate plus all penalties, in milliseconds.
double costOf( const Candidate& candidate );
//! Index of the candidate with the lowest cost; an avoided one only if all are avoided. Nullopt if
//! there are no candidates.
std::optional<std::size_t> choose( std::span<const Candidate> candidates );
/**
 * Index of the candidate that takes the place of `best` where upstreams differ in speed: drawn
 * among those that cost little more and have as much of the prompt cached, with weights by their
 * speed. All gateways hear the same figures at the same time; without it all send to the same fast
 * engine until the next report. `random` is in [0, 1). Where no speed differs, it is `best`.
 */
std::size_t spread( std::span<const Candidate> candidates, std::size_t best, double random );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_SELECTION_HPP_INCLUDED
