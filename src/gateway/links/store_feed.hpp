// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_STORE_FEED_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_STORE_FEED_HPP_INCLUDED

#include "gateway/choice/fleet.hpp"
#include "gateway/links/follower.hpp"
#include "gateway/links/registry.hpp"
#include "gateway/links/store_objects.hpp"
#include "platform/node_settings.hpp"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace coursehead::gateway {

//! Handlers for changes that the feed receives.
struct StoreFeedHandlers {
    //! The configuration, as the operator wrote it.
    std::function<void( std::string_view json )> configuration;
    //! The registry was filled from a listing, or has changed.
    std::function<void()> upstreams;
    //! Quarantined contents, which must not be sent; some may be known already.
    std::function<void( std::span<const decide::Quarantine> entries )> quarantines;
    //! A prompt part's quarantine was removed from the store.
    std::function<void( const decide::Quarantine& removed )> partCleared;
    //! All halls under evacuation.
    std::function<void( const std::set<std::string>& halls )> evacuations;
    //! The evacuation of a hall has started or ended.
    std::function<void( const std::string& hall, bool evacuated )> evacuation;
};

/**
 * Keeps the registry, the configuration, the quarantines and the evacuations in line with the
 * store. Each call to the store costs money, and the rate of calls must not grow with the fleet, so
 * a relay (a sidecar that calls the store for many gateways) delivers the changes. While the relay
 * is silent or has lost the store, the gateway calls the store itself.
 */
class StoreFeed {
public:
    StoreFeed( net::asio::io_context& context, const platform::NodeSettings& settings,
               RandomSource& random, metrics::Metrics& metrics, Fleet& fleet, Registry& registry,
               StoreFeedHandlers handlers );

    void start();
    //! Periodic work: checks the relay and replaces it if needed.
    void tick( MonoTime now );
    bool upstreamsListed() const noexcept { return m_upstreamsListed; }
    //! True while the gateway receives changes of the configuration.
    bool configurationCurrent() const noexcept {
        return !m_relay.empty() || m_configuration.reachable();
    }

private:
    FollowerHandlers configurationHandlers();
    FollowerHandlers upstreamHandlers();
    FollowerHandlers quarantineHandlers();
    FollowerHandlers evacuationHandlers();
    void applyEvacuations( const StoreUpdate& update );
    void applyEvacuations( std::set<std::string> halls, MonoTime now );
    void applyEvacuation( const std::string& hall, bool evacuated );
    //! Ends the evacuation of halls that only the store's history before its restore names, once
    //! they have not been written again in time.
    void expireHeldHalls( MonoTime now );
    void applyQuarantine( const platform::StoreObject& object );
    void applyQuarantineRemoval( std::string_view name );
    void applyConfiguration( const platform::StoreObject& object );
    void applyUpstreamListing( std::vector<Upstream> upstreams );
    void applyUpdate( const std::string& upstreamId, const StoreUpdate& update );
    void applyUpstreams( const StoreUpdate& update );
    //! Finds a relay at start, before the gateway knows any upstream, and starts the followers.
    net::Task<> startFollowing();
    //! Upstreams whose sidecars can relay, from a list that may be some seconds old.
    net::Task<std::vector<Upstream>> findRelayUpstreams();
    std::vector<Upstream> engineUpstreams( std::span<const platform::StoreObject> objects );
    //! Subscribes to the sidecar of an upstream; true when it has delivered all parts of the store.
    net::Task<bool> tryRelay( const Upstream& upstream );
    //! `replacementTime`: time for another relay to deliver before this gateway calls the store
    //! itself.
    void dropRelay( std::string_view why, Millis replacementTime, MonoTime now );
    void updateRelay( MonoTime now );
    //! Receives the store's changes from this sidecar from now on.
    void useRelay( const std::string& upstreamId, std::shared_ptr<SidecarLink> link, MonoTime now );
    bool allPartsReceived() const;

    net::asio::io_context& m_context;
    const platform::NodeSettings& m_settings;
    Fleet& m_fleet;
    Registry& m_registry;
    StoreFeedHandlers m_handlers;
    ObjectReader m_reader;
    Follower m_configuration;
    Follower m_upstreams;
    Follower m_quarantines;
    Follower m_evacuations;
    bool m_upstreamsListed = false;
    platform::StoreClient m_store;
    bool m_followersStarted = false; //!< the followers are running
    std::string m_relay;             //!< upstream id of the relay; empty: none
    std::shared_ptr<SidecarLink> m_relayLink;
    int m_relayGateways = 1;                //!< number of gateways at the choice of the relay
    std::set<StorePart> m_receivedParts;    //!< parts of which the relay has sent a snapshot
    MonoTime m_lastRelayMessage;            //!< last message on upstreams from the relay
    MonoTime m_relayCheckedAt;              //!< when the choice of the relay was last checked
    std::set<std::string> m_evacuatedHalls; //!< halls under evacuation in the store
    std::set<std::string> m_heldHalls;      //!< halls under evacuation before the store's restore
    MonoTime m_heldUntil;
    bool m_upstreamsReceived = false;          //!< a snapshot of the upstreams came from this relay
    std::map<std::string, MonoTime> m_avoided; //!< former relays, with the end of their avoidance
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_STORE_FEED_HPP_INCLUDED
