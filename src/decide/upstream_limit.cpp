// SPDX-License-Identifier: BSL-1.0
#include "decide/upstream_limit.hpp"

#include <algorithm>

namespace coursehead::decide {

bool UpstreamLimit::noteNamed( double perS, MonoTime at ) {
    if( at < m_namedAt ) {
        return false;
    }
    const auto before = this->perS();
    m_perS = perS;
    m_namedAt = at;
    return before != this->perS();
}

bool UpstreamLimit::noteNone( MonoTime sent, MonoTime now ) {
    const bool inForce = perS().has_value();
    m_noneAt = std::max( m_noneAt, sent );
    const bool ended = inForce && !perS();
    m_endedAt = ended ? now : m_endedAt;
    return ended;
}

std::optional<double> UpstreamLimit::perS() const {
    const bool named = m_namedAt != MonoTime{} && m_namedAt >= m_noneAt;
    return named ? std::optional( m_perS ) : std::nullopt;
}

} // namespace coursehead::decide
