// SPDX-License-Identifier: BSL-1.0
#include "sidecar/origin_keeper.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

namespace coursehead::sidecar {

namespace {

constexpr Millis expiryInterval{ 1000 };
//! Bounds what copies add to the sidecar's traffic.
constexpr int maxCopiesPerS = 200;
constexpr Millis copiesWindow{ 1000 };

} // namespace

OriginKeeper::OriginKeeper( const std::set<PeerPtr>& peers, metrics::Metrics& metrics )
    : m_peers( peers ), m_metrics( metrics ) {
    m_metrics.gauge( "stream_origins", [this] { return static_cast<double>( m_origins.size() ); } );
}

bool OriginKeeper::handle( const Peer& peer, const gateway::Message& message ) {
    const auto now = MonoClock::now();
    if( const auto* update = std::get_if<decide::OriginUpdate>( &message ) ) {
        takeUpdate( peer, *update, now );
        return true;
    }
    if( const auto* request = std::get_if<decide::OriginRequest>( &message ) ) {
        const gateway::Message answer( answerTo( *request, now ) );
        peer.channel->send( gateway::encode( answer ) );
        return true;
    }
    return false;
}

void OriginKeeper::takeUpdate( const Peer& from, const decide::OriginUpdate& update,
                               MonoTime now ) {
    if( now - m_expiredAt >= expiryInterval ) {
        m_expiredAt = now;
        m_origins.removeExpired( now );
    }
    for( const auto& it : update.origins ) {
        if( !m_origins.put( it, now ) ) {
            m_metrics.count( "stream_origins_dropped" );
        }
        if( update.copy ) {
            sendCopies( from, it, now );
        }
    }
}

void OriginKeeper::sendCopies( const Peer& from, const decide::StreamOrigin& origin,
                               MonoTime now ) {
    if( now - m_copiesSince >= copiesWindow ) {
        m_copiesSince = now;
        m_copies = 0;
    }
    std::vector<std::string_view> names;
    std::vector<const Peer*> peers;
    for( const auto& it : m_peers ) {
        if( !it->gateway.empty() && it->gateway != from.gateway ) {
            names.emplace_back( it->gateway );
            peers.push_back( it.get() );
        }
    }
    const auto encoded =
        gateway::encode( gateway::Message( decide::OriginUpdate{ { origin }, false } ) );
    for( const auto n :
         decide::rankedForStream( origin.key, names, decide::originCopies( names.size() ) ) ) {
        if( m_copies < maxCopiesPerS ) {
            ++m_copies;
            peers[n]->channel->send( encoded );
        }
    }
}

decide::OriginAnswer OriginKeeper::answerTo( const decide::OriginRequest& request, MonoTime now ) {
    decide::OriginAnswer out;
    out.number = request.number;
    out.holderAgeMs = millisBetween( m_started, now );
    if( auto began = m_origins.find( request.key, now ) ) {
        out.known = true;
        out.began = std::move( *began );
    }
    m_metrics.count( "origin_asks", out.known ? "known" : "unknown" );
    return out;
}

} // namespace coursehead::sidecar
