// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_FOLLOWER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_FOLLOWER_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace coursehead::gateway {

//! Handlers for what a follower receives. All of them run on the event loop.
struct FollowerHandlers {
    //! All objects of the kind, at one revision of the store.
    std::function<void( const std::vector<platform::StoreObject>& objects )> listing;
    std::function<void( const platform::StoreEvent& event )> event;
    //! The store started or stopped answering.
    std::function<void( bool reachable )> reachable;
    //! Everything up to `position` has been delivered; called after each answer of the store. May
    //! be empty.
    std::function<void( decide::StorePosition position )> synced;
    //! The store was restored from a copy: objects that the copy lacks may not have been written
    //! again yet. Called before the first listing of the copy. May be empty.
    std::function<void()> restored;
};

struct FollowerSettings {
    std::string kind;
    Millis wait{ 2000 };                 //!< length of one watch call
    Millis pause{ 0 };                   //!< between watch calls, so that changes arrive in batches
    Millis callLimit{ 1000 };            //!< for a list call
    metrics::Metrics* metrics = nullptr; //!< counts the calls; null: they are not counted
};

/**
 * Follows one kind of object in the store: lists the objects, then watches for changes, and lists
 * again when the store no longer has the history that the watch needs. While a relay delivers the
 * store's changes, the follower makes no calls.
 */
class Follower {
public:
    Follower( net::asio::io_context& context, const platform::Endpoint& store,
              FollowerSettings settings, RandomSource& random, FollowerHandlers handlers );

    //! Runs until stop().
    net::Task<> run();
    void stop() { m_stopped = true; }

    /**
     * Records that a relay has delivered everything up to a position, as a `complete` snapshot
     * or as changes; the follower makes no calls until `until`. Returns false when the delivery has
     * to be dropped, because the follower is ahead of it or the changes belong to another history.
     */
    bool acceptRelayed( decide::StorePosition position, bool complete, MonoTime until );
    //! The relay is lost, or has lost the store: the follower calls the store from `from` on,
    //! unless another relay has delivered something by then.
    void relayLost( MonoTime from );

    decide::StorePosition position() const noexcept { return m_position; }
    //! True while the store, or a relay, delivers changes.
    bool reachable() const noexcept { return m_reachable; }

private:
    net::Task<platform::StoreStatus> callStore();
    //! Records the result of a call; `beforeLimit` when it ended before its time limit.
    void recordCall( platform::StoreStatus status, bool beforeLimit );
    net::Task<platform::StoreStatus> list();
    net::Task<platform::StoreStatus> watch();
    void setReachable( bool reachable, std::string_view status );
    //! Continues at a position; `restored` when it belongs to another history than the known one.
    void moveTo( decide::StorePosition position, bool restored );
    Millis retryDelay();

    net::asio::io_context& m_context;
    FollowerSettings m_settings;
    RandomSource& m_random;
    FollowerHandlers m_handlers;
    platform::StoreClient m_client;
    bool m_stopped = false;
    bool m_listed = false;
    bool m_reachable = false;
    //! The last call failed before its time limit; the next call decides whether the store is lost.
    bool m_lastCallCutShort = false;
    bool m_hasPosition = false; //!< something has been delivered
    decide::StorePosition m_position;
    Millis m_retryDelay;
    MonoTime m_recoveryUntil;
    MonoTime m_relayedUntil;
    net::Timer m_relayTimer; //!< wait for m_relayedUntil
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_FOLLOWER_HPP_INCLUDED
