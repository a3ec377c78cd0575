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
struct FollowHandlers {
    //! Everything that exists, at a revision of the store.
    std::function<void( const std::vector<platform::StoreObject>& objects )> listing;
    std::function<void( const platform::StoreEvent& event )> event;
    //! The store answers again, or ceased to.
    std::function<void( bool reachable )> reachable;
};

struct FollowSettings {
    std::string kind;
    Millis wait{ 2000 };      //!< length of one watch call
    Millis pause{ 0 };        //!< between watch calls, so that changes come in batches
    Millis callLimit{ 1000 }; //!< for a list
};

//! Keeps up with a kind of object in the store: lists, then watches, and lists again when the
//! watch's history is gone. Never returns.
net::Task<> follow( net::asio::io_context& context, platform::Endpoint store,
                    FollowSettings settings, RandomSource& random, FollowHandlers handlers );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_FOLLOWER_HPP_INCLUDED
