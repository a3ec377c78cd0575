// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_RELAY_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_RELAY_HPP_INCLUDED

#include "gateway/links/follower.hpp"
#include "gateway/links/store_objects.hpp"
#include "gateway/messages.hpp"
#include "platform/node_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! Watches the store on behalf of gateways, and sends them its changes. Calls the store only while
//! a gateway is subscribed.
class Relay {
public:
    //! Sends an encoded message to one gateway.
    using Send = std::function<void( std::string_view message )>;

    Relay( net::asio::io_context& context, const platform::NodeSettings& settings,
           RandomSource& random, metrics::Metrics& metrics );

    //! `connection` identifies the gateway's connection. Sends the snapshots of all parts that are
    //! up to date.
    void subscribe( const void* connection, Send send );
    void unsubscribe( const void* connection );

private:
    //! A part of the store, followed from the first subscription until the last one has ended.
    struct WatchedPart {
        std::unique_ptr<gateway::Follower> follower;
        gateway::StorePart part = gateway::StorePart::upstreams;
        bool listed = false;
        bool reachable = false;
        decide::StorePosition position;
        bool restored = false; //!< the store was restored from a copy, and not listed since
        std::map<std::string, gateway::Upstream> upstreams;
        std::string configuration;
        std::map<std::string, platform::StoreObject> objects; //!< quarantines or evacuations
        gateway::ObjectReader reader;
        std::set<std::string> changed; //!< objects changed since the last message, by name
        std::set<std::string> removed; //!< objects removed since the last message, by name
        bool configurationChanged = false;
    };
    using PartPtr = std::shared_ptr<WatchedPart>;

    struct Subscriber {
        Send send;
        std::set<gateway::StorePart> snapshotSent; //!< parts whose snapshot was sent
    };

    void startPart( gateway::StorePart kind );
    gateway::FollowerHandlers handlersFor( const PartPtr& part );
    static void put( WatchedPart& part, const platform::StoreObject& object );
    static void remove( WatchedPart& part, const std::string& name );
    void applyListing( WatchedPart& part, const std::vector<platform::StoreObject>& objects );
    //! Writes quarantines again that a store restored from a copy lacks.
    net::Task<> rewriteQuarantines( std::vector<platform::StoreObject> objects );
    void publish( WatchedPart& part );
    void publishUnreachable( WatchedPart& part );
    static gateway::StoreUpdate snapshotOf( const WatchedPart& part );
    static gateway::StoreUpdate changesOf( const WatchedPart& part );

    net::asio::io_context& m_context;
    const platform::NodeSettings& m_settings;
    RandomSource& m_random;
    metrics::Metrics& m_metrics;
    std::map<const void*, Subscriber> m_subscribers;
    std::vector<PartPtr> m_parts; //!< empty while no gateway is subscribed
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_RELAY_HPP_INCLUDED
