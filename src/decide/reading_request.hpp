// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_READING_REQUEST_HPP_INCLUDED
#define COURSEHEAD_DECIDE_READING_REQUEST_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>

namespace coursehead::decide {

//! A request to have a prompt read by an engine.
struct ReadingRequest {
    std::uint64_t key = 0;         //!< identifies the prompt among all requests
    double workMs = 0;             //!< estimated time that the engine needs to read the prompt
    MonoTime startBy;              //!< a later start would be of no use to the client's request
    int urgency = 5;               //!< 0 (most urgent) to 9
    std::string organisation = {}; //!< empty: it belongs to none
    MonoTime since = {};           //!< when it was first requested at this engine
    bool late = false; //!< its goal is lost: `startBy` is the end of the client's patience
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_READING_REQUEST_HPP_INCLUDED
