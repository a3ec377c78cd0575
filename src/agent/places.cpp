// SPDX-License-Identifier: BSL-1.0
#include "agent/places.hpp"

#include <algorithm>

namespace coursehead::agent {

namespace {
//! How often a queued request checks whether its caller has abandoned it.
constexpr Millis abandonCheckInterval{ 200 };
} // namespace

router::Admission Places::admit( int priority, Millis maxWait ) const {
    const std::lock_guard lock( m_mutex );
    const router::QueueView view{ m_running, static_cast<std::uint32_t>( m_queue.size() ),
                                  m_capacity, m_queueLimit, m_serviceTime };
    return router::admit( view, priority, maxWait );
}

bool Places::acquire( int priority, MonoTime deadline, const std::function<bool()>& abandoned ) {
    std::unique_lock lock( m_mutex );
    const Ticket ticket{ priority, m_nextTicket++ };
    const auto position = m_queue.insert( ticket ).first;
    const auto isNext = [&] {
        return m_running < m_capacity && m_queue.begin() == position;
    };
    bool acquired = isNext();
    while( !acquired && MonoClock::now() < deadline && !abandoned() ) {
        const auto limit = std::min( deadline, MonoClock::now() + abandonCheckInterval );
        acquired = m_changed.wait_until( lock, limit, isNext );
    }
    m_queue.erase( position );
    if( acquired ) {
        ++m_running;
    }
    m_changed.notify_all();
    return acquired;
}

void Places::release( Millis heldTime ) {
    const std::lock_guard lock( m_mutex );
    --m_running;
    m_serviceTime = router::smooth( m_serviceTime, heldTime );
    m_changed.notify_all();
}

std::uint32_t Places::running() const {
    const std::lock_guard lock( m_mutex );
    return m_running;
}

std::uint32_t Places::queued() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::uint32_t>( m_queue.size() );
}

Millis Places::serviceTime() const {
    const std::lock_guard lock( m_mutex );
    return m_serviceTime;
}

} // namespace coursehead::agent
