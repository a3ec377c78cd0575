// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_CONFIG_REPLICA_HPP_INCLUDED
#define COURSEHEAD_CONFIG_REPLICA_HPP_INCLUDED

#include "coursehead/config/head.hpp"
#include "coursehead/peer/messages.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace coursehead::config {

//! Reads the snapshot of a revision from the store; empty when it can't be had.
using SnapshotReader = std::function<std::optional<State>( Revision revision )>;

//! Counters for /metrics.
struct ReplicaStats {
    std::atomic<std::uint64_t> adopted{ 0 };
    std::atomic<std::uint64_t> olderDropped{ 0 }; //!< offers that would have stepped back
    std::atomic<std::uint64_t> invalid{ 0 };
};

/**
 * A process's copy of the configuration. It is moved up by whatever brings a committed head: the
 * store's watch or a peer. It never moves down.
 */
class Replica {
public:
    //! Takes a head; fetches a snapshot when the tail does not reach. True when the state moved.
    bool offer( const Head& head, const SnapshotReader& snapshots );
    //! Takes what a peer passed on.
    bool offer( const peer::ConfigNews& news );

    //! The state in force.
    std::shared_ptr<const State> state() const;
    Revision revision() const;
    //! What a peer at `revision` needs to catch up; empty when it is not behind.
    std::optional<peer::ConfigNews> newsFor( Revision revision ) const;

    //! Called after each move, on the thread that brought it. Set before the first offer.
    void onChange( std::function<void( const State& state )> listener );
    const ReplicaStats& stats() const noexcept { return m_stats; }

private:
    bool move( const Head& head, const std::optional<State>& base );

    mutable std::mutex m_mutex;
    std::shared_ptr<const State> m_state = std::make_shared<const State>();
    Head m_head;
    std::function<void( const State& )> m_listener;
    ReplicaStats m_stats;
};

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_REPLICA_HPP_INCLUDED
