// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_PART_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_PART_WORLD_HPP_INCLUDED

#include "decide/part_counter.hpp"

#include <cstdint>

//! Simulates, in virtual time, gateways and engines that receive prompts some of which hold a part
//! that crashes engines. Counting ends and choosing the holders that count them are the product's
//! own functions; engines, clients and the network are simulated.
namespace coursehead::replay {

//! Which processes count the ends under a prompt part.
enum class PartPolicy {
    none,
    perGateway, //!< each gateway counts the ends that it sees itself
    shared,     //!< the product's: holders count for all gateways
};

struct PartLoad {
    PartPolicy policy = PartPolicy::shared;
    decide::PartRule rule;
    bool proofs = true; //!< runs that go on show their parts to be sound
    int gateways = 5;
    int engines = 18;
    double perS = 60;         //!< requests
    double poisonShare = 0;   //!< of the requests; they hold a poison part
    int poisonParts = 1;      //!< different ones
    int firstParts = 2;       //!< each request begins with one of them
    int subjects = 100;       //!< second parts of requests without a poison part
    bool poisonFirst = false; //!< the poison part stands first
    //! The first part of all requests becomes poison at this time; 0: never.
    Millis firstPartTurnsAt{ 0 };
    Millis poisonFrom{ 3000 };
    Millis length{ 30000 };
    double unreachableHolderFraction = 0;
    Millis powerLossAt{ 0 };   //!< a third of the engines stop at once; 0: never
    Millis crashInterval{ 0 }; //!< between crashes of an engine without a cause; 0: none
    Millis restartAllAt{ 0 };  //!< all gateways and holders restart with the store's list; 0: never
    std::uint64_t seed = 1;
};

struct PartOutcome {
    int crashes = 0; //!< of engines, by poison parts
    //! Sends of a poison part later than three seconds after its fifth crash; the largest of all.
    int sendsAfterBound = 0;
    int soundRequests = 0;
    int interruptedRuns = 0; //!< of sound requests
    int failedRequests = 0;  //!< sound ones that were not served
    int withheldRequests =
        0; //!< sound ones that were refused because of a quarantine, at least once
    int soundPartsQuarantined = 0;
    //! Sound requests, and those served, later than six seconds after the fifth crash.
    int lateRequests = 0;
    int lateServed = 0;
    int messages = 0;           //!< from gateways to holders
    int partsReported = 0;      //!< in those messages
    int largestCounterSize = 0; //!< parts, in any one holder
};

PartOutcome simulateParts( const PartLoad& load );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_PART_WORLD_HPP_INCLUDED
