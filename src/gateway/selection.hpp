// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_SELECTION_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_SELECTION_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace coursehead::gateway {

//! Costs that differ by less are equal: estimates are no finer, and equal choices by all gateways
//! keep prefixes and adapters together.
inline constexpr double equalMs = 12;

//! An upstream that a request could go to; times in milliseconds.
struct Candidate {
    bool avoided = false; //!< unreachable lately, or full: only when nothing else is left
    double backlogMs = 0; //!< work queued ahead of the request
    std::int64_t uncachedTokens = 0; //!< of the prompt, to be read
    double workMs = 0;          //!< reading what is not cached of the prompt, or the usual work
    double loadMs = 0;          //!< until model and adapter are there
    double sendDelayMs = 0;     //!< until it should be sent: for the streams there, or a slow start
    double slowness = 1;        //!< factor on backlog and work
    double failures = 0;        //!< recent ones
    std::uint32_t decoding = 0; //!< requests whose events pause while prompts are read there
    double latePauseShare = 0;  //!< part of the recent streams there that paused too long
    bool otherHall = false;
    double crossHallMs = 0; //!< what leaving the hall counts for
    bool otherRegion = false;
    double crossRegionMs = 0;        //!< what leaving the region counts for
    double evacuationPenaltyMs = 0;  //!< what speaks against a hall that is being emptied
    bool seen = true;                //!< its load and what it keeps of prompts are known
    bool holds = true;               //!< the model is there, or none is needed
    double unsharedWorkMs = 0;       //!< reading what is not shared with other prompts
    std::int64_t unsharedTokens = 0; //!< the same in tokens
    std::uint64_t affinity = 0;      //!< rendezvous hash: the highest is preferred among equals
};

/**
 * Fills in what is not known of those that are not seen, which are most of them in a large fleet:
 * they are taken to be as busy as those that are seen, and the preferred one among all that hold
 * the model to keep the prompt's shared parts, since every gateway sends them there.
 */
void estimateUnseenLoads( std::span<Candidate> candidates );
//! What sending there would take, with what speaks against it, in milliseconds.
double costOf( const Candidate& candidate );
//! The candidate of the lowest cost; avoided ones only when all are. Nullopt when there is none.
std::optional<std::size_t> choose( std::span<const Candidate> candidates );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_SELECTION_HPP_INCLUDED
