// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/limit_client.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

//! Interval of updates to holders: two updates and some delay fit into the time for which a holder
//! counts this gateway.
constexpr Millis updateInterval{ 400 };
//! A holder answers within a few milliseconds; one that does not is overloaded or gone.
constexpr Millis queryTimeout{ 150 };
//! The number of gateways is the largest one reported within this time.
constexpr Millis gatewayCountHold{ 4000 };

//! Separates an upstream's id from its start time.
constexpr char startSeparator = '#';

std::string startIdOf( const Node& node ) {
    return node.upstream.id + startSeparator + std::to_string( node.upstream.born );
}

} // namespace

LimitClient::LimitClient( Fleet& fleet, metrics::Metrics& metrics, std::string vm )
    : m_fleet( fleet ), m_metrics( metrics ), m_vm( std::move( vm ) ),
      m_links( fleet, gatewayCountHold ) {}

void LimitClient::tick( MonoTime now ) {
    refreshHolders( now );
    if( !m_gatewayLimits.idle() && now - m_updatesSentAt >= updateInterval ) {
        sendUpdates( now );
    }
}

void LimitClient::refreshHolders( MonoTime now ) {
    decide::GatewayLimits::Statements statements;
    for( const auto& it : m_fleet.nodes() ) {
        const Node& node = *it.second;
        if( decide::isReportable( node.limit.known, now ) ) {
            auto statement = decide::statementOf( startIdOf( node ), node.limit.known, now );
            statements.emplace( startIdOf( node ), std::move( statement ) );
        }
    }
    m_gatewayLimits.setStatements( std::move( statements ) );
    if( m_gatewayLimits.idle() ) {
        return;
    }
    m_links.refresh( now );
    if( m_gatewayLimits.setCandidates( m_links.candidates( now ), m_links.gateways(), now ) ) {
        log::info( "limit_holders_changed",
                   { { "limits", static_cast<std::int64_t>( m_gatewayLimits.size() ) },
                     { "links", static_cast<std::int64_t>( m_links.all().size() ) },
                     { "gateways", m_links.gateways() } } );
        sendUpdates( now );
    }
}

void LimitClient::sendUpdates( MonoTime now ) {
    m_updatesSentAt = now;
    for( const auto& [address, link] : m_links.all() ) {
        if( !link->mayBeResponsive( now ) ) {
            continue;
        }
        auto update = m_gatewayLimits.takeUpdate( address, now );
        if( update ) {
            update->gateway = m_vm;
            link->send( Message( std::move( *update ) ) );
        }
    }
}

void LimitClient::applyUpdate( const decide::LimitUpdate& update, MonoTime now ) {
    for( const auto& statement : update.statements ) {
        const auto id = statement.start.substr( 0, statement.start.rfind( startSeparator ) );
        const auto it = m_fleet.nodes().find( id );
        const bool isKnownStart =
            it != m_fleet.nodes().end() && startIdOf( *it->second ) == statement.start;
        if( isKnownStart && decide::applyStatement( it->second->limit.known, statement, now ) ) {
            const auto perS = it->second->limit.known.perS();
            log::info(
                "upstream_limit_told",
                { { "upstream", id }, { "limit_per_s", log::decimal( perS.value_or( -1 ) ) } } );
        }
    }
}

net::Task<decide::LimitDecision> LimitClient::obtain( NodePtr node ) {
    const auto askedAt = MonoClock::now();
    const auto startId = startIdOf( *node );
    if( !m_gatewayLimits.knows( startId ) ) {
        refreshHolders( askedAt );
        sendUpdates( askedAt );
    }
    const auto link = m_links.find( m_gatewayLimits.holderOf( startId, askedAt ) );
    std::optional<decide::LimitAnswer> answer;
    if( link ) {
        decide::LimitRequest request;
        request.statement = decide::statementOf( startId, node->limit.known, askedAt );
        answer = co_await link->requestLimitPermit( std::move( request ), queryTimeout );
    }
    const auto decision = decide::applyLimitAnswer( node->limit, answer, m_fleet.gateways(),
                                                    askedAt, MonoClock::now() );
    m_metrics.count( "limit_asks", decide::nameOf( decision.outcome ) );
    co_return decision;
}

void LimitClient::refund( const Node& node ) {
    const auto startId = startIdOf( node );
    const auto link = m_links.find( m_gatewayLimits.holderOf( startId, MonoClock::now() ) );
    if( link ) {
        link->send( Message( decide::LimitReturn{ startId } ) );
    }
}

} // namespace coursehead::gateway
