// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_KERNEL_ELASTIC_POOL_HPP_INCLUDED
#define COURSEHEAD_KERNEL_ELASTIC_POOL_HPP_INCLUDED

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace coursehead {

//! Thread pool for tasks that may block for long. Starts threads on demand and ends idle ones.
class ElasticPool {
public:
    //! `limit` is the maximum number of threads.
    explicit ElasticPool( std::size_t limit ) : m_limit( limit ) {}
    ~ElasticPool() { shutdown(); }
    ElasticPool( const ElasticPool& ) = delete;
    ElasticPool& operator=( const ElasticPool& ) = delete;

    //! Runs the task, or queues it if all threads are busy.
    void run( std::function<void()> task );
    //! Runs the task if a thread is idle or can be started; returns false otherwise.
    bool tryRun( std::function<void()> task );
    //! Runs the queued tasks, then waits until all threads have ended.
    void shutdown();

private:
    bool submit( std::function<void()> task, bool mayQueue );
    void runTasks();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_limit;
    std::size_t m_threads = 0;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace coursehead

#endif // COURSEHEAD_KERNEL_ELASTIC_POOL_HPP_INCLUDED
