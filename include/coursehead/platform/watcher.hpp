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

//! How a watcher waits.
struct WatchSettings {
    Millis wait{ 240000 };    //!< one watch call
    Millis firstRetry{ 200 }; //!< delay after a failure; doubles up to `lastRetry`, jittered
    Millis lastRetry{ 5000 };
};

//! The objects of a topic, by name, each time they change, with the store's version they show.
using ObjectsHandler =
    std::function<void( const std::map<std::string, Object>& objects, std::uint64_t version )>;

/**
 * Keeps up with a topic on a thread of its own: lists, then watches from there, and lists again
 * when the watch expired. Never gives an older version of an object than it gave before.
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
    //! True while the store answers: the last list or watch call did not fail.
    bool fresh() const;

private:
    void run();
    bool list();
    bool follow();
    bool take( const WatchEvent& event );
    void pause( Millis delay );
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
    bool m_fresh = false;
    CallControl m_control;
    std::thread m_thread;
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_WATCHER_HPP_INCLUDED
