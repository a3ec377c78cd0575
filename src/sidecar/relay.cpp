// SPDX-License-Identifier: BSL-1.0
#include "sidecar/relay.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/links/relay_times.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace coursehead::sidecar {

using gateway::StorePart;
using gateway::StoreUpdate;
using gateway::Upstream;

namespace {

//! After this many failed writes a relay gives up rewriting the quarantines that a restored copy
//! lacks. Every relay rewrites them, so each one tries for a few seconds only.
constexpr int maxWriteTries = 10;
constexpr Millis writeRetryDelay{ 500 };
constexpr Millis writeCallLimit{ 1000 };

//! True when the upstream stays cold for longer than before; a cold time that only runs down is not
//! sent.
bool coldTimeGrew( const Upstream& before, const Upstream& now ) {
    return now.cold > before.cold;
}

//! Compares the models only. Most gateways are not connected to an engine's sidecar, and learn from
//! the relay which models it holds. Adapters change all the time, and load quickly.
bool holdsSameModels( const Upstream& a, const Upstream& b ) {
    return std::equal( a.residents.begin(), a.residents.end(), b.residents.begin(),
                       b.residents.end(),
                       []( const auto& x, const auto& y ) { return x.model == y.model; } );
}

//! True when a change has to be sent to gateways.
bool needsUpdate( const Upstream& a, const Upstream& b ) {
    return a.created != b.created || a.born != b.born || a.service != b.service || a.ip != b.ip ||
           a.port != b.port || a.hall != b.hall || a.slots != b.slots || a.state != b.state ||
           a.remaining != b.remaining || a.softwareVersion != b.softwareVersion ||
           !holdsSameModels( a, b ) || coldTimeGrew( a, b );
}

//! The store's kind of object for a part.
std::string_view kindOf( StorePart part ) {
    switch( part ) {
    case StorePart::upstreams:
        return platform::upstreamKind;
    case StorePart::configuration:
        return platform::configurationKind;
    case StorePart::quarantines:
        return platform::quarantineKind;
    case StorePart::evacuations:
        return platform::evacuationKind;
    }
    return {};
}

//! Adds an evacuation by its name, or a quarantine with the time that is left of it now.
void addObject( StoreUpdate& update, const platform::StoreObject& object ) {
    if( update.part == StorePart::evacuations ) {
        update.emptied.push_back( object.name );
        return;
    }
    std::string problem;
    const auto quarantine = platform::readQuarantine( object, systemClock().wall(), problem );
    if( quarantine && decide::mustBeKnown( *quarantine ) ) {
        update.quarantines.push_back( *quarantine );
    }
}

} // namespace

Relay::Relay( net::asio::io_context& context, const platform::NodeSettings& settings,
              RandomSource& random, metrics::Metrics& metrics )
    : m_context( context ), m_settings( settings ), m_random( random ), m_metrics( metrics ) {}

void Relay::subscribe( const void* connection, Send send ) {
    auto& subscriber = m_subscribers[connection];
    subscriber = { std::move( send ), {} };
    if( m_parts.empty() ) {
        log::info( "relay_started", {} );
        startPart( StorePart::upstreams );
        startPart( StorePart::configuration );
        startPart( StorePart::quarantines );
        startPart( StorePart::evacuations );
        return;
    }
    for( const auto& it : m_parts ) {
        if( it->listed && it->reachable ) {
            subscriber.snapshotSent.insert( it->part );
            subscriber.send( gateway::encode( gateway::Message( snapshotOf( *it ) ) ) );
        }
    }
}

void Relay::unsubscribe( const void* connection ) {
    if( m_subscribers.erase( connection ) == 0 || !m_subscribers.empty() ) {
        return;
    }
    log::info( "relay_ended", {} );
    for( const auto& it : m_parts ) {
        it->follower->stop();
    }
    m_parts.clear();
}

void Relay::startPart( StorePart kind ) {
    const auto part = std::make_shared<WatchedPart>();
    part->part = kind;
    gateway::FollowerSettings settings;
    settings.kind = std::string( kindOf( kind ) );
    settings.metrics = &m_metrics;
    if( kind == StorePart::upstreams ) {
        settings.wait = gateway::relayWatchWait( m_settings.bounds );
        settings.pause = gateway::relayCallPause( m_settings.bounds );
    } else {
        settings.wait = gateway::watchWait( m_settings.bounds );
    }
    part->follower = std::make_unique<gateway::Follower>(
        m_context, m_settings.store, std::move( settings ), m_random, handlersFor( part ) );
    m_parts.push_back( part );
    auto task = [part]() -> net::Task<> {
        co_await part->follower->run();
    };
    net::asio::co_spawn( m_context, std::move( task ), net::asio::detached );
}

gateway::FollowerHandlers Relay::handlersFor( const PartPtr& part ) {
    // The part owns its follower, and the follower these handlers: a strong pointer to the part
    // would be a reference cycle.
    const std::weak_ptr<WatchedPart> weak = part;
    const auto current = [this, weak]() -> WatchedPart* {
        const auto it = weak.lock();
        const bool followed =
            it && std::find( m_parts.begin(), m_parts.end(), it ) != m_parts.end();
        return followed ? it.get() : nullptr;
    };
    gateway::FollowerHandlers out;
    out.listing = [this, current]( const std::vector<platform::StoreObject>& objects ) {
        if( auto* it = current() ) {
            applyListing( *it, objects );
        }
    };
    out.restored = [current] {
        if( auto* it = current() ) {
            it->restored = true;
        }
    };
    out.event = [current]( const platform::StoreEvent& event ) {
        auto* it = current();
        if( it != nullptr && event.removed ) {
            remove( *it, event.object.name );
        } else if( it != nullptr ) {
            put( *it, event.object );
        }
    };
    out.reachable = [this, current]( bool reachable ) {
        auto* it = current();
        if( it != nullptr ) {
            it->reachable = reachable;
            if( !reachable ) {
                publishUnreachable( *it );
            }
        }
    };
    out.synced = [this, current]( decide::StorePosition position ) {
        auto* it = current();
        if( it == nullptr ) {
            return;
        }
        if( position.era != it->position.era ) {
            // Changes do not apply to a snapshot of another era: subscribers need a new snapshot.
            for( auto& subscriber : m_subscribers ) {
                subscriber.second.snapshotSent.erase( it->part );
            }
        }
        it->position = position;
        publish( *it );
    };
    return out;
}

void Relay::applyListing( WatchedPart& part, const std::vector<platform::StoreObject>& objects ) {
    std::set<std::string> missing;
    for( const auto& known : part.upstreams ) {
        missing.insert( known.first );
    }
    for( const auto& known : part.objects ) {
        missing.insert( known.first );
    }
    for( const auto& object : objects ) {
        missing.erase( object.name );
        put( part, object );
    }
    const bool lost = std::exchange( part.restored, false ) && !missing.empty();
    if( lost && part.part == StorePart::quarantines ) {
        // Only sidecars write quarantines, so those that the restored copy lacks are still in
        // force.
        std::vector<platform::StoreObject> toRewrite;
        toRewrite.reserve( missing.size() );
        for( const auto& name : missing ) {
            toRewrite.push_back( part.objects.at( name ) );
        }
        net::start( m_context, rewriteQuarantines( std::move( toRewrite ) ), "quarantines" );
        missing.clear();
    }
    for( const auto& name : missing ) {
        remove( part, name );
    }
    part.listed = true;
}

net::Task<> Relay::rewriteQuarantines( std::vector<platform::StoreObject> objects ) {
    platform::StoreClient client( m_context, m_settings.store, &m_metrics );
    int tries = 0;
    while( !objects.empty() && tries < maxWriteTries ) {
        std::string body = platform::encodeObject( objects.back() );
        const auto status =
            co_await client.create( platform::quarantineKind, std::move( body ), writeCallLimit );
        if( status == platform::StoreStatus::ok ) {
            objects.pop_back();
            continue;
        }
        ++tries;
        co_await net::pause( m_context, writeRetryDelay );
    }
    if( !objects.empty() ) {
        log::warn( "quarantines_unwritten",
                   { { "count", static_cast<std::int64_t>( objects.size() ) } } );
    }
}

void Relay::put( WatchedPart& part, const platform::StoreObject& object ) {
    if( part.part == StorePart::configuration ) {
        if( auto text = part.reader.configuration( object ) ) {
            part.configuration = std::move( *text );
            part.configurationChanged = true;
        }
        return;
    }
    if( part.part != StorePart::upstreams ) {
        if( part.part == StorePart::quarantines && !part.reader.quarantine( object ) ) {
            return;
        }
        part.objects[object.name] = object;
        part.changed.insert( object.name );
        part.removed.erase( object.name );
        return;
    }
    auto upstream = part.reader.upstream( object );
    if( !upstream ) {
        // The entry was overwritten, and no longer describes an upstream.
        remove( part, object.name );
        return;
    }
    const auto it = part.upstreams.find( object.name );
    if( it == part.upstreams.end() || needsUpdate( it->second, *upstream ) ) {
        part.changed.insert( object.name );
    }
    part.removed.erase( object.name );
    part.upstreams[object.name] = std::move( *upstream );
}

void Relay::remove( WatchedPart& part, const std::string& name ) {
    if( part.upstreams.erase( name ) + part.objects.erase( name ) > 0 ) {
        part.changed.erase( name );
        part.removed.insert( name );
    }
}

StoreUpdate Relay::snapshotOf( const WatchedPart& part ) {
    StoreUpdate out;
    out.part = part.part;
    out.position = part.position;
    out.whole = true;
    for( const auto& it : part.upstreams ) {
        out.upstreams.push_back( it.second );
    }
    for( const auto& it : part.objects ) {
        addObject( out, it.second );
    }
    out.configuration = part.configuration;
    return out;
}

StoreUpdate Relay::changesOf( const WatchedPart& part ) {
    StoreUpdate out;
    out.part = part.part;
    out.position = part.position;
    for( const auto& it : part.changed ) {
        if( part.part != StorePart::upstreams ) {
            addObject( out, part.objects.at( it ) );
        } else {
            out.upstreams.push_back( part.upstreams.at( it ) );
        }
    }
    out.gone.assign( part.removed.begin(), part.removed.end() );
    if( part.configurationChanged ) {
        out.configuration = part.configuration;
    }
    return out;
}

void Relay::publish( WatchedPart& part ) {
    const auto update = gateway::encode( gateway::Message( changesOf( part ) ) );
    std::string snapshot;
    for( auto& [connection, subscriber] : m_subscribers ) {
        if( !subscriber.snapshotSent.insert( part.part ).second ) {
            subscriber.send( update );
            continue;
        }
        if( snapshot.empty() ) {
            snapshot = gateway::encode( gateway::Message( snapshotOf( part ) ) );
        }
        subscriber.send( snapshot );
    }
    part.changed.clear();
    part.removed.clear();
    part.configurationChanged = false;
}

void Relay::publishUnreachable( WatchedPart& part ) {
    StoreUpdate update;
    update.part = part.part;
    update.position = part.position;
    update.reachable = false;
    const auto encoded = gateway::encode( gateway::Message( std::move( update ) ) );
    for( auto& it : m_subscribers ) {
        it.second.send( encoded );
    }
}

} // namespace coursehead::sidecar
