// SPDX-License-Identifier: BSL-1.0
#include "gateway/limit_client.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

//! Holders are told this often what is kept there: twice within a membership, and some delay.
constexpr Millis tellEvery{ 400 };
//! A holder answers within some milliseconds; one that does not is busy or gone.
constexpr Millis askTime{ 150 };
//! The largest count of gateways seen within this time counts.
constexpr Millis gatewaysHold{ 4000 };

//! Between an upstream's id and when its start began.
constexpr char startMark = '#';

std::string startOf( const Node& node ) {
    return node.upstream.id + startMark + std::to_string( node.upstream.born );
}

} // namespace

LimitClient::LimitClient( Fleet& fleet, metrics::Metrics& metrics, std::string vm )
    : m_fleet( fleet ), m_metrics( metrics ), m_vm( std::move( vm ) ),
      m_links( fleet, gatewaysHold ) {}

void LimitClient::tick( MonoTime now ) {
    look( now );
    if( !m_book.idle() && now - m_toldAt >= tellEvery ) {
        tell( now );
    }
}

void LimitClient::look( MonoTime now ) {
    decide::GatewayLimits::Statements statements;
    for( const auto& it : m_fleet.nodes() ) {
        const Node& node = *it.second;
        if( decide::isReportable( node.limit.known, now ) ) {
            auto statement = decide::statementOf( startOf( node ), node.limit.known, now );
            statements.emplace( startOf( node ), std::move( statement ) );
        }
    }
    m_book.setStatements( std::move( statements ) );
    if( m_book.idle() ) {
        return;
    }
    m_links.look( now );
    if( m_book.setCandidates( m_links.candidates( now ), m_links.gateways(), now ) ) {
        log::info( "limit_holders_changed",
                   { { "limits", static_cast<std::int64_t>( m_book.size() ) },
                     { "links", static_cast<std::int64_t>( m_links.all().size() ) },
                     { "gateways", m_links.gateways() } } );
        tell( now );
    }
}

void LimitClient::tell( MonoTime now ) {
    m_toldAt = now;
    for( const auto& [address, link] : m_links.all() ) {
        if( !link->mayBeResponsive( now ) ) {
            continue;
        }
        auto news = m_book.takeUpdate( address, now );
        if( news ) {
            news->gateway = m_vm;
            link->send( Message( std::move( *news ) ) );
        }
    }
}

void LimitClient::applyUpdate( const decide::LimitUpdate& news, MonoTime now ) {
    for( const auto& statement : news.statements ) {
        const auto id = statement.start.substr( 0, statement.start.rfind( startMark ) );
        const auto it = m_fleet.nodes().find( id );
        const bool known = it != m_fleet.nodes().end() && startOf( *it->second ) == statement.start;
        if( known && decide::applyStatement( it->second->limit.known, statement, now ) ) {
            const auto perS = it->second->limit.known.perS();
            log::info(
                "upstream_limit_told",
                { { "upstream", id }, { "limit_per_s", log::decimal( perS.value_or( -1 ) ) } } );
        }
    }
}

net::Task<decide::LimitDecision> LimitClient::obtain( NodePtr node ) {
    const auto asked = MonoClock::now();
    const auto start = startOf( *node );
    if( !m_book.knows( start ) ) {
        look( asked );
        tell( asked );
    }
    const auto link = m_links.find( m_book.holderOf( start, asked ) );
    std::optional<decide::LimitAnswer> answer;
    if( link ) {
        decide::LimitRequest question;
        question.statement = decide::statementOf( start, node->limit.known, asked );
        answer = co_await link->requestLimitPermit( std::move( question ), askTime );
    }
    const auto decision = decide::applyLimitAnswer( node->limit, answer, m_fleet.gateways(), asked,
                                                    MonoClock::now() );
    m_metrics.count( "limit_asks", decide::nameOf( decision.outcome ) );
    co_return decision;
}

void LimitClient::refund( const Node& node ) {
    const auto start = startOf( node );
    const auto link = m_links.find( m_book.holderOf( start, MonoClock::now() ) );
    if( link ) {
        link->send( Message( decide::LimitReturn{ start } ) );
    }
}

} // namespace coursehead::gateway
