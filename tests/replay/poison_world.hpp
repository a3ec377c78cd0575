// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_POISON_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_POISON_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>

//! Gateways before engines under poison requests, in virtual time. What counts ends and chooses who
//! counts are the product's own functions; engines, clients and the way between are simulated.
namespace coursehead::replay {

enum class PoisonWay {
    none,   //!< nobody counts
    alone,  //!< each gateway counts what it sees itself
    shared, //!< the product's: holders count for all
};

struct PoisonLoad {
    PoisonWay way = PoisonWay::shared;
    int gateways = 5;
    int engines = 18;
    double perS = 60;           //!< innocent requests a second
    double enough = 3;          //!< ends until a quarantine
    double proven = 0.5;        //!< weight of a run that had long made events
    Millis poisonEvery{ 1300 }; //!< between a poison request's tries; 0: there is none
    int poisons = 2;
    Millis length{ 40000 };
    double cutHolders = 0;    //!< part of the holders that gateways do not reach
    Millis powerLossAt{ 0 };  //!< a third of the engines end at once; 0: none do
    Millis restartAllAt{ 0 }; //!< all processes start anew, and have the store's list; 0: never
    bool storeKeeps = true;   //!< quarantines outlast the processes
    std::uint64_t seed = 1;
};

struct PoisonOutcome {
    int ended = 0;       //!< engines, under poison
    int afterBound = 0;  //!< sends of poison three seconds after its third end, the most of any
    int innocents = 0;   //!< requests
    int broken = 0;      //!< runs of innocent requests
    int lost = 0;        //!< innocent requests that were not served
    int quarantined = 0; //!< innocent contents
    int messages = 0;    //!< from gateways to holders
    int largestBook = 0; //!< contents that a holder counts
};

PoisonOutcome playPoison( const PoisonLoad& load );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_POISON_WORLD_HPP_INCLUDED
