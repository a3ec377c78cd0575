// SPDX-License-Identifier: BSL-1.0
#include "sidecar/shared_counts.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::sidecar {

namespace {

std::string_view nameOf( decide::LimitVerdict verdict ) {
    switch( verdict ) {
    case decide::LimitVerdict::unknown:
        return "unknown";
    case decide::LimitVerdict::granted:
        return "granted";
    case decide::LimitVerdict::full:
        return "full";
    case decide::LimitVerdict::ended:
        return "ended";
    }
    return "unknown";
}

void send( const Peer& peer, const gateway::Message& message ) {
    peer.channel->send( gateway::encode( message ) );
}

} // namespace

bool SharedCounts::handle( const Peer& peer, const gateway::Message& message ) {
    return handleQuota( peer, message ) || handleLimit( peer, message );
}

bool SharedCounts::handleQuota( const Peer& peer, const gateway::Message& message ) {
    const auto now = MonoClock::now();
    if( const auto* update = std::get_if<decide::QuotaUpdate>( &message ) ) {
        m_quotas.takeUpdate( *update, now );
        return true;
    }
    if( const auto* returned = std::get_if<decide::QuotaReturn>( &message ) ) {
        m_quotas.acceptReturn( *returned, now );
        return true;
    }
    if( const auto* request = std::get_if<decide::QuotaRequest>( &message ) ) {
        const auto answer = m_quotas.ask( peer.gateway, *request, now );
        m_metrics.count( "quota_asks", answer.granted > 0 ? "granted" : "refused" );
        send( peer, gateway::Message( answer ) );
        return true;
    }
    return false;
}

bool SharedCounts::handleLimit( const Peer& peer, const gateway::Message& message ) {
    const auto now = MonoClock::now();
    if( const auto* update = std::get_if<decide::LimitUpdate>( &message ) ) {
        m_limits.takeUpdate( *update, now );
        broadcastLimits( now );
        return true;
    }
    if( const auto* returned = std::get_if<decide::LimitReturn>( &message ) ) {
        m_limits.acceptReturn( *returned, now );
        return true;
    }
    if( const auto* request = std::get_if<decide::LimitRequest>( &message ) ) {
        const auto answer = m_limits.ask( peer.gateway, *request, now );
        m_metrics.count( "limit_asks", nameOf( answer.verdict ) );
        send( peer, gateway::Message( answer ) );
        broadcastLimits( now );
        return true;
    }
    return false;
}

void SharedCounts::broadcastLimits( MonoTime now ) {
    auto statements = m_limits.takeChanges( now );
    if( statements.empty() ) {
        return;
    }
    for( const auto& it : statements ) {
        log::info( "upstream_limit_spread", { { "upstream", it.start },
                                              { "limit_per_s", log::decimal( it.perS ) },
                                              { "named_ms", it.namedAgoMs },
                                              { "none_ms", it.noneAgoMs } } );
    }
    const auto encoded =
        gateway::encode( gateway::Message( decide::LimitUpdate{ "", 1, statements } ) );
    for( const auto& it : m_peers ) {
        it->channel->send( encoded );
    }
}

} // namespace coursehead::sidecar
