// SPDX-License-Identifier: BSL-1.0
#include "gateway/store_feed.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/relay_times.hpp"
#include "gateway/store_objects.hpp"

namespace coursehead::gateway {

namespace {

//! Upstreams' entries change all the time; changes are taken in batches, since each watch call is
//! paid for. The wait is this part of the time there is to stop sending to one that leaves.
constexpr double batchPart = 0.4;
//! After the store has come back from a copy its operators write again what the copy lacks, within
//! seconds: until then a hall that was to be emptied stays empty. Without it 8 of 24 requests were
//! sent into one.
constexpr Millis rewriteTime{ 10000 };

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
    out.pause = partOf( settings.bounds.drain, batchPart );
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
    m_fleet.onStoreUpdate( [this]( const std::string& upstreamId, const StoreUpdate& news ) {
        takeNews( upstreamId, news );
    } );
    net::start( m_context, begin(), "store feed" );
}

FollowerHandlers StoreFeed::configurationHandlers() {
    FollowerHandlers out;
    out.listing = [this]( const std::vector<platform::StoreObject>& objects ) {
        for( const auto& it : objects ) {
            takeObject( it );
        }
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        if( !event.removed ) {
            takeObject( event.object );
        }
    };
    out.reachable = []( bool ) {
    };
    return out;
}

void StoreFeed::takeObject( const platform::StoreObject& object ) const {
    if( object.name == platform::configurationName ) {
        m_handlers.configuration( object.spec );
    }
}

FollowerHandlers StoreFeed::quarantineHandlers() {
    FollowerHandlers out;
    out.listing = [this]( const std::vector<platform::StoreObject>& objects ) {
        for( const auto& it : objects ) {
            takeQuarantine( it );
        }
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        if( !event.removed ) {
            takeQuarantine( event.object );
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
        takeEvacuations( std::move( halls ), MonoClock::now() );
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        takeEvacuation( event.object.name, !event.removed );
    };
    out.reachable = []( bool ) {
    };
    out.restored = [this] {
        m_heldHalls.insert( m_emptied.begin(), m_emptied.end() );
        m_heldUntil = MonoClock::now() + rewriteTime;
    };
    return out;
}

void StoreFeed::takeEvacuations( std::set<std::string> halls, MonoTime now ) {
    m_emptied = std::move( halls );
    if( now >= m_heldUntil ) {
        m_heldHalls.clear();
    }
    auto all = m_heldHalls;
    all.insert( m_emptied.begin(), m_emptied.end() );
    m_handlers.evacuations( all );
}

void StoreFeed::takeEvacuation( const std::string& hall, bool emptied ) {
    // Written again, or taken back, in the history that goes on.
    m_heldHalls.erase( hall );
    if( emptied ) {
        m_emptied.insert( hall );
    } else {
        m_emptied.erase( hall );
    }
    m_handlers.evacuation( hall, emptied );
}

void StoreFeed::expireHeldHalls( MonoTime now ) {
    if( m_heldHalls.empty() || now < m_heldUntil ) {
        return;
    }
    log::info( "evacuations_not_written_again",
               { { "halls", static_cast<std::int64_t>( m_heldHalls.size() ) } } );
    takeEvacuations( m_emptied, now );
}

void StoreFeed::takeEvacuations( const StoreUpdate& news ) {
    if( news.whole ) {
        takeEvacuations( { news.emptied.begin(), news.emptied.end() }, MonoClock::now() );
        return;
    }
    for( const auto& it : news.emptied ) {
        takeEvacuation( it, true );
    }
    for( const auto& it : news.gone ) {
        takeEvacuation( it, false );
    }
}

void StoreFeed::takeQuarantine( const platform::StoreObject& object ) {
    const auto quarantine = m_reader.quarantine( object );
    if( quarantine && quarantine->holdMs > 0 ) {
        m_handlers.quarantines( std::span( &*quarantine, 1 ) );
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
        takeListing( std::move( upstreams ) );
    };
    out.event = [this]( const platform::StoreEvent& event ) {
        const auto now = MonoClock::now();
        auto upstream = event.removed ? std::nullopt : m_reader.upstream( event.object );
        if( upstream ) {
            m_registry.put( std::move( *upstream ), now );
        } else {
            // Gone, or written over by somebody with what names no upstream.
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

void StoreFeed::takeListing( std::vector<Upstream> upstreams ) {
    m_listed = true;
    m_registry.applyListing( std::move( upstreams ), MonoClock::now() );
    m_handlers.upstreams();
}

void StoreFeed::takeNews( const std::string& upstreamId, const StoreUpdate& news ) {
    if( upstreamId != m_relay ) {
        return;
    }
    const auto now = MonoClock::now();
    if( !news.reachable ) {
        leaveRelay( "without the store", Millis{ 0 }, now );
        return;
    }
    if( news.whole ) {
        m_relayed.insert( news.part );
    }
    if( news.part == StorePart::upstreams ) {
        m_relayHeard = now;
        takeUpstreams( news );
        return;
    }
    // A relay that lives tells of a store that does not answer: what changes seldom needs no clock
    // of its own.
    const auto until = MonoTime::max();
    if( news.part == StorePart::quarantines ) {
        if( m_quarantines.acceptRelayed( news.position, news.whole, until ) ) {
            m_handlers.quarantines( news.quarantines );
        }
        return;
    }
    if( news.part == StorePart::evacuations ) {
        if( m_evacuations.acceptRelayed( news.position, news.whole, until ) ) {
            takeEvacuations( news );
        }
        return;
    }
    if( m_configuration.acceptRelayed( news.position, news.whole, until ) &&
        !news.configuration.empty() ) {
        m_handlers.configuration( news.configuration );
    }
}

void StoreFeed::takeUpstreams( const StoreUpdate& news ) {
    if( !news.whole && !m_gotWhole ) {
        return;
    }
    m_gotWhole = true;
    const auto now = MonoClock::now();
    const auto until = now + relaySilenceLimit( m_settings.bounds );
    // Changes that were dropped here, because this gateway knew them, are no gap: later ones build
    // on what it knows.
    if( !m_upstreams.acceptRelayed( news.position, news.whole, until ) ) {
        return;
    }
    if( news.whole ) {
        takeListing( news.upstreams );
        return;
    }
    for( const auto& it : news.upstreams ) {
        m_registry.put( it, now );
    }
    for( const auto& it : news.gone ) {
        m_registry.remove( it, now );
    }
    if( !news.upstreams.empty() || !news.gone.empty() ) {
        m_handlers.upstreams();
    }
}

} // namespace coursehead::gateway
