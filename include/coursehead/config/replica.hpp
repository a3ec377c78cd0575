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

//! Reads the snapshot of a revision from the store; empty when it is missing or unreadable.
using SnapshotReader = std::function<std::optional<State>( Revision revision )>;

//! Counters for /metrics.
struct ReplicaStats {
    std::atomic<std::uint64_t> adopted{ 0 };
    std::atomic<std::uint64_t> olderHeadsIgnored{ 0 }; //!< heads ignored: older revision
    std::atomic<std::uint64_t> invalid{ 0 };
};

/**
 * A process's copy of the configuration. It takes committed heads from the store's watch and from
 * peers, and its revision never decreases.
 */
class Replica {
public:
    //! Takes a head; reads a snapshot when the tail starts too late for the state. True when the
    //! state changed.
    bool offer( const Head& head, const SnapshotReader& snapshots );
    //! Takes an update from a peer. True when the state changed.
    bool offer( const peer::ConfigUpdate& update );

    //! Returns the current state.
    std::shared_ptr<const State> state() const;
    Revision revision() const;
    //! Returns the update for a peer at `revision`; empty when the peer is up to date.
    std::optional<peer::ConfigUpdate> updateFor( Revision revision ) const;

    //! Sets the listener for state changes. It is called on the thread that called offer(), and
    //! must be set before the first offer().
    void onChange( std::function<void( const State& state )> listener );
    const ReplicaStats& stats() const noexcept { return m_stats; }

private:
    bool advance( const Head& head, const std::optional<State>& base );

    mutable std::mutex m_mutex;
    std::shared_ptr<const State> m_state = std::make_shared<const State>();
    Head m_head;
    std::function<void( const State& )> m_listener;
    ReplicaStats m_stats;
};

} // namespace coursehead::config

#endif // COURSEHEAD_CONFIG_REPLICA_HPP_INCLUDED
