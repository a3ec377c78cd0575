// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/fleet.hpp"

#include "coursehead/kernel/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace coursehead::gateway {

namespace {

//! A sidecar's count of gateways is used for this long: reports are late where the link is full.
constexpr Millis gatewaysSeenHold{ 5000 };
//! Number of gateways assumed until a sidecar reports it.
constexpr int assumedGateways = 8;

std::string_view distanceLabel( Distance distance ) {
    if( distance.otherRegion ) {
        return "other_region";
    }
    return distance.otherHall ? "other_hall" : "same_hall";
}

} // namespace

Fleet::Fleet( net::asio::io_context& context, RandomSource& random, FleetSettings settings )
    : m_context( context ), m_random( random ), m_settings( std::move( settings ) ),
      m_grants( m_settings.ceilingWindow + storeGrantLifetime ), m_started( MonoClock::now() ),
      m_lastTick( m_started ),
      m_gateways( assumedGateways, m_settings.ceilingWindow + storeGrantLifetime ),
      m_retryingGateways( assumedGateways, decide::retryGatewaysHold ) {}

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

void Fleet::setConfiguration( std::shared_ptr<const RouteTable> table, MonoTime now ) {
    m_table = std::move( table );
    for( auto& it : m_nodes ) {
        setEngine( *it.second );
    }
    chooseLinks( now );
}

EncodedSpecPtr Fleet::specOf( const Service& service ) {
    auto& cached = m_specs[service.name];
    if( cached.engine != service.engine ) {
        const bool unchanged = cached.engine && *cached.engine == *service.engine;
        cached.engine = service.engine;
        cached.text = unchanged ? cached.text : encodeSpec( *service.engine );
    }
    return cached.text;
}

void Fleet::setEngine( Node& node ) {
    const auto* service = m_table ? m_table->service( node.upstream.service ) : nullptr;
    const auto engine = service != nullptr ? service->engine : nullptr;
    if( service != nullptr && m_settings.cold.inForce() ) {
        node.coldPerS = decide::coldAllowance( m_settings.cold, service->coldPerS );
        node.coldDuration = service->coldDuration;
    }
    const auto gapTarget = m_table ? m_table->gapTarget( node.upstream.service ) : Millis{ 0 };
    const auto spec = engine ? specOf( *service ) : nullptr;
    const bool unchanged = node.engine && spec && node.specSentToSidecar == spec &&
                           node.gapTarget == gapTarget && node.sidecar &&
                           node.bornSentToSidecar == node.upstream.born;
    node.engine = engine;
    if( unchanged ) {
        // Most configuration changes concern only routes, which sidecars do not need.
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
        node.sidecar->setTraffic( { m_settings.metrics, distanceLabel( distanceTo( node ) ) } );
        node.sidecar->setHandlers( sidecarHandlers( node.upstream.id ) );
    }
    EngineUpdate update;
    update.gateway = m_settings.vm;
    update.configVersion = m_table->configuration().version;
    update.upstreamId = node.upstream.id;
    update.born = node.upstream.born;
    node.bornSentToSidecar = node.upstream.born;
    node.specSentToSidecar = spec;
    update.gapTargetMs = gapTarget.count();
    update.hall = m_settings.hall;
    node.sidecar->announceEngine( std::move( update ), spec );
}

void Fleet::adopt( std::shared_ptr<SidecarLink> link ) {
    if( m_unusedLink ) {
        m_unusedLink->stop();
    }
    m_unusedLink = std::move( link );
}

std::shared_ptr<SidecarLink> Fleet::linkTo( const Upstream& upstream ) {
    if( m_unusedLink && m_unusedLink->ip() == upstream.ip ) {
        return std::exchange( m_unusedLink, nullptr );
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
            if( m_onSidecarConnected ) {
                m_onSidecarConnected( node->sidecar );
            }
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
    out.quarantines = [this]( const decide::QuarantineUpdate& update ) {
        if( m_onQuarantineUpdate ) {
            m_onQuarantineUpdate( update );
        }
    };
    out.cleared = [this]( const decide::PoisonCleared& cleared ) {
        if( m_onPoisonCleared ) {
            m_onPoisonCleared( cleared );
        }
    };
    out.limits = [this]( const decide::LimitUpdate& update ) {
        if( m_onLimitUpdate ) {
            m_onLimitUpdate( update );
        }
    };
    out.origins = [this]( const decide::OriginUpdate& update ) {
        if( m_onOriginUpdate ) {
            m_onOriginUpdate( update );
        }
    };
    out.storeUpdate = [this, id]( const StoreUpdate& update ) {
        if( m_onStoreUpdate ) {
            m_onStoreUpdate( id, update );
        }
    };
    return out;
}

void Fleet::takeReport( Node& node, const SidecarReport& report ) {
    if( isOlderStart( report.born, node.upstream.born ) ) {
        return;
    }
    if( isOlderStart( node.upstream.born, report.born ) ) {
        restart( node, report.born, MonoClock::now() );
        setEngine( node );
    }
    if( report.reachable != node.engineReachable ) {
        log::info( report.reachable ? "engine_regained" : "engine_lost",
                   { { "upstream", node.upstream.id } } );
    }
    const auto now = MonoClock::now();
    node.takeReport( report, now );
    noteGatewayCount( node, report.load.gateways, now );
}

void Fleet::takeLoad( Node& node, const EngineLoad& load ) {
    const auto now = MonoClock::now();
    node.takeLoad( load, now );
    noteGatewayCount( node, load.gateways, now );
}

void Fleet::noteGatewayCount( const Node& node, int seen, MonoTime now ) {
    m_retryingGateways.note( seen, now );
    if( m_gateways.note( seen, now ) ) {
        log::info( "gateways_counted", { { "gateways", m_gateways.count() },
                                         { "upstream", node.upstream.id },
                                         { "seen", seen } } );
    }
}

decide::GatewaysSeen Fleet::gatewaysSeen( MonoTime now ) const {
    decide::GatewaysSeen out;
    for( const auto& it : m_nodes ) {
        const auto& node = *it.second;
        if( now - node.reportAt > gatewaysSeenHold ) {
            continue;
        }
        for( const auto& hall : node.gatewayHalls ) {
            if( hall.hall == m_settings.hall ) {
                ++out.sidecars;
                out.connected += hall.connected;
                out.atCapacity += hall.atCapacity;
            }
        }
    }
    return out;
}

void Fleet::cancelModelWaits() {
    for( auto& it : m_nodes ) {
        if( it.second->sidecar ) {
            it.second->sidecar->failWaiters();
        }
    }
}

bool Fleet::mayUseStore( const Node& node, const std::string& model, MonoTime now ) {
    // A process that has just started does not know which loads were permitted before.
    if( now - m_started < m_settings.ceilingWindow ) {
        return false;
    }
    const int share =
        storeShare( node.engine->storeLoadsPerS, m_settings.ceilingWindow, gateways() );
    return m_grants.take( node.upstream.id, model, share, now );
}

PendingPrompt Fleet::describePrompt( const RequestNeeds& need ) const {
    PendingPrompt out;
    const auto& generation = *need.generation;
    out.tokens = generation.promptTokens;
    out.maxTokens = generation.maxTokens;
    out.msPerToken = m_pace.readingMs( generation.model, 1 );
    for( std::size_t n = 0; n < need.prefix.size(); ++n ) {
        out.parts.push_back( { need.prefix[n], generation.parts[n].tokens } );
    }
    return out;
}

void Fleet::returnPermit( const Node& node, const EnsureAnswer& permit ) {
    if( node.sidecar ) {
        node.sidecar->cancel( permit.number );
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
    const bool weightsAvailable =
        node->holdsModel( request.model, now ) || hasLocalWeights( *node, request.model );
    request.fromStore =
        !weightsAvailable && node->engine && mayUseStore( *node, request.model, now );
    const bool needsLoad =
        !node->holdsModel( request.model, now ) && ( weightsAvailable || request.fromStore );
    const std::string name = request.model;
    const bool storeGranted = request.fromStore;
    const bool heldAtStart = node->holdsModel( name, now );
    const bool recordsLoad = needsLoad && node->loading.emplace( name, now ).second;
    const auto answer = co_await link->ensure( std::move( request ) );
    if( recordsLoad ) {
        node->loading.erase( name );
    }
    if( storeGranted && answer.outcome == EnsureOutcome::needsWeightStore ) {
        // The engine was busy until the grant expired.
        m_grants.release( node->upstream.id, name );
    }
    const auto answered = MonoClock::now();
    // Other answers say when a model is there, not how long the engine reads.
    if( answer.outcome == EnsureOutcome::ready || answer.outcome == EnsureOutcome::tooLate ) {
        node->takeReadingWait( static_cast<double>( answer.waitMs ), answered );
    }
    const auto demand = m_demand.find( name );
    if( heldAtStart && answer.modelWorkPerS >= 0 && demand != m_demand.end() ) {
        demand->second.fleet.workPerS = answer.modelWorkPerS;
        demand->second.fleet.reportedAt = answered;
    }
    co_return answer;
}

} // namespace coursehead::gateway
