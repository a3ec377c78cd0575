// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_PART_FETCH_HPP_INCLUDED
#define COURSEHEAD_DECIDE_PART_FETCH_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string_view>

//! Whether an engine reads the shared parts of a prompt or fetches them from another engine. The
//! load pattern that it answers: many prompts begin with the same long parts, and demand moves
//! faster between engines than their caches fill, so that engines spend a quarter of their reading
//! time on parts that another engine has cached.
namespace coursehead::decide {

//! The links over which engines copy cached prompt parts to each other.
struct PartLink {
    double tokenBytes = 0; //!< size of a cached token; 0: nothing can be copied
    double linkMbps = 0;   //!< of each engine, in megabits a second; 0: nothing can be copied

    bool usable() const { return tokenBytes > 0 && linkMbps > 0; }
    bool operator==( const PartLink& ) const = default;
};

//! A prompt whose parts another engine has cached.
struct FetchOption {
    std::int64_t tokens = 0;     //!< cached there and not here
    double msPerToken = 0;       //!< reading time here, at this engine's speed
    Millis queuedTransfers{ 0 }; //!< until transfers that are already queued here have ended
    bool otherHall = false;      //!< the transfer takes twice as long
    bool recentFailure = false;  //!< a transfer between the two engines failed lately
    Millis readyIn{ 0 };         //!< until the other engine has read the parts
    Millis startIn{ 0 };         //!< until the prompt would be sent to this engine
};

//! What is done about a prompt's parts that another engine has, and why. The values are labels of
//! a counter.
enum class FetchDecision {
    fetch,
    noLink,    //!< engines can't copy parts, or it is turned off
    noTokens,  //!< this engine has as much of the prompt
    failed,    //!< a transfer from that engine failed lately
    notReady,  //!< the other engine is still reading the parts when the prompt is sent
    noSavings, //!< the transfer is not clearly faster than reading
};

//! Name of the decision in logs and metrics.
constexpr std::string_view nameOf( FetchDecision decision ) {
    switch( decision ) {
    case FetchDecision::fetch:
        return "fetch";
    case FetchDecision::noLink:
        return "no_link";
    case FetchDecision::noTokens:
        return "no_tokens";
    case FetchDecision::failed:
        return "failed_before";
    case FetchDecision::notReady:
        return "not_ready";
    case FetchDecision::noSavings:
        return "no_savings";
    }
    return "unknown";
}

//! A transfer that saves less is not worth a failure: prompts are sent 15 ms before the engine is
//! free, so that a slightly shorter reading time would not be noticed.
inline constexpr double minFetchSavingMs = 20;

//! Time to copy this number of tokens over the link, with its set-up and without the transfers that
//! are queued. The link must be usable.
Millis transferTime( const PartLink& link, const FetchOption& option );

//! Decides between fetching the parts and reading them here.
FetchDecision decideFetch( const PartLink& link, const FetchOption& option );

//! True if copying the parts is clearly faster than reading them here.
inline bool shouldFetch( const PartLink& link, const FetchOption& option ) {
    return decideFetch( link, option ) == FetchDecision::fetch;
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_PART_FETCH_HPP_INCLUDED
