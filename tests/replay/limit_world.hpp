// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_LIMIT_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_LIMIT_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace coursehead::replay {

//! How gateways keep an upstream's limit.
enum class LimitWay {
    ignored,
    alone,      //!< each gateway keeps to the whole limit by its own count
    equalParts, //!< each its part, at any moment of a period of its own
    turns,      //!< each its part, in turns; the product's where nobody can be asked
    holder,     //!< the product's: whoever holds the limit is asked
};

enum class LimitTrouble {
    cutOff,     //!< gateways reach no holder
    split,      //!< gateways reach the other half of the holders only
    freeze,     //!< gateways stand still
    killAll,    //!< gateways and holders start anew
    holderKill, //!< holders start anew
    holderFreeze,
};
struct LimitEvent {
    LimitTrouble kind = LimitTrouble::cutOff;
    Millis from{ 0 };
    Millis to{ 0 };
    double part = 0.4; //!< of gateways or holders
};

//! Requests that come to many gateways before upstreams of one service that name a limit.
struct LimitLoad {
    int gateways = 5;
    int holders = 18;
    int upstreams = 3;
    double limitPerS = 1.2; //!< of each upstream
    double askedPerS = 12;  //!< of all upstreams together
    //! Until then next to nothing is asked for, so that no gateway has used its part.
    Millis quietUntil{ 0 };
    Millis namedAt{ 1000 };
    Millis endsAt{ 30000 };
    Millis length{ 40000 };
    Millis recovery{ 2000 }; //!< from the end until everybody is to know of it
    Millis fastest{ 50 };    //!< answers take from this
    Millis slowest{ 900 };
};

struct LimitOutcome {
    int asked = 0; //!< while the limits were in force
    int served = 0;
    int most = 0;       //!< requests to one upstream in one window of four seconds
    int mostBeyond = 0; //!< over what it bears, by how many; below zero: by how many less
    int unaware = 0;    //!< requests of gateways that did not know of the limit
    double taken = 0;   //!< served, of what the limits leave room for, or of what was asked for
    int servedAfter = 0;
    int askedAfter = 0; //!< from two seconds behind the end
};

LimitOutcome playLimits( const LimitLoad& load, const std::vector<LimitEvent>& events, LimitWay way,
                         std::uint64_t seed );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_LIMIT_WORLD_HPP_INCLUDED
