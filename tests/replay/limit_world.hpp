// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_LIMIT_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_LIMIT_WORLD_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace coursehead::replay {

//! How gateways enforce an upstream's limit.
enum class LimitPolicy {
    ignored,
    independent, //!< each gateway counts its own sends against the whole limit
    equalParts,  //!< each gateway sends its part, once in each of its own periods
    scheduled,   //!< each sends its part by a schedule; the product's fallback without a holder
    holder,      //!< the product's: gateways ask the limit's holder
};

enum class LimitFault {
    cutOff,     //!< gateways reach no holder
    split,      //!< gateways reach the other half of the holders only
    freeze,     //!< gateways are suspended
    killAll,    //!< gateways and holders restart
    holderKill, //!< holders restart
    holderFreeze,
};
struct LimitEvent {
    LimitFault kind = LimitFault::cutOff;
    Millis from{ 0 };
    Millis to{ 0 };
    double fraction = 0.4; //!< of gateways or holders
};

//! Requests to gateways of one service, whose upstreams announce a limit.
struct LimitLoad {
    int gateways = 5;
    int holders = 18;
    int upstreams = 3;
    double limitPerS = 1.2;   //!< of each upstream
    double requestsPerS = 12; //!< of all upstreams together
    //! Until then hardly any requests arrive, so that no gateway has used its part of the limit.
    Millis quietUntil{ 0 };
    Millis limitStartsAt{ 1000 };
    Millis limitEndsAt{ 30000 };
    Millis length{ 40000 };
    Millis recoveryTime{ 2000 }; //!< after the end; then every gateway has to know of it
    Millis fastestAnswer{ 50 };
    Millis slowestAnswer{ 900 };
};

struct LimitOutcome {
    int requests = 0; //!< arrived while the limits were in force
    int served = 0;
    int maxInWindow = 0;     //!< requests to one upstream in one window of four seconds
    int excess = 0;          //!< of `maxInWindow` over what the upstream bears; negative: below it
    int unawareRequests = 0; //!< sent by gateways that did not know the limit
    double utilisation = 0;  //!< served, over the smaller of the limits' capacity and `requests`
    int servedAfterEnd = 0;
    int requestsAfterEnd = 0; //!< arrived after the end and the recovery time
};

LimitOutcome simulateLimits( const LimitLoad& load, const std::vector<LimitEvent>& events,
                             LimitPolicy policy, std::uint64_t seed );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_LIMIT_WORLD_HPP_INCLUDED
