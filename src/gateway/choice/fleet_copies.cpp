// SPDX-License-Identifier: BSL-1.0
// Adds replicas of models under high load, and copies of models from halls that are evacuated.
#include "coursehead/kernel/log.hpp"
#include "gateway/choice/fleet.hpp"
#include "kernel/hash.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace coursehead::gateway {

namespace {

//! Time limit of a load that no request waits for. The longest load from the weight store takes
//! half of this.
constexpr Millis replicaLoadTimeout{ 10000 };

} // namespace

void Fleet::setEvacuations( const std::set<std::string>& halls, MonoTime now ) {
    for( const auto& it : m_evacuations.missingFrom( halls ) ) {
        endEvacuation( it, now );
    }
    for( const auto& it : halls ) {
        startEvacuation( it, false, now );
    }
}

void Fleet::setEvacuation( const std::string& hall, bool evacuated, MonoTime now ) {
    if( evacuated ) {
        startEvacuation( hall, true, now );
    } else {
        endEvacuation( hall, now );
    }
}

void Fleet::startEvacuation( const std::string& hall, bool justOrdered, MonoTime now ) {
    if( !m_evacuations.begin( hall, justOrdered, m_settings.evacuation, now ) ) {
        return;
    }
    const auto stop = m_evacuations.stopAt( hall );
    std::int64_t upstreams = 0;
    for( const auto& it : m_nodes ) {
        if( it.second->upstream.hall == hall ) {
            it.second->stopAt = stop;
            ++upstreams;
        }
    }
    log::info( "evacuation_begins",
               { { "hall", hall },
                 { "known", m_settings.regions.contains( hall ) ? "yes" : "no" },
                 { "upstreams", upstreams },
                 { "stop_in_ms", millisBetween( now, *stop ) } } );
    addCopiesOutside( hall, now );
}

void Fleet::endEvacuation( const std::string& hall, MonoTime now ) {
    if( !m_evacuations.end( hall ) ) {
        return;
    }
    log::info( "evacuation_ends", { { "hall", hall } } );
    for( const auto& it : m_nodes ) {
        if( it.second->upstream.hall == hall ) {
            it.second->stopAt.reset();
            it.second->noteCold( it.second->coldDuration, now );
        }
    }
}

void Fleet::addCopiesOutside( const std::string& hall, MonoTime now ) {
    std::set<std::string> inside;
    std::set<std::string> elsewhere;
    for( const auto& it : m_nodes ) {
        const bool evacuated = it.second->stopAt.has_value();
        for( const auto& resident : it.second->residents( now ) ) {
            ( evacuated ? inside : elsewhere ).insert( resident.model );
        }
    }
    // Models with the highest demand first, as the weight store's rate does not allow all loads to
    // start at once.
    std::vector<std::pair<double, std::string>> wanted;
    for( const auto& [model, demand] : m_demand ) {
        const bool heldOnlyInside = inside.contains( model ) && !elsewhere.contains( model );
        if( heldOnlyInside && demand.perS > 0 ) {
            wanted.emplace_back( -demand.perS, model );
        }
    }
    std::sort( wanted.begin(), wanted.end() );
    for( const auto& [negatedDemand, model] : wanted ) {
        const auto& demand = m_demand.at( model );
        addReplica( demand.service, model, decide::copyLoad( demand.fleet ), now );
    }
    log::info( "evacuation_copies",
               { { "hall", hall }, { "models", static_cast<std::int64_t>( wanted.size() ) } } );
}

void Fleet::addReplicas( const std::map<std::string, int>& copies, MonoTime now ) {
    for( auto& [model, demand] : m_demand ) {
        const auto it = copies.find( model );
        demand.fleet.copies = it == copies.end() ? 0 : it->second;
        if( decide::shouldAddReplica( demand.fleet, gateways(), m_random.unit(), now ) ) {
            demand.fleet.lastReplica = now;
            addReplica( demand.service, model, decide::copyLoad( demand.fleet ), now );
        }
    }
}

void Fleet::addReplica( const std::string& service, const std::string& model, double load,
                        MonoTime now ) {
    Generation generation;
    generation.model = model;
    RequestNeeds need;
    need.service = service;
    need.generation = &generation;
    // Time to read a prompt of the usual size: the difference between engines counts once, so that
    // of those which could load as soon a fast one is taken.
    const auto demand = m_demand.find( model );
    const bool asked = demand != m_demand.end() && demand->second.perS > 0;
    const double readingMs = asked ? demand->second.workPerS / demand->second.perS : 0;
    std::vector<Candidate> candidates;
    std::vector<NodePtr> nodes;
    for( const auto& [id, node] : m_nodes ) {
        const bool eligible = node->upstream.service == service && node->engine &&
                              node->takesRequests() && !node->stopAt &&
                              !node->holdsModel( model, now );
        if( eligible ) {
            auto it = estimate( *node, need, m_pace, distanceTo( *node ), now );
            it.affinity = hash64( id, model );
            it.loadMs += readingMs * ( it.timeFactor - 1 );
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

bool Fleet::loadUnderWay( const std::string& model ) const {
    return std::any_of( m_nodes.begin(), m_nodes.end(), [&model]( const auto& it ) {
        return it.second->loading.contains( model );
    } );
}

void Fleet::loadForNext( const NodePtr& node, const std::string& model, double loadMs,
                         MonoTime now ) {
    const Millis load{ static_cast<std::int64_t>( loadMs ) };
    const bool due = decide::noteShortage( m_shortages[model], load, now );
    if( !due || loadUnderWay( model ) ) {
        return;
    }
    log::info(
        "load_for_next",
        { { "model", model }, { "upstream", node->upstream.id }, { "load_ms", load.count() } } );
    if( m_settings.metrics != nullptr ) {
        m_settings.metrics->count( "background_loads" );
    }
    startLoad( node, model );
}

void Fleet::startLoad( const NodePtr& node, const std::string& model ) {
    if( node->loading.contains( model ) ) {
        return;
    }
    auto task = [this, node, name = model]() -> net::Task<> {
        EnsureRequest request;
        request.model = name;
        request.limitMs = replicaLoadTimeout.count();
        NodePtr at = node;
        co_await ensure( std::move( at ), std::move( request ) );
    };
    net::asio::co_spawn( m_context, std::move( task ), net::asio::detached );
}

} // namespace coursehead::gateway
