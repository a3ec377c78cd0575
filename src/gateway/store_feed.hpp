// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_STORE_FEED_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_STORE_FEED_HPP_INCLUDED

#include "gateway/fleet.hpp"
#include "gateway/follower.hpp"
#include "gateway/registry.hpp"
#include "gateway/store_objects.hpp"
#include "platform/node_settings.hpp"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace coursehead::gateway {

//! What the feed keeps up to date.
struct StoreFeedHandlers {
    //! A configuration, as the operator wrote it, at a revision of the store.
    std::function<void( std::string_view json )> configuration;
    //! The registry was listed or has changed.
    std::function<void()> upstreams;
    //! Contents that are not to be sent; some may be known already.
    std::function<void( std::span<const decide::Quarantine> entries )> quarantines;
    //! All halls that are emptied.
    std::function<void( const std::set<std::string>& halls )> evacuations;
    //! A hall is emptied from now on, or no longer.
    std::function<void( const std::string& hall, bool emptied )> evacuation;
};

/**
 * Keeps configuration and registry in line with the store. Each call to the store is paid for, and
 * its rate does not grow with the fleet: changes come through a sidecar that calls it for many
 * gateways. While that relay is silent, or has lost the store, the gateway calls the store itself.
 */
class StoreFeed {
public:
    StoreFeed( net::asio::io_context& context, const platform::NodeSettings& settings,
               RandomSource& random, metrics::Metrics& metrics, Fleet& fleet, Registry& registry,
               StoreFeedHandlers handlers );

    void start();
    //! Regular work: looks after the relay.
    void tick( MonoTime now );
    bool upstreamsListed() const noexcept { return m_listed; }
    //! True while changes of the configuration are heard of.
    bool configurationCurrent() const noexcept {
        return !m_relay.empty() || m_configuration.reachable();
    }

private:
    FollowerHandlers configurationHandlers();
    FollowerHandlers upstreamHandlers();
    FollowerHandlers quarantineHandlers();
    FollowerHandlers evacuationHandlers();
    void takeEvacuations( const StoreUpdate& news );
    void takeEvacuations( std::set<std::string> halls, MonoTime now );
    void takeEvacuation( const std::string& hall, bool emptied );
    //! Halls that only the store's former history named: kept until they may be taken for no longer
    //! emptied.
    void expireHeldHalls( MonoTime now );
    void takeQuarantine( const platform::StoreObject& object );
    void takeObject( const platform::StoreObject& object ) const;
    void takeListing( std::vector<Upstream> upstreams );
    void takeNews( const std::string& upstreamId, const StoreUpdate& news );
    void takeUpstreams( const StoreUpdate& news );
    //! Finds a relay before anything is known, and begins to follow the store.
    net::Task<> begin();
    //! Upstreams that may stand beside a relay, by a list that may be seconds old.
    net::Task<std::vector<Upstream>> findRelays();
    std::vector<Upstream> enginesOf( std::span<const platform::StoreObject> objects );
    //! Subscribes at one of them; true when all parts of the store have come from it.
    net::Task<bool> tryRelay( const Upstream& upstream );
    //! `patience`: how long another relay has to speak before this gateway calls the store itself.
    void leaveRelay( std::string_view why, Millis patience, MonoTime now );
    void seekRelay( MonoTime now );
    //! Takes the store's changes from this sidecar from now on.
    void useRelay( const std::string& upstreamId, std::shared_ptr<SidecarLink> link, MonoTime now );
    bool knowsAll() const;

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
    bool m_listed = false;
    platform::StoreClient m_store;
    bool m_begun = false; //!< the followers run
    std::string m_relay;  //!< upstream id; empty: none
    std::shared_ptr<SidecarLink> m_relayLink;
    int m_relayGateways = 1;           //!< among which the relay was chosen
    std::set<StorePart> m_relayed;     //!< parts that a relay has given whole
    MonoTime m_relayHeard;             //!< its last word on upstreams
    MonoTime m_relayChecked;           //!< when the choice was last looked at
    std::set<std::string> m_emptied;   //!< halls, as the store says
    std::set<std::string> m_heldHalls; //!< halls, as it said before it came back from a copy
    MonoTime m_heldUntil;
    bool m_gotWhole = false;                   //!< of the upstreams, from this relay
    std::map<std::string, MonoTime> m_avoided; //!< former relays, until when
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_STORE_FEED_HPP_INCLUDED
