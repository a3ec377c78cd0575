// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_YIELD_RULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_YIELD_RULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/reading_request.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

/**
 * The order of the prompts that wait for one engine, and which of them gives way to another. It is
 * designed for an engine that is asked to read more than it can within the prompts' goals, by
 * routes of different urgency, or by organisations of which one sends many times its usual.
 */
namespace coursehead::decide {

//! What each organisation with waiting prompts has been served and has waiting, in milliseconds of
//! reading.
using ReadingAccounts = std::map<std::string, double, std::less<>>;

//! All have the same urgency, and none belongs to an organisation: they are read in the order of
//! their latest start, and none gives way.
bool haveOneRank( std::span<const ReadingRequest> prompts );

//! At least half of the time that the prompt could wait has passed. It is not displaced any more,
//! since little time would be left to have it read elsewhere.
bool isAged( const ReadingRequest& prompt, MonoTime now );

//! Sorts prompts of different ranks: first those that can be in time and those that are aged, by
//! the latest end of their reading; behind them those that have lost their goal, by urgency and
//! age.
void sortByRank( std::vector<ReadingRequest>& prompts, MonoTime now );

//! Whether `waiting` has to give way if `asking` can be in time only without it.
bool givesWay( const ReadingRequest& waiting, const ReadingRequest& asking,
               const ReadingAccounts& accounts, MonoTime now );

//! Sorts prompts that have to give way: the one that gives way first comes first.
void sortByYield( std::vector<ReadingRequest>& prompts, const ReadingAccounts& accounts );

//! Whether another organisation has prompts waiting and a smaller account, so that this prompt is
//! refused for its organisation's share.
bool isOverShare( const ReadingRequest& asking, const ReadingAccounts& accounts );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_YIELD_RULE_HPP_INCLUDED
