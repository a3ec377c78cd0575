// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_PROMPT_REFUSAL_HPP_INCLUDED
#define COURSEHEAD_DECIDE_PROMPT_REFUSAL_HPP_INCLUDED

#include <string_view>

namespace coursehead::decide {

//! Why an engine's sidecar does not admit a prompt. The values are sent between processes, so new
//! ones are added at the end.
enum class PromptRefusal {
    none,      //!< admitted, or refused by a sidecar that states no cause
    reading,   //!< the engine can't start to read it in time
    places,    //!< all places for requests that run at the same time stay taken
    memory,    //!< the cache has no room for it beside the running requests
    share,     //!< its organisation has used its share while others wait
    displaced, //!< it was queued, and a more urgent prompt has taken its place
    cold,      //!< the engine is cold and takes few requests
};

//! Name of the cause in logs and metrics.
constexpr std::string_view nameOf( PromptRefusal refusal ) {
    switch( refusal ) {
    case PromptRefusal::none:
        return "none";
    case PromptRefusal::reading:
        return "reading";
    case PromptRefusal::places:
        return "places";
    case PromptRefusal::memory:
        return "memory";
    case PromptRefusal::share:
        return "share";
    case PromptRefusal::displaced:
        return "displaced";
    case PromptRefusal::cold:
        return "cold";
    }
    return "unknown";
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_PROMPT_REFUSAL_HPP_INCLUDED
