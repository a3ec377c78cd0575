// SPDX-License-Identifier: BSL-1.0
#include "gateway/store_feed.hpp"

#include "coursehead/kernel/log.hpp"
#include "gateway/relay_choice.hpp"
#include "gateway/relay_times.hpp"
#include "gateway/store_objects.hpp"

namespace coursehead::gateway {

namespace {

//! Upstreams' entries change all the time; changes are taken in batches, since each watch call is
//! paid for. The wait is this part of the time there is to stop sending to one that leaves.
constexpr double batchPart = 0.4;
//! A relay that failed is not asked again for this long.
constexpr Millis relayAvoided{ 3000 };
//! How often a gateway looks whether the relay that all should use is another one.
constexpr Millis relayRecheck{ 3000 };
//! A relay that is lost for its connection has spoken a moment ago: another one takes its place
//! within this, or the gateway calls the store itself.
constexpr Millis relayChange{ 400 };
//! The choice of a relay is made anew when there are this many times more gateways, or fewer.
constexpr int gatewaysChange = 2;
//! At start: relays that are tried, and how long each has to pass everything on. It lists the store
//! first if nobody has asked it before.
constexpr int firstTries = 3;
constexpr Millis firstNews{ 700 };
//! At start, until a gateway calls the store itself though no upstream is listed yet.
constexpr Millis listedLimit{ 3000 };
constexpr Millis listAgain{ 200 };
//! The same on the deployment's first start: entries are written over some seconds.
constexpr Millis firstListedLimit{ 6000 };
constexpr Millis firstListAgain{ 1000 };
constexpr Millis firstLook{ 10 };
constexpr Millis listLimit{ 1000 };
//! After the store has come back from a copy its operators write again what the copy lacks, within
//! seconds: until then a hall that was to be emptied stays empty. Without it 8 of 24 requests were
//! sent into one.
constexpr Millis rewriteTime{ 10000 };

FollowSettings followSettings( const platform::NodeSettings& settings, std::string_view kind,
                               metrics::Metrics& metrics ) {
    FollowSettings out;
    out.metrics = &metrics;
    out.kind = std::string( kind );
    out.wait = watchWait( settings.bounds );
    return out;
}

FollowSettings upstreamSettings( const platform::NodeSettings& settings,
                                 metrics::Metrics& metrics ) {
    auto out = followSettings( settings, platform::upstreamKind, metrics );
    out.pause = partOf( settings.bounds.drain, batchPart );
    return out;
}

} // namespace

StoreFeed::StoreFeed( net::asio::io_context& context, const platform::NodeSettings& settings,
                      RandomSource& random, metrics::Metrics& metrics, Fleet& fleet,
                      Registry& registry, FeedHandlers handlers )
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
    m_fleet.onStoreNews( [this]( const std::string& upstreamId, const StoreNews& news ) {
        takeNews( upstreamId, news );
    } );
    net::start( m_context, begin(), "store feed" );
}

net::Task<> StoreFeed::begin() {
    auto upstreams = co_await findRelays();
    std::vector<RelayCandidate> candidates;
    candidates.reserve( upstreams.size() );
    for( const auto& it : upstreams ) {
        candidates.push_back( { it.id, true, false } );
    }
    // How many gateways there are nobody knows yet; there are about as many as upstreams.
    const auto gateways = static_cast<int>( candidates.size() );
    bool relayed = false;
    for( int n = 0; n < firstTries && !relayed; ++n ) {
        const auto best = chooseRelay( candidates, m_settings.vm, gateways );
        if( !best ) {
            break;
        }
        candidates[*best].avoided = true;
        m_relayGateways = gateways;
        relayed = co_await tryRelay( upstreams[*best] );
    }
    log::info( "store_feed_begins",
               { { "relay", m_relay }, { "upstreams", static_cast<std::int64_t>( gateways ) } } );
    m_begun = true;
    net::start( m_context, m_configuration.run(), "configuration" );
    net::start( m_context, m_upstreams.run(), "upstreams" );
    net::start( m_context, m_quarantines.run(), "quarantines" );
    net::start( m_context, m_evacuations.run(), "evacuations" );
}

net::Task<std::vector<Upstream>> StoreFeed::findRelays() {
    const bool first = m_settings.firstStart;
    const auto until = MonoClock::now() + ( first ? firstListedLimit : listedLimit );
    std::vector<Upstream> out;
    std::size_t before = 0;
    while( MonoClock::now() < until ) {
        const auto page = co_await m_store.firstPage( platform::upstreamKind, listLimit,
                                                      platform::ListAge::secondsOld );
        out = enginesOf( page.objects );
        // Where all has just started entries are still being written: a choice among some of them
        // would be made again and again.
        const bool settled = !first || ( !out.empty() && out.size() == before );
        const bool listed = page.status == platform::StoreStatus::ok && !page.objects.empty();
        if( listed && settled ) {
            break;
        }
        before = out.size();
        co_await net::pause( m_context, first ? firstListAgain : listAgain );
    }
    co_return out;
}

std::vector<Upstream> StoreFeed::enginesOf( std::span<const platform::StoreObject> objects ) {
    std::vector<Upstream> out;
    for( const auto& it : objects ) {
        auto upstream = m_reader.upstream( it );
        // Sidecars stand beside engines, and engines hold models.
        if( upstream && !upstream->residents.empty() ) {
            out.push_back( std::move( *upstream ) );
        }
    }
    return out;
}

bool StoreFeed::knowsAll() const {
    constexpr std::size_t parts = 4;
    return m_relayed.size() == parts;
}

net::Task<bool> StoreFeed::tryRelay( const Upstream& upstream ) {
    const auto began = MonoClock::now();
    const auto until = began + firstNews;
    auto link = std::make_shared<SidecarLink>( m_context, upstream.ip, m_settings.firstPort );
    SidecarLink::Handlers handlers;
    handlers.news = [this, id = upstream.id]( const StoreNews& news ) {
        takeNews( id, news );
    };
    link->setHandlers( std::move( handlers ) );
    m_fleet.adopt( link );
    useRelay( upstream.id, link, began );
    while( !knowsAll() && m_relay == upstream.id && MonoClock::now() < until &&
           link->state() != LinkState::failing ) {
        co_await net::pause( m_context, firstLook );
    }
    if( knowsAll() ) {
        co_return true;
    }
    if( m_relay == upstream.id ) {
        leaveRelay( "not there yet", Millis{ 0 }, MonoClock::now() );
    }
    m_fleet.adopt( nullptr );
    co_return false;
}

FollowHandlers StoreFeed::configurationHandlers() {
    FollowHandlers out;
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

FollowHandlers StoreFeed::quarantineHandlers() {
    FollowHandlers out;
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

FollowHandlers StoreFeed::evacuationHandlers() {
    FollowHandlers out;
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

void StoreFeed::takeEvacuations( const StoreNews& news ) {
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

FollowHandlers StoreFeed::upstreamHandlers() {
    FollowHandlers out;
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
    m_registry.list( std::move( upstreams ), MonoClock::now() );
    m_handlers.upstreams();
}

void StoreFeed::takeNews( const std::string& upstreamId, const StoreNews& news ) {
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
        if( m_quarantines.relayed( news.position, news.whole, until ) ) {
            m_handlers.quarantines( news.quarantines );
        }
        return;
    }
    if( news.part == StorePart::evacuations ) {
        if( m_evacuations.relayed( news.position, news.whole, until ) ) {
            takeEvacuations( news );
        }
        return;
    }
    if( m_configuration.relayed( news.position, news.whole, until ) &&
        !news.configuration.empty() ) {
        m_handlers.configuration( news.configuration );
    }
}

void StoreFeed::takeUpstreams( const StoreNews& news ) {
    if( !news.whole && !m_gotWhole ) {
        return;
    }
    m_gotWhole = true;
    const auto now = MonoClock::now();
    const auto until = now + relaySilence( m_settings.bounds );
    // Changes that were dropped here, because this gateway knew them, are no gap: later ones build
    // on what it knows.
    if( !m_upstreams.relayed( news.position, news.whole, until ) ) {
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

void StoreFeed::leaveRelay( std::string_view why, Millis patience, MonoTime now ) {
    log::info( "relay_lost", { { "upstream", m_relay }, { "why", why } } );
    m_relayLink->askRelay( false );
    m_relayLink.reset();
    m_avoided[m_relay] = now + relayAvoided;
    m_relay.clear();
    const auto from = now + patience;
    m_upstreams.relayLost( from );
    m_configuration.relayLost( from );
    m_quarantines.relayLost( from );
    m_evacuations.relayLost( from );
}

void StoreFeed::useRelay( const std::string& upstreamId, std::shared_ptr<SidecarLink> link,
                          MonoTime now ) {
    if( m_relayLink ) {
        m_relayLink->askRelay( false );
    }
    m_relay = upstreamId;
    m_relayLink = std::move( link );
    m_relayHeard = now;
    m_gotWhole = false;
    m_relayed.clear();
    log::info( "relay_chosen", { { "upstream", m_relay } } );
    m_relayLink->askRelay( true );
    m_relayLink->open();
}

void StoreFeed::seekRelay( MonoTime now ) {
    std::vector<RelayCandidate> candidates;
    std::vector<NodePtr> nodes;
    for( const auto& [id, node] : m_fleet.nodes() ) {
        if( node->sidecar ) {
            const auto avoided = m_avoided.find( id );
            candidates.push_back( { id, node->sidecar->mayAnswer( now ) && node->takesRequests(),
                                    avoided != m_avoided.end() && avoided->second > now } );
            nodes.push_back( node );
        }
    }
    std::erase_if( m_avoided, [now]( const auto& it ) { return it.second <= now; } );
    const int gateways = m_fleet.gateways();
    const bool others =
        gateways > gatewaysChange * m_relayGateways || gatewaysChange * gateways < m_relayGateways;
    m_relayGateways = others ? gateways : m_relayGateways;
    const auto best = chooseRelay( candidates, m_settings.vm, m_relayGateways );
    if( best && candidates[*best].upstreamId != m_relay ) {
        useRelay( nodes[*best]->upstream.id, nodes[*best]->sidecar, now );
    }
}

void StoreFeed::tick( MonoTime now ) {
    expireHeldHalls( now );
    if( !m_begun ) {
        return;
    }
    if( m_relayLink ) {
        const auto state = m_relayLink->state();
        if( state == LinkState::failing || state == LinkState::closed ) {
            leaveRelay( "connection lost", relayChange, now );
        } else if( now - m_relayHeard > relaySilence( m_settings.bounds ) ) {
            leaveRelay( "silent", Millis{ 0 }, now );
        }
    }
    if( m_relay.empty() || now - m_relayChecked >= relayRecheck ) {
        m_relayChecked = now;
        seekRelay( now );
    }
}

} // namespace coursehead::gateway
