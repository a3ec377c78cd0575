// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_PLACES_HPP_INCLUDED
#define COURSEHEAD_AGENT_PLACES_HPP_INCLUDED

#include "coursehead/router/admission.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>

namespace coursehead::agent {

//! The upstream's places for parallel requests, with a bounded queue by priority.
class Places {
public:
    Places( std::uint32_t capacity, std::uint32_t queueLimit )
        : m_capacity( capacity ), m_queueLimit( queueLimit ) {}

    //! Whether a request may join now; does not take a place.
    router::Admission admit( int priority, Millis patience ) const;
    //! Waits in line for a place until the deadline, or until `abandoned` says so.
    bool acquire( int priority, MonoTime deadline, const std::function<bool()>& abandoned );
    //! Gives the place back after `held`.
    void release( Millis held );

    std::uint32_t running() const;
    std::uint32_t queued() const;
    std::uint32_t capacity() const noexcept { return m_capacity; }
    Millis serviceTime() const;

private:
    //! A request in line: higher priority first, then first come.
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
    std::set<Ticket> m_line;
    std::uint64_t m_nextTicket = 0;
    std::uint32_t m_running = 0;
    Millis m_serviceTime{ 0 };
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_PLACES_HPP_INCLUDED
