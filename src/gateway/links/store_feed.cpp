// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/store_feed.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/links/relay_times.hpp"
#include "gateway/links/store_objects.hpp"

namespace coursehead::gateway {

namespace {

//! Pause between watch calls on upstreams, as a fraction of the drain bound, the time within which
//! a gateway must stop sending to a leaving upstream. Entries of upstreams change all the time and
//! each watch call costs money, so changes are received in batches.
constexpr double batchPauseFraction = 0.4;
//! After the store is restored from a copy, its operators write again within seconds what the copy
//! lacks. Until then a hall under evacuation stays evacuated; otherwise requests (8 of 24 in one
//! case) would be sent there.
constexpr Millis rewriteAfterRestore{ 10000 };

FollowerSettings followSettings( const platform::NodeSettings& settings, std::string_view kind,
                                 metrics::Metrics& metrics ) {
    FollowerSettings out;
    out.metrics = &metrics;
    out.kind = std::string( kind );
    out.wait = watchWait( settings.bounds );
    return out;
}

FollowerSettings upstreamSettings( const platform::NodeSettings& settings,
                                   metrics::Metrics& metrics ) {
    auto out = followSettings( settings, platform::upstreamKind, metrics );
    out.pause = fractionOf( settings.bounds.drain, batchPauseFraction );
    return out;
}

} // namespace

StoreFeed::StoreFeed( net::asio::io_context& context, const platform::NodeSettings& settings,
                      RandomSource& random, metrics::Metrics& metrics, Fleet& fleet,
                      Registry& registry, StoreFeedHandlers handlers )
    : m_context( context ), m_settings( settings ), m_fleet( fleet ), m_registry( registry ),
      m_handlers( std::move( handlers ) ),
      m_configuration( context, settings.store,
                       followSettings( settings, platform::configurationKind, metrics ), random,
                       configurationHandlers() ),
      m_upstreams( context, settings.store, upstreamSettings( settings, metrics ), random,
                   upstreamHandlers() ),
      m_quarantines( context, settings.store,
                     followSettings( settings, platform::quarantineKind, metrics ), random,
                     quarantineHandlers() ),
      m_evacuations( context, settings.store,
                     followSettings( settings, platform::evacuationKind, metrics ), random,
                     evacuationHandlers() ),
      m_store( context, settings.store, &metrics ) {}

void StoreFeed::start() {
    m_fleet.onStoreUpdate( [this]( const std::string& upstreamId, const StoreUpdate& update ) {
        applyUpdate( upstreamId, update );
    } );
    net::start( m_context, startFollowing(), "store feed" );
}

FollowerHandlers StoreFeed::configurationHandlers() {
    FollowerHandlers out;
    out.listing = [this]( const std::vector<platform::StoreObject>& objects ) {
        for( const auto& it : objects ) {
            applyConfiguration( it );
        }
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        if( !event.removed ) {
            applyConfiguration( event.object );
        }
    };
    out.reachable = []( bool ) {
    };
    return out;
}

void StoreFeed::applyConfiguration( const platform::StoreObject& object ) {
    if( const auto text = m_reader.configuration( object ) ) {
        m_handlers.configuration( *text );
    }
}

FollowerHandlers StoreFeed::quarantineHandlers() {
    FollowerHandlers out;
    out.listing = [this]( const std::vector<platform::StoreObject>& objects ) {
        for( const auto& it : objects ) {
            applyQuarantine( it );
        }
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        if( event.removed ) {
            applyQuarantineRemoval( event.object.name );
        } else {
            applyQuarantine( event.object );
        }
    };
    out.reachable = []( bool ) {
    };
    return out;
}

FollowerHandlers StoreFeed::evacuationHandlers() {
    FollowerHandlers out;
    out.listing = [this]( const std::vector<platform::StoreObject>& objects ) {
        std::set<std::string> halls;
        for( const auto& it : objects ) {
            halls.insert( it.name );
        }
        applyEvacuations( std::move( halls ), MonoClock::now() );
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        applyEvacuation( event.object.name, !event.removed );
    };
    out.reachable = []( bool ) {
    };
    out.restored = [this] {
        m_heldHalls.insert( m_evacuatedHalls.begin(), m_evacuatedHalls.end() );
        m_heldUntil = MonoClock::now() + rewriteAfterRestore;
    };
    return out;
}

void StoreFeed::applyEvacuations( std::set<std::string> halls, MonoTime now ) {
    m_evacuatedHalls = std::move( halls );
    if( now >= m_heldUntil ) {
        m_heldHalls.clear();
    }
    auto all = m_heldHalls;
    all.insert( m_evacuatedHalls.begin(), m_evacuatedHalls.end() );
    m_handlers.evacuations( all );
}

void StoreFeed::applyEvacuation( const std::string& hall, bool evacuated ) {
    // The evacuation was written again, or ended, after the restore.
    m_heldHalls.erase( hall );
    if( evacuated ) {
        m_evacuatedHalls.insert( hall );
    } else {
        m_evacuatedHalls.erase( hall );
    }
    m_handlers.evacuation( hall, evacuated );
}

void StoreFeed::expireHeldHalls( MonoTime now ) {
    if( m_heldHalls.empty() || now < m_heldUntil ) {
        return;
    }
    log::info( "evacuations_not_written_again",
               { { "halls", static_cast<std::int64_t>( m_heldHalls.size() ) } } );
    applyEvacuations( m_evacuatedHalls, now );
}

void StoreFeed::applyEvacuations( const StoreUpdate& update ) {
    if( update.whole ) {
        applyEvacuations( { update.emptied.begin(), update.emptied.end() }, MonoClock::now() );
        return;
    }
    for( const auto& it : update.emptied ) {
        applyEvacuation( it, true );
    }
    for( const auto& it : update.gone ) {
        applyEvacuation( it, false );
    }
}

void StoreFeed::applyQuarantine( const platform::StoreObject& object ) {
    const auto quarantine = m_reader.quarantine( object );
    if( quarantine && decide::mustBeKnown( *quarantine ) ) {
        m_handlers.quarantines( std::span( &*quarantine, 1 ) );
    }
}

void StoreFeed::applyQuarantineRemoval( std::string_view name ) {
    const auto removed = platform::partQuarantineOf( name );
    if( removed ) {
        m_handlers.partCleared( *removed );
    }
}

FollowerHandlers StoreFeed::upstreamHandlers() {
    FollowerHandlers out;
    out.listing = [this]( const std::vector<platform::StoreObject>& objects ) {
        std::vector<Upstream> upstreams;
        for( const auto& it : objects ) {
            if( auto upstream = m_reader.upstream( it ) ) {
                upstreams.push_back( std::move( *upstream ) );
            }
        }
        applyUpstreamListing( std::move( upstreams ) );
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        const auto now = MonoClock::now();
        auto upstream = event.removed ? std::nullopt : m_reader.upstream( event.object );
        if( upstream ) {
            m_registry.put( std::move( *upstream ), now );
        } else {
            // The entry was removed, or overwritten with something that is no valid upstream.
            m_registry.remove( event.object.name, now );
        }
        m_handlers.upstreams();
    };
    out.reachable = [this]( bool reachable ) {
        m_registry.storeReachable( reachable, MonoClock::now() );
    };
    out.restored = [this] {
        m_registry.storeRestored( MonoClock::now() );
    };
    return out;
}

void StoreFeed::applyUpstreamListing( std::vector<Upstream> upstreams ) {
    m_upstreamsListed = true;
    m_registry.applyListing( std::move( upstreams ), MonoClock::now() );
    m_handlers.upstreams();
}

void StoreFeed::applyUpdate( const std::string& upstreamId, const StoreUpdate& update ) {
    if( upstreamId != m_relay ) {
        return;
    }
    const auto now = MonoClock::now();
    if( !update.reachable ) {
        dropRelay( "without the store", Millis{ 0 }, now );
        return;
    }
    if( update.whole ) {
        m_receivedParts.insert( update.part );
    }
    if( update.part == StorePart::upstreams ) {
        m_lastRelayMessage = now;
        applyUpstreams( update );
        return;
    }
    // A live relay reports a store that doesn't answer, and its silence shows in the messages on
    // upstreams, so parts that rarely change need no time limit of their own.
    const auto until = MonoTime::max();
    if( update.part == StorePart::quarantines ) {
        if( m_quarantines.acceptRelayed( update.position, update.whole, until ) ) {
            m_handlers.quarantines( update.quarantines );
            for( const auto& it : update.gone ) {
                applyQuarantineRemoval( it );
            }
        }
        return;
    }
    if( update.part == StorePart::evacuations ) {
        if( m_evacuations.acceptRelayed( update.position, update.whole, until ) ) {
            applyEvacuations( update );
        }
        return;
    }
    if( m_configuration.acceptRelayed( update.position, update.whole, until ) &&
        !update.configuration.empty() ) {
        m_handlers.configuration( update.configuration );
    }
}

void StoreFeed::applyUpstreams( const StoreUpdate& update ) {
    if( !update.whole && !m_upstreamsReceived ) {
        return;
    }
    m_upstreamsReceived = true;
    const auto now = MonoClock::now();
    const auto until = now + relaySilenceLimit( m_settings.bounds );
    // Changes that are dropped because this gateway knows them already leave no gap: later changes
    // follow on what it knows.
    if( !m_upstreams.acceptRelayed( update.position, update.whole, until ) ) {
        return;
    }
    if( update.whole ) {
        applyUpstreamListing( update.upstreams );
        return;
    }
    for( const auto& it : update.upstreams ) {
        m_registry.put( it, now );
    }
    for( const auto& it : update.gone ) {
        m_registry.remove( it, now );
    }
    if( !update.upstreams.empty() || !update.gone.empty() ) {
        m_handlers.upstreams();
    }
}

} // namespace coursehead::gateway
