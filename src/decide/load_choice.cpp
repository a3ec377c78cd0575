// SPDX-License-Identifier: BSL-1.0
#include "decide/load_choice.hpp"

namespace coursehead::decide {

LoadChoice chooseLoadOrHolder( const ServingOption& holder, const ServingOption& load,
                               const FirstEventLimits& limits ) {
    const bool holderInTime = holder.firstEventMs <= limits.goalMs;
    const bool loadInTime = load.firstEventMs <= limits.goalMs;
    if( holderInTime && loadInTime ) {
        return load.cost < holder.cost ? LoadChoice::load : LoadChoice::holder;
    }
    if( holderInTime != loadInTime ) {
        return loadInTime ? LoadChoice::load : LoadChoice::holder;
    }
    const bool holderServes = holder.firstEventMs <= limits.clientMs;
    return holderServes || load.firstEventMs >= holder.firstEventMs ? LoadChoice::holder
                                                                    : LoadChoice::load;
}

} // namespace coursehead::decide
