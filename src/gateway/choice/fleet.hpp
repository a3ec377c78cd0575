// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_FLEET_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_FLEET_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "decide/accept_limiter.hpp"
#include "decide/evacuation.hpp"
#include "decide/gateway_count.hpp"
#include "decide/link_choice.hpp"
#include "decide/model_shortage.hpp"
#include "decide/replica_rule.hpp"
#include "decide/retry_budget.hpp"
#include "gateway/choice/estimate.hpp"
#include "gateway/choice/node.hpp"
#include "gateway/choice/pace.hpp"
#include "gateway/choice/selection.hpp"
#include "gateway/links/registry.hpp"
#include "gateway/links/sidecar_link.hpp"
#include "gateway/links/store_grants.hpp"
#include "gateway/route_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace coursehead::gateway {

//! Settings of the gateway's process that the fleet uses.
struct FleetSettings {
    std::string vm;
    std::string hall;
    int sidecarPort = 0;
    Millis ceilingWindow{ 5000 };
    decide::EvacuationRule evacuation{};
    decide::ColdRule cold{};
    std::map<std::string, std::string> regions{}; //!< by hall
    metrics::Metrics* metrics = nullptr;          //!< null: no metrics are counted
};

//! The upstream chosen for a request, with the estimates that the choice is based on.
struct Choice {
    NodePtr node;           //!< null: none is left, or one that is unavailable now serves it sooner
    double expectedMs = 0;  //!< estimated time to the first event or the answer
    double workMs = 0;      //!< usual time to read the prompt
    double timeFactor = 1;  //!< on workMs: the upstream's measured speed
    double loadMs = 0;      //!< part of expectedMs until model and adapter are loaded
    double sendDelayMs = 0; //!< delay before sending, for running streams or a slow start
    std::int64_t uncachedTokens = 0; //!< prompt tokens that the engine has not cached
    Millis unavailableFor{ 0 }; //!< no node: until the first upstream takes requests again; 0: none
    bool atLimit = false;       //!< no node: that upstream reached its limit; else it backs off
    bool unqueued = false;      //!< no known backlog or load was ahead of the request
    bool holdsModel = true;
    bool holdsAdapter = true;
    std::size_t candidates = 0;
    double bestCost = 0;
    //! An engine that would load the model for the request, but too late; null: none was passed
    //! over.
    NodePtr avoidedLoad;
    double avoidedLoadMs = 0; //!< expected time of the first event there

    //! Time that the upstream is expected to need to read the prompt.
    double readingMs() const { return workMs * timeFactor; }
};

//! The upstreams of all services, with this gateway's state for each.
class Fleet {
public:
    Fleet( net::asio::io_context& context, RandomSource& random, FleetSettings settings );
    ~Fleet();
    Fleet( const Fleet& ) = delete;
    Fleet& operator=( const Fleet& ) = delete;

    //! Takes over a connection that was opened to a sidecar before the upstreams were known. It is
    //! used for the first engine at the sidecar's address. A null link drops the unused connection.
    void adopt( std::shared_ptr<SidecarLink> link );
    //! Updates the nodes to match the registry.
    void sync( const std::map<std::string, Member>& members, MonoTime now );
    //! Updates the nodes of the changed members only.
    void sync( const std::map<std::string, Member>& members, const std::set<std::string>& changed,
               MonoTime now );
    void setConfiguration( std::shared_ptr<const RouteTable> table, MonoTime now );
    //! Sets the halls that are being evacuated, from a list whose orders may have been given
    //! earlier.
    void setEvacuations( const std::set<std::string>& halls, MonoTime now );
    //! Starts or ends the evacuation of a hall.
    void setEvacuation( const std::string& hall, bool evacuated, MonoTime now );
    //! Periodic work: selects connections, sends demand to the sidecars and adds replicas.
    void tick( MonoTime now );

    //! Chooses among the upstreams of the service whose ids are not in `excluded`.
    Choice choose( const RequestNeeds& need, const std::set<std::string>& excluded,
                   MonoTime now ) const;
    //! Asks a node's sidecar to load what a request needs and to permit its prompt. A permit that
    //! the answer `ready` grants is either used by a send or returned with returnPermit().
    net::Task<EnsureAnswer> ensure( NodePtr node, EnsureRequest request );
    //! Returns an unused permit to send a prompt.
    static void returnPermit( const Node& node, const EnsureAnswer& permit );
    //! Describes a request's prompt for the query to a sidecar.
    PendingPrompt describePrompt( const RequestNeeds& need ) const;
    //! Names in the prompt's description the engine from which the chosen one can copy parts that
    //! it lacks, if there is one.
    void addPartSource( PendingPrompt& prompt, const Choice& choice, const RequestNeeds& need,
                        const std::set<std::string>& excluded, MonoTime now ) const;
    //! Starts loading a model at a node on behalf of no particular request.
    void startLoad( const NodePtr& node, const std::string& model );
    //! Likewise for requests that no holder serves in time, once there were such for as long as the
    //! load takes. Nothing is loaded while this gateway waits for a load of the model.
    void loadForNext( const NodePtr& node, const std::string& model, double loadMs, MonoTime now );
    //! True while this gateway waits for a load of the model.
    bool loadUnderWay( const std::string& model ) const;
    //! Records that a stream's first event arrived `measuredMs` after the request was sent.
    void noteFirstEvent( const Generation& generation, const Choice& choice, double measuredMs );
    //! Counts a request towards its model's demand.
    void countDemand( const RequestNeeds& need, const Choice& choice );

    //! Called with each store update that an upstream's sidecar relays.
    using StoreUpdateHandler =
        std::function<void( const std::string& upstreamId, const StoreUpdate& update )>;
    void onStoreUpdate( StoreUpdateHandler handler ) { m_onStoreUpdate = std::move( handler ); }
    //! Called with the quarantines that a sidecar sends.
    using QuarantineUpdateHandler = std::function<void( const decide::QuarantineUpdate& update )>;
    void onQuarantineUpdate( QuarantineUpdateHandler handler ) {
        m_onQuarantineUpdate = std::move( handler );
    }
    //! Called with the prompt parts that a sidecar declares to be sound.
    using PoisonClearedHandler = std::function<void( const decide::PoisonCleared& cleared )>;
    void onPoisonCleared( PoisonClearedHandler handler ) {
        m_onPoisonCleared = std::move( handler );
    }
    //! Called with the upstream limits that a sidecar sends.
    using LimitUpdateHandler = std::function<void( const decide::LimitUpdate& update )>;
    void onLimitUpdate( LimitUpdateHandler handler ) { m_onLimitUpdate = std::move( handler ); }
    //! Called with the origins of streams that a sidecar sends.
    using OriginUpdateHandler = std::function<void( const decide::OriginUpdate& update )>;
    void onOriginUpdate( OriginUpdateHandler handler ) { m_onOriginUpdate = std::move( handler ); }
    //! Called when the connection to a sidecar has come up.
    using ConnectedHandler = std::function<void( const std::shared_ptr<SidecarLink>& link )>;
    void onSidecarConnected( ConnectedHandler handler ) {
        m_onSidecarConnected = std::move( handler );
    }
    //! True if an upstream of the service with this software version is listed.
    bool listsVersion( std::string_view service, std::string_view version ) const;
    const std::map<std::string, NodePtr>& nodes() const noexcept { return m_nodes; }

    //! Fails every wait for a model, as the process is about to stop.
    void cancelModelWaits();

    //! Number of gateways that share budgets, including this one.
    int gateways() const noexcept { return m_gateways.count(); }
    //! Number of gateways that share the retry budgets; see decide::retryGatewaysHold.
    int retryingGateways() const noexcept { return m_retryingGateways.count(); }
    //! The gateways of this hall that sidecars have counted lately: others than these are not
    //! sure to get a client that is refused here.
    decide::GatewaysSeen gatewaysSeen( MonoTime now ) const;
    //! Whether this gateway has more work than it can carry; sidecars are told so.
    void setAtCapacity( bool atCapacity ) { m_atCapacity = atCapacity; }
    std::size_t size() const noexcept { return m_nodes.size(); }

private:
    struct Demand {
        std::string service;
        double perS = 0;
        double workPerS = 0;     //!< requested prompt reading, in milliseconds a second
        double arrivals = 0;     //!< requests since the last tick
        double arrivedWork = 0;  //!< prompt reading since the last tick, in milliseconds
        decide::ModelLoad fleet; //!< over all gateways, as last reported by sidecars
    };

    //! Why an upstream takes no requests now and for how long.
    struct Unavailability {
        Millis timeLeft{ 0 };
        bool atLimit = false; //!< the upstream reached its limit; else it asked for a back-off
    };

    //! True if a node may serve a request, regardless of the models that it holds.
    bool mayServe( const Node& node, const RequestNeeds& need, MonoTime now ) const;
    static Unavailability unavailabilityOf( const Node& node, MonoTime now );
    //! `justOrdered`: the order was given now; else it may have been given earlier.
    void startEvacuation( const std::string& hall, bool justOrdered, MonoTime now );
    void endEvacuation( const std::string& hall, MonoTime now );
    //! Loads copies in other halls of the models that only `hall` holds.
    void addCopiesOutside( const std::string& hall, MonoTime now );
    void addReplicas( const std::map<std::string, int>& copies, MonoTime now );
    void addReplica( const std::string& service, const std::string& model, double load,
                     MonoTime now );
    void add( const Upstream& upstream, MonoTime now );
    void update( Node& node, const Upstream& listed, MonoTime now );
    void remove( const std::string& id );
    //! Region of an upstream; empty if its hall is unknown.
    std::string_view regionOf( const Node& node ) const;
    Distance distanceTo( const Node& node ) const;
    //! Opens and closes connections to sidecars according to their use.
    void chooseLinks( MonoTime now );
    decide::LinkCandidate linkCandidate( const Node& node, MonoTime now ) const;
    DemandUpdate demandFor( Node& node, MonoTime now );
    static void restart( Node& node, StartTime born, MonoTime now );
    static void drop( Node& node );
    static void stopSidecar( Node& node );
    void setEngine( Node& node );
    std::shared_ptr<SidecarLink> linkTo( const Upstream& upstream );
    //! The encoded description of a service's engines; the cached one while it is unchanged.
    EncodedSpecPtr specOf( const Service& service );
    SidecarLink::Handlers sidecarHandlers( const std::string& id );
    void takeReport( Node& node, const SidecarReport& report );
    void takeLoad( Node& node, const EngineLoad& load );
    //! Compares the speeds of each service's engines.
    void compareSpeeds( MonoTime now );
    //! Logs and counts that an engine is slow, or usual again.
    void noteSlowState( Node& node, MonoTime now );
    void noteGatewayCount( const Node& node, int seen, MonoTime now );
    //! True if this gateway may permit a load from the weight store now.
    bool mayUseStore( const Node& node, const std::string& model, MonoTime now );

    net::asio::io_context& m_context;
    RandomSource& m_random;
    FleetSettings m_settings;
    std::shared_ptr<const RouteTable> m_table;
    struct KnownSpec {
        std::shared_ptr<const EngineSpec> engine;
        EncodedSpecPtr text;
    };
    std::map<std::string, KnownSpec> m_specs;  //!< by service
    std::shared_ptr<SidecarLink> m_unusedLink; //!< see adopt(); null: none, or already used
    std::map<std::string, NodePtr> m_nodes;
    std::map<std::string, Demand> m_demand; //!< by model
    std::map<std::string, int> m_copies;    //!< holders of each model at the last tick
    //! Requests that no holder could serve in time, by model.
    std::map<std::string, decide::ModelShortage> m_shortages;
    decide::Evacuations m_evacuations;
    ModelPace m_pace;
    //! Kept for the rate's window plus a grant's lifetime, because the rate counts when loads
    //! start.
    StoreGrants m_grants;
    StoreUpdateHandler m_onStoreUpdate;
    QuarantineUpdateHandler m_onQuarantineUpdate;
    PoisonClearedHandler m_onPoisonCleared;
    LimitUpdateHandler m_onLimitUpdate;
    OriginUpdateHandler m_onOriginUpdate;
    ConnectedHandler m_onSidecarConnected;
    MonoTime m_started;
    MonoTime m_lastTick;
    decide::GatewayCount m_gateways;
    decide::GatewayCount m_retryingGateways;
    bool m_atCapacity = false;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_FLEET_HPP_INCLUDED
