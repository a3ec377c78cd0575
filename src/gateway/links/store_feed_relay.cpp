// SPDX-License-Identifier: BSL-1.0
// The relay, a sidecar from which a gateway receives the store's changes: its choice at start,
// checks and replacement.
#include "coursehead/kernel/log.hpp"
#include "gateway/links/relay_choice.hpp"
#include "gateway/links/relay_times.hpp"
#include "gateway/links/store_feed.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! A relay that failed is not chosen again for this long.
constexpr Millis relayAvoidance{ 3000 };
//! Interval at which a gateway checks whether another relay is the right one for it now.
constexpr Millis relayCheckInterval{ 3000 };
//! A relay whose connection is lost was alive a moment ago, so there is time for another one to
//! take its place; after this time the gateway calls the store itself.
constexpr Millis relayReplacementTime{ 400 };
//! The relay is chosen for a new number of gateways when that is more than this many times larger
//! or smaller than at the last choice.
constexpr int gatewayCountFactor = 2;
//! At start: number of relays that are tried in turn, the time that each has to deliver everything
//! (a sidecar that is not a relay yet lists the store first), and the time for all attempts, which
//! are repeated because after an outage of everything the sidecars are starting too.
constexpr int startupRelayTries = 3;
constexpr Millis startupRelayLimit{ 700 };
constexpr Millis startupRelaysLimit{ 1500 };
constexpr Millis startupRetryPause{ 100 };
//! At start, longest wait for a list with upstreams; after it the gateway calls the store itself.
constexpr Millis startupListLimit{ 3000 };
constexpr Millis listRetryPause{ 200 };
//! The same at the deployment's first start, where entries are written over some seconds.
constexpr Millis firstStartListLimit{ 6000 };
constexpr Millis firstStartListRetryPause{ 1000 };
constexpr Millis relayPollInterval{ 10 };
constexpr Millis listCallLimit{ 1000 };

} // namespace

net::Task<> StoreFeed::startFollowing() {
    auto upstreams = co_await findRelayUpstreams();
    std::vector<RelayCandidate> candidates;
    candidates.reserve( upstreams.size() );
    for( const auto& it : upstreams ) {
        candidates.push_back( { it.id, true, false } );
    }
    // The number of gateways is not known yet; it is about the number of upstreams.
    const auto gateways = static_cast<int>( candidates.size() );
    const auto until = MonoClock::now() + startupRelaysLimit;
    m_relayGateways = std::max( gateways, 1 );
    bool relayed = candidates.empty();
    int tries = 0;
    while( !relayed && MonoClock::now() < until ) {
        const auto best = chooseRelay( candidates, m_settings.vm, gateways );
        if( !best || tries == startupRelayTries ) {
            tries = 0;
            for( auto& it : candidates ) {
                it.avoided = false;
            }
            co_await net::pause( m_context, startupRetryPause );
            continue;
        }
        ++tries;
        candidates[*best].avoided = true;
        relayed = co_await tryRelay( upstreams[*best] );
    }
    log::info( "store_feed_begins",
               { { "relay", m_relay }, { "upstreams", static_cast<std::int64_t>( gateways ) } } );
    m_followersStarted = true;
    net::start( m_context, m_configuration.run(), "configuration" );
    net::start( m_context, m_upstreams.run(), "upstreams" );
    net::start( m_context, m_quarantines.run(), "quarantines" );
    net::start( m_context, m_evacuations.run(), "evacuations" );
}

net::Task<std::vector<Upstream>> StoreFeed::findRelayUpstreams() {
    const bool first = m_settings.firstStart;
    const auto until = MonoClock::now() + ( first ? firstStartListLimit : startupListLimit );
    std::vector<Upstream> out;
    std::size_t before = 0;
    while( MonoClock::now() < until ) {
        const auto page = co_await m_store.firstPage( platform::upstreamKind, listCallLimit,
                                                      platform::ListAge::secondsOld );
        out = engineUpstreams( page.objects );
        // At the deployment's first start entries are still being written: a choice among the first
        // of them would be changed again and again, so the list has to stop growing first.
        const bool settled = !first || ( !out.empty() && out.size() == before );
        const bool listed = page.status == platform::StoreStatus::ok && !page.objects.empty();
        if( listed && settled ) {
            break;
        }
        before = out.size();
        co_await net::pause( m_context, first ? firstStartListRetryPause : listRetryPause );
    }
    co_return out;
}

std::vector<Upstream> StoreFeed::engineUpstreams( std::span<const platform::StoreObject> objects ) {
    std::vector<Upstream> out;
    for( const auto& it : objects ) {
        auto upstream = m_reader.upstream( it );
        // Only engines have sidecars, and only engines hold models.
        if( upstream && !upstream->residents.empty() ) {
            out.push_back( std::move( *upstream ) );
        }
    }
    return out;
}

bool StoreFeed::allPartsReceived() const {
    constexpr std::size_t parts = 4;
    return m_receivedParts.size() == parts;
}

net::Task<bool> StoreFeed::tryRelay( const Upstream& upstream ) {
    const auto startedAt = MonoClock::now();
    const auto until = startedAt + startupRelayLimit;
    auto link = std::make_shared<SidecarLink>( m_context, upstream.ip, m_settings.firstPort );
    SidecarLink::Handlers handlers;
    handlers.storeUpdate = [this, id = upstream.id]( const StoreUpdate& update ) {
        applyUpdate( id, update );
    };
    link->setHandlers( std::move( handlers ) );
    m_fleet.adopt( link );
    useRelay( upstream.id, link, startedAt );
    while( !allPartsReceived() && m_relay == upstream.id && MonoClock::now() < until &&
           link->state() != LinkState::failing ) {
        co_await net::pause( m_context, relayPollInterval );
    }
    if( allPartsReceived() ) {
        co_return true;
    }
    if( m_relay == upstream.id ) {
        dropRelay( "not there yet", Millis{ 0 }, MonoClock::now() );
    }
    m_fleet.adopt( nullptr );
    co_return false;
}

void StoreFeed::dropRelay( std::string_view why, Millis replacementTime, MonoTime now ) {
    log::info( "relay_lost", { { "upstream", m_relay }, { "why", why } } );
    m_relayLink->requestRelay( false );
    m_relayLink.reset();
    m_avoided[m_relay] = now + relayAvoidance;
    m_relay.clear();
    const auto from = now + replacementTime;
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
    m_lastRelayMessage = now;
    m_upstreamsReceived = false;
    m_receivedParts.clear();
    log::info( "relay_chosen", { { "upstream", m_relay } } );
    m_relayLink->requestRelay( true );
    m_relayLink->open();
}

void StoreFeed::updateRelay( MonoTime now ) {
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
    const bool gatewayCountChanged = gateways > gatewayCountFactor * m_relayGateways ||
                                     gatewayCountFactor * gateways < m_relayGateways;
    m_relayGateways = gatewayCountChanged ? gateways : m_relayGateways;
    const auto best = chooseRelay( candidates, m_settings.vm, m_relayGateways );
    if( best && candidates[*best].upstreamId != m_relay ) {
        useRelay( nodes[*best]->upstream.id, nodes[*best]->sidecar, now );
    }
}

void StoreFeed::tick( MonoTime now ) {
    expireHeldHalls( now );
    if( !m_followersStarted ) {
        return;
    }
    if( m_relayLink ) {
        const auto state = m_relayLink->state();
        if( state == LinkState::failing || state == LinkState::closed ) {
            dropRelay( "connection lost", relayReplacementTime, now );
        } else if( now - m_lastRelayMessage > relaySilenceLimit( m_settings.bounds ) ) {
            dropRelay( "silent", Millis{ 0 }, now );
        }
    }
    if( m_relay.empty() || now - m_relayCheckedAt >= relayCheckInterval ) {
        m_relayCheckedAt = now;
        updateRelay( now );
    }
}

} // namespace coursehead::gateway
