// SPDX-License-Identifier: BSL-1.0
#include "agent/places.hpp"

#include <algorithm>

namespace coursehead::agent {

namespace {
//! How often a request in line looks whether it is still wanted.
constexpr Millis lookInterval{ 200 };
} // namespace

router::Admission Places::admit( int priority, Millis patience ) const {
    const std::lock_guard lock( m_mutex );
    const router::QueueView view{ m_running, static_cast<std::uint32_t>( m_line.size() ),
                                  m_capacity, m_queueLimit, m_serviceTime };
    return router::admit( view, priority, patience );
}

bool Places::acquire( int priority, MonoTime deadline, const std::function<bool()>& abandoned ) {
    std::unique_lock lock( m_mutex );
    const Ticket mine{ priority, m_nextTicket++ };
    const auto at = m_line.insert( mine ).first;
    const auto myTurn = [&] {
        return m_running < m_capacity && m_line.begin() == at;
    };
    bool got = myTurn();
    while( !got && MonoClock::now() < deadline && !abandoned() ) {
        const auto limit = std::min( deadline, MonoClock::now() + lookInterval );
        got = m_changed.wait_until( lock, limit, myTurn );
    }
    m_line.erase( at );
    if( got ) {
        ++m_running;
    }
    m_changed.notify_all();
    return got;
}

void Places::release( Millis held ) {
    const std::lock_guard lock( m_mutex );
    --m_running;
    m_serviceTime = router::smooth( m_serviceTime, held );
    m_changed.notify_all();
}

std::uint32_t Places::running() const {
    const std::lock_guard lock( m_mutex );
    return m_running;
}

std::uint32_t Places::queued() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::uint32_t>( m_line.size() );
}

Millis Places::serviceTime() const {
    const std::lock_guard lock( m_mutex );
    return m_serviceTime;
}

} // namespace coursehead::agent
