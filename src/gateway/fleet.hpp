// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_FLEET_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_FLEET_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "decide/evacuation.hpp"
#include "decide/gateway_count.hpp"
#include "decide/link_choice.hpp"
#include "decide/replica_rule.hpp"
#include "gateway/estimate.hpp"
#include "gateway/node.hpp"
#include "gateway/pace.hpp"
#include "gateway/registry.hpp"
#include "gateway/route_table.hpp"
#include "gateway/selection.hpp"
#include "gateway/sidecar_link.hpp"
#include "gateway/store_grants.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace coursehead::gateway {

//! What the fleet needs to know of its own process.
struct FleetSettings {
    std::string vm;
    std::string hall;
    int sidecarPort = 0;
    Millis ceilingWindow{ 5000 };
    decide::EvacuationRule evacuation{};
    decide::ColdRule cold{};
    std::map<std::string, std::string> regions{}; //!< of each hall
    metrics::Metrics* metrics = nullptr;          //!< null: nothing is counted
};

//! An upstream chosen for a request, with what the choice rests on.
struct Choice {
    NodePtr node;           //!< null when none is left, or one that takes none now is there earlier
    double expectedMs = 0;  //!< until the first event, or the answer
    double workMs = 0;      //!< of that, reading the prompt
    double loadMs = 0;      //!< of that, until model and adapter are there
    double sendDelayMs = 0; //!< until it should be sent, for the streams that run there
    std::int64_t uncachedTokens = 0; //!< of the prompt, to be read
    Millis unavailableFor{ 0 }; //!< no node: until the first takes requests again; 0: none does
    bool atLimit = false;       //!< that one has reached its limit; else it asked for a back-off
    bool unqueued = false;      //!< nothing was ahead of it, as far as known
    bool holdsModel = true;
    bool holdsAdapter = true;
    std::size_t candidates = 0;
    double bestCost = 0;
};

//! The upstreams of all services, with what this gateway knows of each.
class Fleet {
public:
    Fleet( net::asio::io_context& context, RandomSource& random, FleetSettings settings );
    ~Fleet();
    Fleet( const Fleet& ) = delete;
    Fleet& operator=( const Fleet& ) = delete;

    //! A connection that was opened to the sidecar at an address before the upstreams were known;
    //! used once that sidecar's engine is.
    void adopt( std::shared_ptr<SidecarLink> link );
    //! Brings the nodes in line with the registry.
    void sync( const std::map<std::string, Member>& members, MonoTime now );
    //! The same for those members alone.
    void sync( const std::map<std::string, Member>& members, const std::set<std::string>& changed,
               MonoTime now );
    void setConfiguration( std::shared_ptr<const RouteTable> table, MonoTime now );
    //! All halls that are emptied, by a list that may be older than now.
    void setEvacuations( const std::set<std::string>& halls, MonoTime now );
    //! A hall is emptied from now on, or no longer.
    void setEvacuation( const std::string& hall, bool emptied, MonoTime now );
    //! Regular work: connections, and demand to the sidecars.
    void tick( MonoTime now );

    //! Chooses among the upstreams of a service that are not in `excluded`.
    Choice choose( const RequestNeeds& need, const std::set<std::string>& excluded,
                   MonoTime now ) const;
    //! Asks a node's sidecar for what a request needs there. The leave that `ready` gives is used
    //! by a send, or handed back.
    net::Task<EnsureAnswer> ensure( NodePtr node, EnsureRequest request );
    //! Hands back the leave to send a prompt, which has become of no use.
    static void handBack( const Node& node, const EnsureAnswer& leave );
    //! The prompt of a request as a sidecar is asked about it.
    PendingPrompt describePrompt( const RequestNeeds& need ) const;
    //! Has a model made ready at a node that no request waits for there.
    void startLoad( const NodePtr& node, const std::string& model );
    //! A stream's first event came, `measuredMs` after it was sent.
    void noteFirstEvent( const Generation& generation, const Choice& choice, double measuredMs );
    //! Counts a request for a model.
    void countDemand( const RequestNeeds& need, const Choice& choice );

    //! Called with what the sidecar of an upstream passes on from the store.
    using StoreNewsHandler =
        std::function<void( const std::string& upstreamId, const StoreUpdate& news )>;
    void onStoreUpdate( StoreNewsHandler handler ) { m_onStoreNews = std::move( handler ); }
    //! Called with what a sidecar knows to be quarantined.
    using QuarantineHandler = std::function<void( const decide::QuarantineUpdate& news )>;
    void onQuarantines( QuarantineHandler handler ) { m_onQuarantines = std::move( handler ); }
    //! Called with what a sidecar has heard of upstreams' limits.
    using LimitHandler = std::function<void( const decide::LimitUpdate& news )>;
    void onLimitUpdate( LimitHandler handler ) { m_onLimits = std::move( handler ); }
    const std::map<std::string, NodePtr>& nodes() const noexcept { return m_nodes; }

    //! Ends every wait for a model: the process is about to stop.
    void cancelModelWaits();

    //! Gateways that share budgets, this one included.
    int gateways() const noexcept { return m_gateways.count(); }
    std::size_t size() const noexcept { return m_nodes.size(); }

private:
    struct Demand {
        std::string service;
        double perS = 0;
        double workPerS = 0;     //!< prompt reading asked for, in milliseconds a second
        double arrivals = 0;     //!< since the last tick
        double arrivedWork = 0;  //!< likewise
        decide::ModelLoad fleet; //!< over all gateways, as sidecars said last
    };

    //! Until an upstream takes requests again.
    struct Rest {
        Millis time{ 0 };
        bool full = false; //!< it has reached its limit; else it asked for a back-off
    };

    //! True when a node is there for a request, whatever it holds.
    bool mayServe( const Node& node, const RequestNeeds& need, MonoTime now ) const;
    static Rest restOf( const Node& node, MonoTime now );
    void beginEvacuation( const std::string& hall, bool justOrdered, MonoTime now );
    void endEvacuation( const std::string& hall, MonoTime now );
    //! Has copies made elsewhere of what only a hall holds.
    void copyFrom( const std::string& hall, MonoTime now );
    void addReplicas( const std::map<std::string, int>& held, MonoTime now );
    void addReplica( const std::string& service, const std::string& model, double load,
                     MonoTime now );
    void add( const Upstream& upstream, MonoTime now );
    void update( Node& node, const Upstream& listed, MonoTime now );
    void remove( const std::string& id );
    //! Region of an upstream; empty when its hall is not known.
    std::string_view regionOf( const Node& node ) const;
    Distance distanceTo( const Node& node ) const;
    //! Opens and closes connections to sidecars, by use.
    void chooseLinks( MonoTime now );
    decide::LinkCandidate linkCandidate( const Node& node, MonoTime now ) const;
    DemandUpdate demandFor( Node& node, MonoTime now );
    static void restart( Node& node, StartTime born, MonoTime now );
    static void drop( Node& node );
    static void stopSidecar( Node& node );
    void setEngine( Node& node );
    std::shared_ptr<SidecarLink> linkTo( const Upstream& upstream );
    //! The description of a service's engines; the one known before while it says the same.
    EncodedSpecPtr specOf( const Service& service );
    SidecarLink::Handlers sidecarHandlers( const std::string& id );
    void takeReport( Node& node, const SidecarReport& report );
    void takeLoad( Node& node, const EngineLoad& load );
    void countGateways( const Node& node, int seen, MonoTime now );
    //! True when this gateway may allow a load from the weight store now.
    bool mayUseStore( const Node& node, const std::string& model, MonoTime now );

    net::asio::io_context& m_context;
    RandomSource& m_random;
    FleetSettings m_settings;
    std::shared_ptr<const RouteTable> m_table;
    struct KnownSpec {
        std::shared_ptr<const EngineSpec> engine;
        EncodedSpecPtr text;
    };
    std::map<std::string, KnownSpec> m_specs; //!< by service
    std::shared_ptr<SidecarLink> m_early;     //!< see adopt(); null: none, or used
    std::map<std::string, NodePtr> m_nodes;
    std::map<std::string, Demand> m_demand; //!< by model
    std::map<std::string, int> m_held;      //!< upstreams that hold a model, as of the last tick
    decide::Evacuations m_evacuations;
    ModelPace m_pace;
    StoreGrants m_grants; //!< over the rate's window and a grant's life: it counts when loads begin
    StoreNewsHandler m_onStoreNews;
    QuarantineHandler m_onQuarantines;
    LimitHandler m_onLimits;
    MonoTime m_started;
    MonoTime m_lastTick;
    decide::GatewayCount m_gateways;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_FLEET_HPP_INCLUDED
