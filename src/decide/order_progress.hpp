// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ORDER_PROGRESS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ORDER_PROGRESS_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <optional>
#include <string>

//! How long an engine carries out an order for a model. Designed for many short asks, most of them
//! for adapters, at an engine that takes no other order for seconds.
namespace coursehead::decide {

//! An order for a model that was sent to an engine.
struct ModelOrder {
    std::string model;
    MonoTime sentAt;
    std::optional<Millis> expected; //!< nullopt: unknown, as it waits for running requests
};

//! Time until the order ends; nullopt: unknown. An order that takes longer than expected is taken
//! to last a tenth of its time so far.
std::optional<Millis> orderLeft( const ModelOrder& order, MonoTime now );

//! What an ask for a model or adapter needs beside the end of the order in progress.
struct OrderWait {
    std::optional<Millis> orderLeft; //!< of the order in progress; nullopt: unknown
    Millis ownLoad{ 0 };             //!< load of what was asked for, after that order
    Millis limitLeft{ 0 };           //!< what the ask may still wait
};

//! Time until what was asked for is loaded, if that is known to be longer than the ask may wait; it
//! is then refused at once. Nullopt: the ask waits.
std::optional<Millis> waitBeyondLimit( const OrderWait& wait );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ORDER_PROGRESS_HPP_INCLUDED
