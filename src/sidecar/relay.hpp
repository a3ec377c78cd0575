// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_RELAY_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_RELAY_HPP_INCLUDED

#include "gateway/follower.hpp"
#include "gateway/messages.hpp"
#include "gateway/store_objects.hpp"
#include "platform/node_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! Watches the store for gateways that ask for it, and passes on what changes. Calls the store only
//! while somebody asks.
class Relay {
public:
    //! Sends an encoded message to one gateway.
    using Send = std::function<void( std::string_view message )>;

    Relay( net::asio::io_context& context, const platform::NodeSettings& settings,
           RandomSource& random, metrics::Metrics& metrics );

    //! `who` tells gateways' connections apart.
    void subscribe( const void* who, Send send );
    void unsubscribe( const void* who );

private:
    //! A part of the store, followed from the first subscriber's coming until the last one's going.
    struct Part {
        std::unique_ptr<gateway::Follower> follower;
        gateway::StorePart part = gateway::StorePart::upstreams;
        bool listed = false;
        bool reachable = false;
        decide::StorePosition position;
        bool restored = false; //!< the store has come back from a copy, not yet listed
        std::map<std::string, gateway::Upstream> upstreams;
        std::string configuration;
        std::map<std::string, platform::StoreObject> objects; //!< of other parts than upstreams
        gateway::ObjectReader reader;
        std::set<std::string> changed; //!< names of objects since the last message
        std::set<std::string> gone;    //!< likewise
        bool configurationChanged = false;
    };
    using PartPtr = std::shared_ptr<Part>;

    struct Subscriber {
        Send send;
        std::set<gateway::StorePart> whole; //!< parts that it has been given whole
    };

    void startPart( gateway::StorePart kind );
    gateway::FollowerHandlers handlersFor( const PartPtr& part );
    static void put( Part& part, const platform::StoreObject& object );
    static void remove( Part& part, const std::string& name );
    void takeListing( Part& part, const std::vector<platform::StoreObject>& objects );
    //! Writes quarantines again that the store's copy lacks.
    net::Task<> writeAgain( std::vector<platform::StoreObject> objects );
    void publish( Part& part );
    void publishUnreachable( Part& part );
    static gateway::StoreUpdate wholeNews( const Part& part );
    static gateway::StoreUpdate changes( const Part& part );

    net::asio::io_context& m_context;
    const platform::NodeSettings& m_settings;
    RandomSource& m_random;
    metrics::Metrics& m_metrics;
    std::map<const void*, Subscriber> m_subscribers;
    std::vector<PartPtr> m_parts; //!< empty while nobody asks
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_RELAY_HPP_INCLUDED
