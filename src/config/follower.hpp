// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_FOLLOWER_HPP_INCLUDED
#define COURSEHEAD_CONFIG_FOLLOWER_HPP_INCLUDED

#include "coursehead/config/replica.hpp"
#include "coursehead/platform/watcher.hpp"

namespace coursehead::config {

//! Watches the head object in the store and offers each version to a replica.
class Follower {
public:
    Follower( const platform::ObjectStore& store, platform::WatchSettings settings,
              RandomSource& random, Replica& replica );
    void start() { m_watcher.start(); }
    void stop() { m_watcher.stop(); }

private:
    void onObjects( const std::map<std::string, platform::Object>& objects );

    const platform::ObjectStore& m_store;
    Replica& m_replica;
    platform::Watcher m_watcher;
};

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_FOLLOWER_HPP_INCLUDED
