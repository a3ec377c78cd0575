// SPDX-License-Identifier: BSL-1.0
#include "gateway/fleet.hpp"

#include "coursehead/kernel/log.hpp"
#include "kernel/hash.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace coursehead::gateway {

namespace {

//! Prompt reading of a request of which nothing more is known, in milliseconds.
constexpr double usualPrefillMs = 80;
//! Usual work of a plain service's request, in milliseconds, until slowness is measured.
constexpr double usualWorkMs = 20;
//! Loading an adapter that is not there: some milliseconds, and a round trip to the sidecar.
constexpr double adapterLoadMs = 25;
//! Waiting where every adapter slot is taken by running requests: streams last about a second.
constexpr double adapterFullMs = 800;
//! Usual rest of a model's order that is under way.
constexpr double orderWaitMs = 400;
//! Rest of a load that has taken longer than expected.
constexpr Millis leastLoad{ 50 };
//! What leaving the hall counts for: a review's 18 KB cost about one part in a hundred of its
//! worth, a tenth of that in time.
constexpr double crossHallMs = 4;
//! The same for plain services, which keep nothing that makes one better than the other.
constexpr double plainCrossHallMs = 15;
//! A load also makes another model give way; it is chosen only when it wins this much.
constexpr double evictionMs = 150;
//! Demand is smoothed over about two seconds, to follow shifts that take four to six.
constexpr double demandSmoothing = 0.2;
constexpr Millis demandInterval{ 400 };
//! Part of its time that each copy of a model spends on reading that model's prompts, from which
//! another copy is started. An engine holds three models; above a third in all, prompts queue.
constexpr double replicaLoad = 0.35;
constexpr Millis replicaPause{ 1000 };
//! Gateways that act on the same load in one round, on average.
constexpr double replicaActors = 1.5;
constexpr Millis replicaLimit{ 10000 };
constexpr double millisPerSecond = 1000;
constexpr double percent = 100;
//! Gateways assumed until a sidecar says how many there are.
constexpr int assumedGateways = 8;

bool contains( const std::vector<std::string>& names, std::string_view name ) {
    return std::find( names.begin(), names.end(), name ) != names.end();
}

} // namespace

Fleet::Fleet( net::asio::io_context& context, RandomSource& random, FleetSettings settings )
    : m_context( context ), m_random( random ), m_settings( std::move( settings ) ),
      m_started( std::chrono::steady_clock::now() ), m_lastTick( m_started ),
      m_gateways( assumedGateways ) {}

Fleet::~Fleet() {
    for( auto& it : m_nodes ) {
        drop( *it.second );
    }
}

void Fleet::drop( Node& node ) {
    node.gone = true;
    stopSidecar( node );
}

void Fleet::stopSidecar( Node& node ) {
    if( node.sidecar ) {
        node.sidecar->stop();
        node.sidecar.reset();
    }
}

void Fleet::sync( const std::map<std::string, Member>& members, MonoTime now ) {
    std::erase_if( m_nodes, [&]( const auto& it ) {
        if( members.contains( it.first ) ) {
            return false;
        }
        log::info( "upstream_gone",
                   { { "upstream", it.first }, { "service", it.second->upstream.service } } );
        drop( *it.second );
        return true;
    } );
    for( const auto& [id, member] : members ) {
        const auto it = m_nodes.find( id );
        if( it == m_nodes.end() ) {
            add( member.upstream, now );
            continue;
        }
        Node& node = *it->second;
        if( node.upstream.state != member.upstream.state ) {
            log::info( "upstream_leaving", { { "upstream", id } } );
        }
        node.upstream = member.upstream;
        if( node.upstream.remaining && !node.leavesAt ) {
            node.leavesAt = now + *node.upstream.remaining;
        }
    }
}

void Fleet::add( const Upstream& upstream, MonoTime ) {
    log::info( "upstream_added",
               { { "upstream", upstream.id },
                 { "service", upstream.service },
                 { "address", upstream.ip + ":" + std::to_string( upstream.port ) } } );
    const auto node = std::make_shared<Node>( upstream );
    m_nodes.emplace( upstream.id, node );
    setEngine( *node );
}

void Fleet::setConfiguration( std::shared_ptr<const RouteTable> table, MonoTime ) {
    m_table = std::move( table );
    for( auto& it : m_nodes ) {
        setEngine( *it.second );
    }
}

void Fleet::setEngine( Node& node ) {
    const auto* service = m_table ? m_table->service( node.upstream.service ) : nullptr;
    const auto engine = service != nullptr ? service->engine : nullptr;
    const auto gapTarget = m_table ? m_table->gapTarget( node.upstream.service ) : Millis{ 0 };
    const bool same = node.engine && engine && *node.engine == *engine &&
                      node.gapTarget == gapTarget && node.sidecar;
    if( same ) {
        // Most configurations change routes only: sidecars need not hear of them.
        return;
    }
    node.engine = engine;
    node.gapTarget = gapTarget;
    if( !node.engine ) {
        stopSidecar( node );
        return;
    }
    node.prefixes.setCapacity( node.engine->cacheTokens );
    if( !node.sidecar ) {
        node.sidecar =
            std::make_shared<SidecarLink>( m_context, node.upstream.ip, m_settings.sidecarPort );
        node.sidecar->start( sidecarHandlers( node.upstream.id ) );
    }
    EngineNews news;
    news.gateway = m_settings.vm;
    news.configVersion = m_table->configuration().version;
    news.upstreamId = node.upstream.id;
    news.engine = *node.engine;
    news.gapTargetMs = gapTarget.count();
    node.sidecar->setNews( std::move( news ) );
}

SidecarLink::Handlers Fleet::sidecarHandlers( const std::string& id ) {
    const auto find = [this, id]() -> Node* {
        const auto it = m_nodes.find( id );
        return it == m_nodes.end() ? nullptr : it->second.get();
    };
    SidecarLink::Handlers out;
    out.report = [this, find]( const SidecarReport& report ) {
        if( auto* node = find() ) {
            takeReport( *node, report );
        }
    };
    out.load = [find]( const EngineLoad& load ) {
        if( auto* node = find() ) {
            node->takeLoad( load, std::chrono::steady_clock::now() );
        }
    };
    out.news = [this, id]( const StoreNews& news ) {
        if( m_onStoreNews ) {
            m_onStoreNews( id, news );
        }
    };
    return out;
}

void Fleet::takeReport( Node& node, const SidecarReport& report ) {
    if( report.reachable != node.engineReachable ) {
        log::info( report.reachable ? "engine_regained" : "engine_lost",
                   { { "upstream", node.upstream.id } } );
    }
    node.takeReport( report, std::chrono::steady_clock::now() );
    m_gateways = std::max( report.gateways, 1 );
}

void Fleet::tick( MonoTime now ) {
    if( now - m_lastTick < demandInterval ) {
        return;
    }
    const double seconds = std::chrono::duration<double>( now - m_lastTick ).count();
    m_lastTick = now;
    DemandNews common;
    for( auto& [model, demand] : m_demand ) {
        demand.perS += demandSmoothing * ( demand.arrivals / seconds - demand.perS );
        demand.workPerS += demandSmoothing * ( demand.arrivedWork / seconds - demand.workPerS );
        demand.arrivals = 0;
        demand.arrivedWork = 0;
    }
    std::map<std::string, int> held;
    for( const auto& it : m_nodes ) {
        for( const auto& resident : it.second->residents( now ) ) {
            ++held[resident.model];
        }
    }
    for( auto& it : m_nodes ) {
        Node& node = *it.second;
        if( !node.sidecar ) {
            continue;
        }
        DemandNews news;
        for( const auto& model : node.modelsOfInterest( now ) ) {
            ModelDemand entry;
            entry.model = model;
            const auto demand = m_demand.find( model );
            entry.perS = demand == m_demand.end() ? 0 : demand->second.perS;
            entry.copies = held[model];
            entry.running = node.runningOf( model );
            entry.adaptersUsed = node.adaptersInUse( model );
            news.models.push_back( std::move( entry ) );
        }
        node.adaptersUsed.clear();
        news.sentParts = std::exchange( node.sentParts, {} );
        news.reading = node.reading.ownShare( now );
        node.sidecar->send( news );
    }
    addReplicas( held, now );
}

double Fleet::loadMs( const Node& node, const Generation& generation, MonoTime now ) const {
    if( !node.holdsModel( generation.model, now ) ) {
        const auto* model = node.engine->find( generation.model );
        if( model == nullptr ) {
            return 0;
        }
        const auto under = node.loading.find( generation.model );
        Millis load = model->storeLoad;
        if( node.report && contains( node.report->inMemory, generation.model ) ) {
            load = model->memoryLoad;
        } else if( node.report && contains( node.report->onDisk, generation.model ) ) {
            load = model->diskLoad;
        }
        if( under != node.loading.end() ) {
            // Others wait for it there already: what is left of the load, and no further order.
            const auto left = load - std::chrono::duration_cast<Millis>( now - under->second );
            return static_cast<double>( std::max( left, leastLoad ).count() );
        }
        const double busy = node.report && node.report->load.ordering ? orderWaitMs : 0;
        return static_cast<double>( load.count() ) + evictionMs + busy;
    }
    if( generation.adapter.empty() ||
        node.holdsAdapter( generation.model, generation.adapter, now ) ) {
        return 0;
    }
    // Adapters wait for a model's order that is under way.
    const bool ordering = node.reportFresh( now ) && node.report->load.ordering;
    const bool full = node.reportFresh( now ) && !node.report->load.adapterRoom;
    return adapterLoadMs + ( ordering ? orderWaitMs : 0 ) + ( full ? adapterFullMs : 0 );
}

Candidate Fleet::candidate( const Node& node, const Need& need, MonoTime now ) const {
    Candidate out;
    out.failures = recentFailures( node.health, now );
    out.slowness = slownessNow( node.health, now );
    out.otherHall = node.upstream.hall != m_settings.hall;
    out.crossHallMs = crossHallMs;
    out.avoided = node.health.avoidUntil > now || !node.engineReachable;
    if( need.generation == nullptr || !node.engine ) {
        out.workMs = usualWorkMs;
        out.crossHallMs = plainCrossHallMs;
        out.backlogMs = usualWorkMs * node.inFlight / std::max( node.upstream.slots, 1 ) +
                        ( node.inFlight >= node.upstream.slots ? usualWorkMs : 0 );
        out.affinity = hash64( node.upstream.id, std::to_string( now.time_since_epoch().count() ) );
        return out;
    }
    const auto& generation = *need.generation;
    const auto cached = node.prefixes.kept( need.prefix, generation );
    const auto fresh = std::max<std::int64_t>( generation.promptTokens - cached, 0 );
    out.freshTokens = fresh;
    out.workMs = m_pace.readingMs( generation.model, static_cast<double>( fresh ) );
    out.backlogMs = node.prefillMs;
    if( node.gapTarget.count() > 0 ) {
        out.paceMs = static_cast<double>(
            node.reading.wait( out.workMs, node.readingLimits( now ), now ).count() );
    }
    if( node.reportFresh( now ) ) {
        const auto waiting =
            static_cast<int>( node.report->load.queued + node.report->load.prefilling );
        out.backlogMs += std::max( waiting - node.prefilling, 0 ) * usualPrefillMs;
        const bool full = node.engine->slots > 0 &&
                          node.report->load.running >= static_cast<unsigned>( node.engine->slots );
        out.backlogMs += full ? usualPrefillMs * ( 1 + node.report->load.queued ) : 0;
    }
    if( node.reportFresh( now ) ) {
        out.decoding = node.report->load.running -
                       std::min( node.report->load.running, node.report->load.prefilling );
    }
    out.latePauses = node.reportFresh( now ) ? node.report->load.latePausesPercent / percent : 0;
    out.loadMs = loadMs( node, generation, now );
    const auto shared = need.prefix.size() > 1 ? need.prefix[need.prefix.size() - 2] : 0;
    const auto key =
        shared != 0 ? std::to_string( shared ) : generation.model + "/" + generation.adapter;
    out.affinity = hash64( node.upstream.id, key );
    return out;
}

Choice Fleet::choose( const Need& need, const std::set<std::string>& excluded,
                      MonoTime now ) const {
    std::vector<Candidate> candidates;
    std::vector<NodePtr> nodes;
    for( const auto& [id, node] : m_nodes ) {
        const bool usable = node->upstream.service == need.service && node->takesRequests() &&
                            !excluded.contains( id );
        if( !usable ) {
            continue;
        }
        candidates.push_back( candidate( *node, need, now ) );
        nodes.push_back( node );
    }
    Choice out;
    out.candidates = candidates.size();
    const auto best = gateway::choose( candidates );
    if( !best ) {
        return out;
    }
    const auto& it = candidates[*best];
    out.node = nodes[*best];
    out.bestCost = costOf( it );
    out.workMs = it.workMs;
    out.loadMs = it.loadMs;
    out.paceMs = it.paceMs;
    out.freshTokens = it.freshTokens;
    out.unqueued = it.backlogMs <= 0 && it.loadMs <= 0;
    out.expectedMs = it.backlogMs + it.workMs + it.loadMs;
    if( need.generation != nullptr && out.node->engine ) {
        out.holdsModel = out.node->holdsModel( need.generation->model, now );
        out.holdsAdapter =
            need.generation->adapter.empty() ||
            out.node->holdsAdapter( need.generation->model, need.generation->adapter, now );
    }
    return out;
}

void Fleet::abandonWaits() {
    for( auto& it : m_nodes ) {
        if( it.second->sidecar ) {
            it.second->sidecar->failWaiters();
        }
    }
}

bool Fleet::takeStoreLoad( const Node& node, const std::string& model, MonoTime now ) {
    const auto window = m_settings.ceilingWindow;
    while( !m_storeLoads.empty() && now - m_storeLoads.front().at > window ) {
        m_storeLoads.pop_front();
    }
    // Requests that wait for the same load share it.
    for( const auto& it : m_storeLoads ) {
        if( it.upstreamId == node.upstream.id && it.model == model ) {
            return true;
        }
    }
    // A process that has just started does not know what was allowed before.
    if( now - m_started < window ) {
        return false;
    }
    const double seconds = std::chrono::duration<double>( window ).count();
    const double share = node.engine->storeLoadsPerS * seconds / m_gateways;
    const double allowed = std::max( std::floor( share ), 1.0 );
    if( static_cast<double>( m_storeLoads.size() ) >= allowed ) {
        return false;
    }
    m_storeLoads.push_back( { now, node.upstream.id, model } );
    return true;
}

net::Task<EnsureOutcome> Fleet::ensure( NodePtr node, std::string model, std::string adapter,
                                        Millis limit ) {
    const auto link = node->sidecar;
    if( !link ) {
        co_return EnsureOutcome::failed;
    }
    const auto now = std::chrono::steady_clock::now();
    EnsureRequest request;
    request.upstreamId = node->upstream.id;
    request.model = std::move( model );
    request.adapter = std::move( adapter );
    const bool near = node->holdsModel( request.model, now ) ||
                      ( node->report && ( contains( node->report->inMemory, request.model ) ||
                                          contains( node->report->onDisk, request.model ) ) );
    request.fromStore = !near && node->engine && takeStoreLoad( *node, request.model, now );
    const bool loads = !node->holdsModel( request.model, now ) && ( near || request.fromStore );
    const std::string name = request.model;
    const bool first = loads && node->loading.emplace( name, now ).second;
    const auto outcome = co_await link->ensure( std::move( request ), limit );
    if( first ) {
        node->loading.erase( name );
    }
    co_return outcome;
}

void Fleet::noteFirstEvent( const Generation& generation, const Choice& choice,
                            double measuredMs ) {
    if( choice.unqueued ) {
        m_pace.note( generation.model, static_cast<double>( choice.freshTokens ), measuredMs );
    }
}

void Fleet::countDemand( const Need& need, const Choice& choice ) {
    if( need.generation == nullptr || !choice.node || !choice.node->engine ) {
        return;
    }
    auto& demand = m_demand[need.generation->model];
    demand.service = need.service;
    demand.arrivals += 1;
    demand.arrivedWork += choice.workMs;
}

void Fleet::addReplicas( const std::map<std::string, int>& held, MonoTime now ) {
    for( auto& [model, demand] : m_demand ) {
        const auto it = held.find( model );
        const int copies = it == held.end() ? 0 : it->second;
        if( copies == 0 || now - demand.lastReplica < replicaPause ) {
            continue;
        }
        const double load = demand.workPerS * m_gateways / ( millisPerSecond * copies );
        // All gateways see about the same load: each acts now and then, together often enough.
        if( load > replicaLoad && m_random.unit() * m_gateways < replicaActors ) {
            demand.lastReplica = now;
            addReplica( demand.service, model, load, now );
        }
    }
}

void Fleet::addReplica( const std::string& service, const std::string& model, double load,
                        MonoTime now ) {
    Generation generation;
    generation.model = model;
    Need need;
    need.service = service;
    need.generation = &generation;
    std::vector<Candidate> candidates;
    std::vector<NodePtr> nodes;
    for( const auto& [id, node] : m_nodes ) {
        const bool fit = node->upstream.service == service && node->engine &&
                         node->takesRequests() && !node->holdsModel( model, now );
        if( fit ) {
            auto it = candidate( *node, need, now );
            it.affinity = hash64( id, model );
            candidates.push_back( it );
            nodes.push_back( node );
        }
    }
    const auto best = gateway::choose( candidates );
    if( !best || candidates[*best].avoided ) {
        return;
    }
    const auto node = nodes[*best];
    log::info( "replica_wanted", { { "model", model },
                                   { "upstream", node->upstream.id },
                                   { "load_percent", static_cast<std::int64_t>( load * 100 ) } } );
    startLoad( node, model );
}

void Fleet::startLoad( const NodePtr& node, const std::string& model ) {
    if( node->loading.contains( model ) ) {
        return;
    }
    auto task = [this, node, name = model]() -> net::Task<> {
        std::string wanted = name;
        std::string none;
        NodePtr at = node;
        co_await ensure( std::move( at ), std::move( wanted ), std::move( none ), replicaLimit );
    };
    net::asio::co_spawn( m_context, std::move( task ), net::asio::detached );
}

} // namespace coursehead::gateway
