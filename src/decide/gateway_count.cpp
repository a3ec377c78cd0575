// SPDX-License-Identifier: BSL-1.0
#include "decide/gateway_count.hpp"

#include <algorithm>

namespace coursehead::decide {

bool GatewayCount::note( int seen, MonoTime now ) {
    m_maxSeen = std::max( m_maxSeen, seen );
    const bool expired = now - m_countSeenAt > m_hold;
    if( m_known && seen < m_count && !expired ) {
        return false;
    }
    const int before = m_count;
    m_count = m_maxSeen;
    m_maxSeen = 1;
    m_known = true;
    m_countSeenAt = now;
    return m_count != before;
}

} // namespace coursehead::decide
