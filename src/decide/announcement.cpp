// SPDX-License-Identifier: BSL-1.0
#include "decide/announcement.hpp"

#include <algorithm>

namespace coursehead::decide {

void AnnouncedState::take( const Announcement& announcement, MonoTime now ) {
    if( announcement.backoff ) {
        m_backoffUntil =
            std::max( m_backoffUntil, now + std::min( *announcement.backoff, maxBackoff ) );
    }
    m_leaving = m_leaving || announcement.leaving;
}

} // namespace coursehead::decide
