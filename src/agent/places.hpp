// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_PLACES_HPP_INCLUDED
#define COURSEHEAD_AGENT_PLACES_HPP_INCLUDED

#include "coursehead/router/admission.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>

namespace coursehead::agent {

//! Limits the upstream's concurrent requests; further requests wait in a bounded priority queue.
class Places {
public:
    Places( std::uint32_t capacity, std::uint32_t queueLimit )
        : m_capacity( capacity ), m_queueLimit( queueLimit ) {}

    //! Decides whether a request may join the queue now; does not take a place.
    router::Admission admit( int priority, Millis maxWait ) const;
    //! Waits in the queue for a place until the deadline, or until `abandoned` returns true.
    bool acquire( int priority, MonoTime deadline, const std::function<bool()>& abandoned );
    //! Releases a place that was held for `heldTime`.
    void release( Millis heldTime );

    std::uint32_t running() const;
    std::uint32_t queued() const;
    std::uint32_t capacity() const noexcept { return m_capacity; }
    Millis serviceTime() const;

private:
    //! A queued request; ordered by descending priority, then by arrival.
    struct Ticket {
        int priority = 0;
        std::uint64_t number = 0;
        bool operator<( const Ticket& other ) const noexcept {
            return priority != other.priority ? priority > other.priority : number < other.number;
        }
    };

    std::uint32_t m_capacity;
    std::uint32_t m_queueLimit;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<Ticket> m_queue;
    std::uint64_t m_nextTicket = 0;
    std::uint32_t m_running = 0;
    Millis m_serviceTime{ 0 };
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_PLACES_HPP_INCLUDED
