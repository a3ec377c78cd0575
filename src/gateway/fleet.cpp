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

//! Gateways assumed until a sidecar says how many there are.
constexpr int assumedGateways = 8;
constexpr int hashBits = 64;
//! Upstreams that come at once and are named in the log; of more, as at start, the number is.
constexpr std::size_t mostNamed = 32;

void logAdded( const Upstream& upstream ) {
    log::info( "upstream_added",
               { { "upstream", upstream.id },
                 { "service", upstream.service },
                 { "address", upstream.ip + ":" + std::to_string( upstream.port ) } } );
}

std::string_view whereOf( Distance distance ) {
    if( distance.otherRegion ) {
        return "other_region";
    }
    return distance.otherHall ? "other_hall" : "same_hall";
}

} // namespace

Fleet::Fleet( net::asio::io_context& context, RandomSource& random, FleetSettings settings )
    : m_context( context ), m_random( random ), m_settings( std::move( settings ) ),
      m_grants( m_settings.ceilingWindow + storeGrantLife ), m_started( MonoClock::now() ),
      m_lastTick( m_started ),
      m_gateways( assumedGateways, m_settings.ceilingWindow + storeGrantLife ) {}

Fleet::~Fleet() {
    adopt( nullptr );
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
    std::set<std::string> all;
    for( const auto& it : m_nodes ) {
        all.insert( it.first );
    }
    for( const auto& it : members ) {
        all.insert( it.first );
    }
    sync( members, all, now );
}

void Fleet::sync( const std::map<std::string, Member>& members,
                  const std::set<std::string>& changed, MonoTime now ) {
    const auto before = m_nodes.size();
    const bool each = changed.size() <= mostNamed;
    for( const auto& id : changed ) {
        const auto member = members.find( id );
        if( member == members.end() ) {
            remove( id );
        } else if( !m_nodes.contains( id ) ) {
            add( member->second.upstream, now );
            if( each ) {
                logAdded( member->second.upstream );
            }
        } else {
            update( *m_nodes.at( id ), member->second.upstream, now );
        }
    }
    if( !each ) {
        log::info( "upstreams_changed",
                   { { "changed", static_cast<std::int64_t>( changed.size() ) },
                     { "before", static_cast<std::int64_t>( before ) },
                     { "now", static_cast<std::int64_t>( m_nodes.size() ) } } );
    }
    if( !changed.empty() ) {
        chooseLinks( now );
    }
}

void Fleet::remove( const std::string& id ) {
    const auto it = m_nodes.find( id );
    if( it == m_nodes.end() ) {
        return;
    }
    log::info( "upstream_gone",
               { { "upstream", id }, { "service", it->second->upstream.service } } );
    drop( *it->second );
    m_nodes.erase( it );
}

void Fleet::update( Node& node, const Upstream& listed, MonoTime now ) {
    if( isFormer( listed.born, node.upstream.born ) ) {
        return;
    }
    const bool anew = isFormer( node.upstream.born, listed.born );
    if( anew ) {
        restart( node, listed.born, now );
    }
    if( node.upstream.state != listed.state ) {
        log::info( "upstream_leaving", { { "upstream", listed.id } } );
    }
    const bool turnedCold = listed.cold > node.upstream.cold;
    node.upstream = listed;
    if( anew ) {
        setEngine( node );
    }
    if( anew || turnedCold ) {
        node.noteCold( node.upstream.cold, now );
    }
    if( node.upstream.remaining && !node.leavesAt ) {
        node.leavesAt = now + *node.upstream.remaining;
    }
}

void Fleet::restart( Node& node, Born born, MonoTime now ) {
    log::info(
        "upstream_restarted",
        { { "upstream", node.upstream.id }, { "born", born }, { "before", node.upstream.born } } );
    node.beginAnew( born, now );
}

void Fleet::add( const Upstream& upstream, MonoTime now ) {
    const auto node = std::make_shared<Node>( upstream, now );
    node->stopAt = m_evacuations.stopAt( upstream.hall );
    const double phase =
        std::ldexp( static_cast<double>( hash64( upstream.id, m_settings.vm ) ), -hashBits );
    node->cold = decide::ColdGate( phase );
    node->limit.turns = decide::Turns( phase );
    m_nodes.emplace( upstream.id, node );
    setEngine( *node );
    node->noteCold( upstream.cold, now );
}

void Fleet::setConfiguration( std::shared_ptr<const RouteTable> table, MonoTime now ) {
    m_table = std::move( table );
    for( auto& it : m_nodes ) {
        setEngine( *it.second );
    }
    chooseLinks( now );
}

SpecTextPtr Fleet::specOf( const Service& service ) {
    auto& known = m_specs[service.name];
    if( known.engine != service.engine ) {
        const bool same = known.engine && *known.engine == *service.engine;
        known.engine = service.engine;
        known.text = same ? known.text : encodeSpec( *service.engine );
    }
    return known.text;
}

void Fleet::setEngine( Node& node ) {
    const auto* service = m_table ? m_table->service( node.upstream.service ) : nullptr;
    const auto engine = service != nullptr ? service->engine : nullptr;
    if( service != nullptr && m_settings.cold.inForce() ) {
        node.coldPerS = decide::coldAllowance( m_settings.cold, service->coldPerS );
        node.coldTime = service->coldTime;
    }
    const auto gapTarget = m_table ? m_table->gapTarget( node.upstream.service ) : Millis{ 0 };
    const auto spec = engine ? specOf( *service ) : nullptr;
    const bool same = node.engine && spec && node.toldSpec == spec && node.gapTarget == gapTarget &&
                      node.sidecar && node.toldBorn == node.upstream.born;
    node.engine = engine;
    if( same ) {
        // Most configurations change routes only: sidecars need not hear of them.
        return;
    }
    node.gapTarget = gapTarget;
    if( !node.engine ) {
        stopSidecar( node );
        return;
    }
    node.prefixes.setCapacity( node.engine->cacheTokens );
    if( !node.sidecar ) {
        node.sidecar = linkTo( node.upstream );
        node.sidecar->setTraffic( { m_settings.metrics, whereOf( distanceTo( node ) ) } );
        node.sidecar->setHandlers( sidecarHandlers( node.upstream.id ) );
    }
    EngineNews news;
    news.gateway = m_settings.vm;
    news.configVersion = m_table->configuration().version;
    news.upstreamId = node.upstream.id;
    news.born = node.upstream.born;
    node.toldBorn = node.upstream.born;
    node.toldSpec = spec;
    news.gapTargetMs = gapTarget.count();
    node.sidecar->setNews( std::move( news ), spec );
}

void Fleet::adopt( std::shared_ptr<SidecarLink> link ) {
    if( m_early ) {
        m_early->stop();
    }
    m_early = std::move( link );
}

std::shared_ptr<SidecarLink> Fleet::linkTo( const Upstream& upstream ) {
    if( m_early && m_early->ip() == upstream.ip ) {
        return std::exchange( m_early, nullptr );
    }
    return std::make_shared<SidecarLink>( m_context, upstream.ip, m_settings.sidecarPort );
}

SidecarLink::Handlers Fleet::sidecarHandlers( const std::string& id ) {
    const auto find = [this, id]() -> Node* {
        const auto it = m_nodes.find( id );
        return it == m_nodes.end() ? nullptr : it->second.get();
    };
    SidecarLink::Handlers out;
    out.connected = [this, find] {
        if( auto* node = find() ) {
            node->sidecar->send( demandFor( *node, MonoClock::now() ) );
        }
    };
    out.report = [this, find]( const SidecarReport& report ) {
        if( auto* node = find() ) {
            takeReport( *node, report );
        }
    };
    out.load = [this, find]( const EngineLoad& load ) {
        if( auto* node = find() ) {
            takeLoad( *node, load );
        }
    };
    out.quarantines = [this]( const decide::QuarantineNews& news ) {
        if( m_onQuarantines ) {
            m_onQuarantines( news );
        }
    };
    out.limits = [this]( const decide::LimitNews& news ) {
        if( m_onLimits ) {
            m_onLimits( news );
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
    if( isFormer( report.born, node.upstream.born ) ) {
        return;
    }
    if( isFormer( node.upstream.born, report.born ) ) {
        restart( node, report.born, MonoClock::now() );
        setEngine( node );
    }
    if( report.reachable != node.engineReachable ) {
        log::info( report.reachable ? "engine_regained" : "engine_lost",
                   { { "upstream", node.upstream.id } } );
    }
    const auto now = MonoClock::now();
    node.takeReport( report, now );
    countGateways( node, report.load.gateways, now );
}

void Fleet::takeLoad( Node& node, const EngineLoad& load ) {
    const auto now = MonoClock::now();
    node.takeLoad( load, now );
    countGateways( node, load.gateways, now );
}

void Fleet::countGateways( const Node& node, int seen, MonoTime now ) {
    if( m_gateways.note( seen, now ) ) {
        log::info( "gateways_counted", { { "gateways", m_gateways.count() },
                                         { "upstream", node.upstream.id },
                                         { "seen", seen } } );
    }
}

std::string_view Fleet::regionOf( const Node& node ) const {
    const auto it = m_settings.regions.find( node.upstream.hall );
    return it == m_settings.regions.end() ? std::string_view{} : std::string_view( it->second );
}

Distance Fleet::distanceTo( const Node& node ) const {
    const auto own = m_settings.regions.find( m_settings.hall );
    const auto region = regionOf( node );
    const bool known = own != m_settings.regions.end() && !region.empty();
    return { node.upstream.hall != m_settings.hall, known && region != own->second };
}

bool Fleet::mayServe( const Node& node, const Need& need, MonoTime now ) const {
    if( node.upstream.service != need.service || !node.takesRequests( now ) ) {
        return false;
    }
    const bool anywhere = need.homes.route.empty() && need.homes.organisation.empty();
    return anywhere || decide::mayServe( need.homes, regionOf( node ) );
}

Fleet::Rest Fleet::restOf( const Node& node, MonoTime now ) {
    Rest out;
    const auto backoff = node.announced.backoffLeft( now );
    out.full = node.limit.fullLeft( now ).count() > 0;
    out.time = out.full ? std::max( backoff, node.limit.comeBackLeft( now ) ) : backoff;
    return out;
}

Choice Fleet::choose( const Need& need, const std::set<std::string>& excluded,
                      MonoTime now ) const {
    std::vector<Candidate> candidates;
    std::vector<NodePtr> nodes;
    // Those that would have to load the model first.
    std::vector<NodePtr> others;
    // When the first that has what it needs takes requests again, those that turned this one away
    // among them.
    std::optional<Millis> soonest;
    std::optional<Millis> soonestBackoff;
    const auto consider = [&]( const NodePtr& node ) {
        candidates.push_back( estimate( *node, need, m_pace, distanceTo( *node ), now ) );
        nodes.push_back( node );
    };
    for( const auto& [id, node] : m_nodes ) {
        if( !mayServe( *node, need, now ) ) {
            continue;
        }
        const bool holds =
            need.generation == nullptr || node->holdsModel( need.generation->model, now );
        const auto rest = restOf( *node, now );
        if( rest.time.count() > 0 || rest.full ) {
            if( holds ) {
                soonest = std::min( soonest.value_or( rest.time ), rest.time );
            }
            if( holds && !rest.full ) {
                soonestBackoff = std::min( soonestBackoff.value_or( rest.time ), rest.time );
            }
            continue;
        }
        if( excluded.contains( id ) ) {
            continue;
        }
        if( holds || node->loading.contains( need.generation->model ) ) {
            consider( node );
        } else {
            others.push_back( node );
        }
    }
    assumeUnseen( candidates );
    auto best = gateway::choose( candidates );
    // A load costs more than most waits: the many that do not hold the model are looked at only
    // where none that does is good enough.
    const bool good = best && !candidates[*best].avoided && need.generation != nullptr &&
                      beatsAnyLoad( candidates[*best], *nodes[*best], need.generation->model );
    if( !good && !others.empty() ) {
        std::for_each( others.begin(), others.end(), consider );
        assumeUnseen( candidates );
        best = gateway::choose( candidates );
    }
    // A load elsewhere that takes longer than a back-off would only push another model out. A limit
    // may last: what it leaves no room for is served elsewhere, loaded first if need be.
    const bool backoffIsNearer =
        soonestBackoff && best &&
        candidates[*best].loadMs > static_cast<double>( soonestBackoff->count() );
    Choice out;
    out.candidates = candidates.size();
    if( !best || backoffIsNearer ) {
        out.rest = ( backoffIsNearer ? soonestBackoff : soonest ).value_or( Millis{ 0 } );
        out.atLimit = soonest && soonest != soonestBackoff && !backoffIsNearer;
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

bool Fleet::mayUseStore( const Node& node, const std::string& model, MonoTime now ) {
    // A process that has just started does not know what was allowed before.
    if( now - m_started < m_settings.ceilingWindow ) {
        return false;
    }
    const int share =
        storeShare( node.engine->storeLoadsPerS, m_settings.ceilingWindow, gateways() );
    return m_grants.take( node.upstream.id, model, share, now );
}

AskedPrompt Fleet::askedPrompt( const Need& need ) const {
    AskedPrompt out;
    const auto& generation = *need.generation;
    out.tokens = generation.promptTokens;
    out.msPerToken = m_pace.readingMs( generation.model, 1 );
    for( std::size_t n = 0; n < need.prefix.size(); ++n ) {
        out.parts.push_back( { need.prefix[n], generation.parts[n].tokens } );
    }
    return out;
}

void Fleet::handBack( const Node& node, const EnsureAnswer& leave ) {
    if( node.sidecar ) {
        node.sidecar->cancel( leave.number );
    }
}

net::Task<EnsureAnswer> Fleet::ensure( NodePtr node, EnsureRequest request ) {
    const auto link = node->sidecar;
    if( !link ) {
        co_return EnsureAnswer{};
    }
    const auto now = MonoClock::now();
    request.upstreamId = node->upstream.id;
    request.coldMs = node->cold.left( now ).count();
    request.coldPerS = node->coldPerS;
    const bool near = node->holdsModel( request.model, now ) || hasWeights( *node, request.model );
    request.fromStore = !near && node->engine && mayUseStore( *node, request.model, now );
    const bool loads = !node->holdsModel( request.model, now ) && ( near || request.fromStore );
    const std::string name = request.model;
    const bool granted = request.fromStore;
    const bool held = node->holdsModel( name, now );
    const bool first = loads && node->loading.emplace( name, now ).second;
    const auto answer = co_await link->ensure( std::move( request ) );
    if( first ) {
        node->loading.erase( name );
    }
    if( granted && answer.outcome == EnsureOutcome::needStore ) {
        // Its engine was busy until the grant was too old.
        m_grants.release( node->upstream.id, name );
    }
    const auto answered = MonoClock::now();
    node->takeReadingWait( static_cast<double>( answer.waitMs ), answered );
    const auto demand = m_demand.find( name );
    if( held && answer.modelWorkPerS >= 0 && demand != m_demand.end() ) {
        demand->second.fleet.workPerS = answer.modelWorkPerS;
        demand->second.fleet.toldAt = answered;
    }
    co_return answer;
}

} // namespace coursehead::gateway
