// SPDX-License-Identifier: BSL-1.0
#include "decide/announcement.hpp"

#include <algorithm>

namespace coursehead::decide {

void AnnouncedState::take( const Announcement& said, MonoTime now ) {
    if( said.backoff ) {
        m_backoffUntil = std::max( m_backoffUntil, now + std::min( *said.backoff, maxBackoff ) );
    }
    m_leaving = m_leaving || said.leaving;
}

} // namespace coursehead::decide
