// SPDX-License-Identifier: BSL-1.0
// Through which sidecar a gateway hears of the store's changes: found at start, kept, replaced.
#include "coursehead/kernel/log.hpp"
#include "gateway/relay_choice.hpp"
#include "gateway/relay_times.hpp"
#include "gateway/store_feed.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! A relay that failed is not asked again for this long.
constexpr Millis relayAvoided{ 3000 };
//! How often a gateway looks whether the relay that all should use is another one.
constexpr Millis relayRecheck{ 3000 };
//! A relay that is lost for its connection has spoken a moment ago: another one takes its place
//! within this, or the gateway calls the store itself.
constexpr Millis relayChange{ 400 };
//! The choice of a relay is made anew when there are this many times more gateways, or fewer.
constexpr int gatewaysChange = 2;
//! At start: relays that are tried in turn, how long each has to pass everything on (it lists the
//! store first if nobody has asked it before), and how long all of them have: where everything has
//! ended at once they are starting too.
constexpr int firstTries = 3;
constexpr Millis firstNews{ 700 };
constexpr Millis firstRelayLimit{ 1500 };
constexpr Millis tryAgain{ 100 };
//! At start, until a gateway calls the store itself though no upstream is listed yet.
constexpr Millis listedLimit{ 3000 };
constexpr Millis listAgain{ 200 };
//! The same on the deployment's first start: entries are written over some seconds.
constexpr Millis firstListedLimit{ 6000 };
constexpr Millis firstListAgain{ 1000 };
constexpr Millis firstLook{ 10 };
constexpr Millis listLimit{ 1000 };

} // namespace

net::Task<> StoreFeed::begin() {
    auto upstreams = co_await findRelays();
    std::vector<RelayCandidate> candidates;
    candidates.reserve( upstreams.size() );
    for( const auto& it : upstreams ) {
        candidates.push_back( { it.id, true, false } );
    }
    // How many gateways there are nobody knows yet; there are about as many as upstreams.
    const auto gateways = static_cast<int>( candidates.size() );
    const auto until = MonoClock::now() + firstRelayLimit;
    m_relayGateways = std::max( gateways, 1 );
    bool relayed = candidates.empty();
    int tries = 0;
    while( !relayed && MonoClock::now() < until ) {
        const auto best = chooseRelay( candidates, m_settings.vm, gateways );
        if( !best || tries == firstTries ) {
            tries = 0;
            for( auto& it : candidates ) {
                it.avoided = false;
            }
            co_await net::pause( m_context, tryAgain );
            continue;
        }
        ++tries;
        candidates[*best].avoided = true;
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
    handlers.news = [this, id = upstream.id]( const StoreUpdate& news ) {
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

void StoreFeed::leaveRelay( std::string_view why, Millis patience, MonoTime now ) {
    log::info( "relay_lost", { { "upstream", m_relay }, { "why", why } } );
    m_relayLink->requestRelay( false );
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
        m_relayLink->requestRelay( false );
    }
    m_relay = upstreamId;
    m_relayLink = std::move( link );
    m_relayHeard = now;
    m_gotWhole = false;
    m_relayed.clear();
    log::info( "relay_chosen", { { "upstream", m_relay } } );
    m_relayLink->requestRelay( true );
    m_relayLink->open();
}

void StoreFeed::seekRelay( MonoTime now ) {
    std::vector<RelayCandidate> candidates;
    std::vector<NodePtr> nodes;
    for( const auto& [id, node] : m_fleet.nodes() ) {
        if( node->sidecar ) {
            const auto avoided = m_avoided.find( id );
            candidates.push_back( { id,
                                    node->sidecar->mayBeResponsive( now ) && node->takesRequests(),
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
        } else if( now - m_relayHeard > relaySilenceLimit( m_settings.bounds ) ) {
            leaveRelay( "silent", Millis{ 0 }, now );
        }
    }
    if( m_relay.empty() || now - m_relayChecked >= relayRecheck ) {
        m_relayChecked = now;
        seekRelay( now );
    }
}

} // namespace coursehead::gateway
