// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_FOLLOWER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_FOLLOWER_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace coursehead::gateway {

//! What a follower hands on. All handlers run on the event loop.
struct FollowerHandlers {
    //! Everything that exists, at a revision of the store.
    std::function<void( const std::vector<platform::StoreObject>& objects )> listing;
    std::function<void( const platform::StoreEvent& event )> event;
    //! The store answers again, or ceased to.
    std::function<void( bool reachable )> reachable;
    //! All up to `position` was handed on; called after each answer of the store. May be empty.
    std::function<void( decide::StorePosition position )> synced;
    //! The store has come back from a copy: what it lacks may not have been written again yet.
    //! Called before the copy's first listing. May be empty.
    std::function<void()> restored;
};

struct FollowerSettings {
    std::string kind;
    Millis wait{ 2000 };                 //!< length of one watch call
    Millis pause{ 0 };                   //!< between watch calls, so that changes come in batches
    Millis callLimit{ 1000 };            //!< for a list
    metrics::Metrics* metrics = nullptr; //!< counts the calls; null: nobody does
};

/**
 * Keeps up with a kind of object in the store: lists, then watches, and lists again when the
 * watch's history is gone. While somebody else passes the store's changes on, it makes no calls.
 */
class Follower {
public:
    Follower( net::asio::io_context& context, const platform::Endpoint& store,
              FollowerSettings settings, RandomSource& random, FollowerHandlers handlers );

    //! Ends after stop().
    net::Task<> run();
    void stop() { m_stopped = true; }

    /**
     * A relay has passed on everything up to a position, the `whole` of it or what has changed;
     * until `until` no call is needed. Returns false when what it passed on is to be dropped: this
     * follower is ahead of it, or knows another history than the changes belong to.
     */
    bool acceptRelayed( decide::StorePosition position, bool whole, MonoTime until );
    //! The relay is lost, or has lost the store: the store is called from `from` on, unless another
    //! relay has spoken by then.
    void relayLost( MonoTime from );

    decide::StorePosition position() const noexcept { return m_position; }
    //! The store, or a relay, told of changes when it was last asked.
    bool reachable() const noexcept { return m_reachable; }

private:
    net::Task<platform::StoreStatus> callStore();
    //! Takes note of how a call ended, before its time or not.
    void judge( platform::StoreStatus status, bool early );
    net::Task<platform::StoreStatus> list();
    net::Task<platform::StoreStatus> watch();
    void setReachable( bool reachable, std::string_view status );
    //! Goes on at a position; of another history than what is known when `restored`.
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
    bool m_doubted = false; //!< the last call was cut short: the next one tells
    bool m_known = false;   //!< something was handed on
    decide::StorePosition m_position;
    Millis m_retry;
    MonoTime m_eagerUntil;
    MonoTime m_relayedUntil;
    net::Timer m_relayOver; //!< ends the wait for that
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_FOLLOWER_HPP_INCLUDED
