// SPDX-License-Identifier: BSL-1.0
#include "decide/evacuation.hpp"

#include <algorithm>

namespace coursehead::decide {

Millis evacuationGrace( const EvacuationRule& rule ) {
    constexpr int graceDivisor = 2;
    return std::min( rule.bound, rule.contact ) / graceDivisor;
}

bool Evacuations::begin( const std::string& hall, bool justOrdered, const EvacuationRule& rule,
                         MonoTime now ) {
    const auto stop = justOrdered ? now + evacuationGrace( rule ) : now;
    return m_stopTimes.emplace( hall, stop ).second;
}

bool Evacuations::end( const std::string& hall ) {
    return m_stopTimes.erase( hall ) > 0;
}

std::optional<MonoTime> Evacuations::stopAt( std::string_view hall ) const {
    const auto it = m_stopTimes.find( hall );
    return it == m_stopTimes.end() ? std::nullopt : std::optional( it->second );
}

} // namespace coursehead::decide
