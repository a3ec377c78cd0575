// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_count.hpp"

#include <algorithm>

namespace coursehead::decide {

bool GatewayCount::note( int seen, MonoTime now ) {
    m_since = std::max( m_since, seen );
    const bool over = now - m_at > m_hold;
    if( m_known && seen < m_count && !over ) {
        return false;
    }
    const int before = m_count;
    m_count = m_since;
    m_since = 1;
    m_known = true;
    m_at = now;
    return m_count != before;
}

} // namespace coursehead::decide
