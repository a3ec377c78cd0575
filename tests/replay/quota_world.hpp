// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_REPLAY_QUOTA_WORLD_HPP_INCLUDED
#define COURSEHEAD_REPLAY_QUOTA_WORLD_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "decide/gateway_quotas.hpp"
#include "decide/quota_holder.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace coursehead::replay {

//! How gateways keep a limit together.
enum class QuotaWay {
    equalParts, //!< each gateway has its part of the limit, and asks nobody
    holder,     //!< the product's: a holder grants what gateways ask for
};

//! One organisation's requests, and the fleet that they come to.
struct QuotaLoad {
    int gateways = 21;
    int holders = 39;
    double perS = 29000; //!< limit, in tokens
    double times = 0.55; //!< what is asked for, over the limit
    double hotTimes = 0; //!< the same while hot; 0: never hot
    Millis hotFrom{ 0 };
    Millis hotTo{ 0 };
    double skew = 1; //!< the gateway with most requests has this many times the mean
    Millis length{ 20000 };
    //! Gateways that start reach their holders one after the other, in an order of their own,
    //! within this time.
    Millis connectOver{ 0 };
    bool large = true; //!< reviews of 9,190 tokens beside chats; else chats alone
};

enum class QuotaTrouble {
    cutOff,     //!< gateways reach no holder
    split,      //!< gateways reach the other half of the holders only
    freeze,     //!< gateways stand still
    killAll,    //!< all processes start anew
    holderKill, //!< holders start anew
    holderFreeze,
};
struct QuotaEvent {
    QuotaTrouble kind = QuotaTrouble::cutOff;
    Millis from{ 0 };
    Millis to{ 0 };
    double part = 0.4; //!< of gateways or holders
};

struct QuotaOutcome {
    double asked = 0;       //!< tokens
    double served = 0;      //!< tokens
    double allowed = 0;     //!< tokens that one bucket for all gateways would have let through
    double worstWindow = 0; //!< tokens in the worst window of the rule
    double messages = 0;    //!< questions to holders
    double waitedMs = 0;    //!< in the mean, of what was served
    int unknown = 0;        //!< requests refused since nobody could be asked
    //! After everything was killed: until nine tenths of what is asked for are served, in steps of
    //! 100 ms.
    Millis back{ 0 };
};

//! What the rule allows in its window.
double quotaBound( const QuotaLoad& load, const decide::QuotaRule& rule );

//! Plays a load and its troubles in virtual time.
QuotaOutcome playQuota( const QuotaLoad& load, const std::vector<QuotaEvent>& events, QuotaWay way,
                        const decide::QuotaRule& rule, std::uint64_t seed );

} // namespace coursehead::replay

#endif // COURSEHEAD_REPLAY_QUOTA_WORLD_HPP_INCLUDED
