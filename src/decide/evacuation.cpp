// SPDX-License-Identifier: BSL-1.0
#include "decide/evacuation.hpp"

#include <algorithm>

namespace coursehead::decide {

Millis evacuationGrace( const EvacuationRule& rule ) {
    constexpr int parts = 2;
    return std::min( rule.bound, rule.contact ) / parts;
}

bool Evacuations::begin( const std::string& hall, bool justOrdered, const EvacuationRule& rule,
                         MonoTime now ) {
    const auto stop = justOrdered ? now + evacuationGrace( rule ) : now;
    return m_stops.emplace( hall, stop ).second;
}

bool Evacuations::end( const std::string& hall ) {
    return m_stops.erase( hall ) > 0;
}

std::optional<MonoTime> Evacuations::stopAt( std::string_view hall ) const {
    const auto it = m_stops.find( hall );
    return it == m_stops.end() ? std::nullopt : std::optional( it->second );
}

} // namespace coursehead::decide
