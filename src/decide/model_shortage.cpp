// SPDX-License-Identifier: BSL-1.0
#include "decide/model_shortage.hpp"

namespace coursehead::decide {

namespace {

//! A series ends after this time without such a request. One gateway of many sees only a few
//! requests a second for a model.
constexpr Millis seriesGap{ 1000 };

} // namespace

bool noteShortage( ModelShortage& shortage, Millis load, MonoTime now ) {
    if( !shortage.since || now - shortage.lastSeen > seriesGap ) {
        shortage.since = now;
    }
    shortage.lastSeen = now;
    const bool loadedLately = shortage.loadAt && now - *shortage.loadAt < load;
    if( loadedLately || now - *shortage.since < load ) {
        return false;
    }
    shortage.loadAt = now;
    return true;
}

} // namespace coursehead::decide
