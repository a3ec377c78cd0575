// SPDX-License-Identifier: BSL-1.0
#include "coursehead/kernel/elastic_pool.hpp"

#include <chrono>
#include <thread>

namespace coursehead {

namespace {
constexpr auto idleThreadTimeout = std::chrono::seconds( 5 );
} // namespace

void ElasticPool::run( std::function<void()> task ) {
    submit( std::move( task ), true );
}

bool ElasticPool::tryRun( std::function<void()> task ) {
    return submit( std::move( task ), false );
}

bool ElasticPool::submit( std::function<void()> task, bool mayQueue ) {
    const std::lock_guard lock( m_mutex );
    const bool idleThread = m_idle > m_tasks.size();
    const bool newThread = !idleThread && m_threads < m_limit;
    if( m_stopping || ( !idleThread && !newThread && !mayQueue ) ) {
        return false;
    }
    m_tasks.push_back( std::move( task ) );
    if( newThread ) {
        ++m_threads;
        std::thread( [this] { runTasks(); } ).detach();
    } else {
        m_changed.notify_one();
    }
    return true;
}

void ElasticPool::shutdown() {
    std::unique_lock lock( m_mutex );
    m_stopping = true;
    m_changed.notify_all();
    m_changed.wait( lock, [this] { return m_threads == 0; } );
}

void ElasticPool::runTasks() {
    std::unique_lock lock( m_mutex );
    for( ;; ) {
        ++m_idle;
        m_changed.wait_for( lock, idleThreadTimeout,
                            [this] { return !m_tasks.empty() || m_stopping; } );
        --m_idle;
        if( m_tasks.empty() ) {
            break;
        }
        auto task = std::move( m_tasks.front() );
        m_tasks.pop_front();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
    --m_threads;
    m_changed.notify_all();
}

} // namespace coursehead
