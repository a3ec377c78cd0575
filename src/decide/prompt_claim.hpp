// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_PROMPT_CLAIM_HPP_INCLUDED
#define COURSEHEAD_DECIDE_PROMPT_CLAIM_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>

namespace coursehead::decide {

//! What a prompt that waits for an engine asks for, and for whom. The decisions about order, room
//! and shares at an engine read it.
struct PromptClaim {
    std::uint64_t key = 0;           //!< identifies the prompt among all requests
    std::string organisation;        //!< empty: it belongs to none
    int urgency = 5;                 //!< 0 (most urgent) to 9
    double workMs = 0;               //!< time to read the tokens that are not cached
    std::int64_t uncachedTokens = 0; //!< tokens that the engine has to read
    std::int64_t promptTokens = 0;   //!< tokens of the whole prompt
    std::int64_t maxTokens = 0;      //!< tokens that the answer may have
    MonoTime since;                  //!< when it was first requested at this engine
    MonoTime goalBy;                 //!< latest start for an answer in time
    MonoTime startBy;                //!< a later start would be of no use to the client's request
    bool returning = false;          //!< the client came back at the time that it was told
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_PROMPT_CLAIM_HPP_INCLUDED
