// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_WATCHER_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_WATCHER_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/platform/store.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace coursehead::platform {

//! Timing of a watcher.
struct WatchSettings {
    Millis wait{ 240000 };           //!< duration of one watch call
    Millis initialRetryDelay{ 200 }; //!< first delay after a failure; doubles, with jitter
    Millis maxRetryDelay{ 5000 };    //!< upper limit of the delay before jitter
};

//! Receives all objects of a topic, by name, and the store version they reflect, on each change.
using ObjectsHandler =
    std::function<void( const std::map<std::string, Object>& objects, std::uint64_t version )>;

/**
 * Follows a topic on its own thread: lists its objects, watches for changes after that version,
 * and lists again when a watch fails or expires. Never passes the handler an older version of an
 * object than before.
 */
class Watcher {
public:
    Watcher( const ObjectStore& store, Topic topic, WatchSettings settings, RandomSource& random,
             ObjectsHandler handler );
    ~Watcher();
    Watcher( const Watcher& ) = delete;
    Watcher& operator=( const Watcher& ) = delete;

    void start();
    void stop();
    //! True if the last list or watch call succeeded.
    bool lastCallSucceeded() const;

private:
    void run();
    bool list();
    bool watchChanges();
    bool applyEvent( const WatchEvent& event );
    void waitBeforeRetry( Millis delay );
    bool stopping() const;

    const ObjectStore& m_store;
    Topic m_topic;
    WatchSettings m_settings;
    RandomSource& m_random;
    ObjectsHandler m_handler;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_version = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    bool m_lastCallSucceeded = false;
    CallControl m_control;
    std::thread m_thread;
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_WATCHER_HPP_INCLUDED
