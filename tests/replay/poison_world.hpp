// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_POISON_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_POISON_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

//! Simulates, in virtual time, gateways and engines that receive poison requests. Counting crashes
//! and choosing the holders that count them are the product's own functions; engines, clients and
//! the network are simulated.
namespace coursehead::replay {

//! Which processes count the crashes under a content.
enum class CountingPolicy {
    none,
    perGateway, //!< each gateway counts the crashes that it sees itself
    shared,     //!< the product's: holders count for all gateways
};

struct PoisonLoad {
    CountingPolicy policy = CountingPolicy::shared;
    int gateways = 5;
    int engines = 18;
    double innocentPerS = 60;
    double crashThreshold = 3;     //!< crashes until a quarantine
    double longRunWeight = 0.5;    //!< weight of a crash for a run that had long produced events
    Millis poisonInterval{ 1300 }; //!< between sends of a poison content; 0: no poison
    int poisonContents = 2;
    Millis length{ 40000 };
    double unreachableHolderFraction = 0; //!< of the holders, for all gateways
    Millis powerLossAt{ 0 };              //!< a third of the engines stop at once; 0: never
    //! All gateways and holders restart, the gateways with the stored quarantines; 0: never.
    Millis restartAllAt{ 0 };
    bool storePersists = true; //!< the store keeps quarantines over a restart
    std::uint64_t seed = 1;
};

struct PoisonOutcome {
    int crashes = 0; //!< of engines, by poison requests
    //! Sends of a poison content later than three seconds after its third crash; the largest of all
    //! contents.
    int sendsAfterBound = 0;
    int innocentRequests = 0;
    int interruptedRuns = 0;      //!< of innocent requests
    int failedRequests = 0;       //!< innocent requests that were not served
    int innocentsQuarantined = 0; //!< contents
    int messages = 0;             //!< from gateways to holders
    int largestCounterSize = 0;   //!< contents, in any one holder
};

PoisonOutcome simulatePoison( const PoisonLoad& load );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_POISON_WORLD_HPP_INCLUDED
