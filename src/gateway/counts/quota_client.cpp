// SPDX-License-Identifier: BSL-1.0
#include "gateway/counts/quota_client.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Interval of updates to holders: two updates and some delay fit into the time for which a holder
//! counts this gateway.
constexpr Millis updateInterval{ 400 };
//! A holder answers within a few milliseconds; one that does not is overloaded or gone.
constexpr Millis queryTimeout{ 150 };
//! Interval at which it is checked again whether a holder can be asked.
constexpr Millis retryInterval{ 25 };
//! Shortest Retry-After of a refusal: a connection and a request take some milliseconds.
constexpr Millis minRetryAfter{ 50 };

} // namespace

QuotaClient::QuotaClient( net::asio::io_context& context, Fleet& fleet, std::string vm,
                          const platform::Bounds& bounds )
    : m_context( context ), m_vm( std::move( vm ) ),
      m_gatewayQuotas( platform::quotaRule( bounds ) ), m_links( fleet, bounds.quotaWindow ) {}

void QuotaClient::setBounds( const platform::Bounds& bounds ) {
    m_gatewayQuotas.setRule( platform::quotaRule( bounds ) );
    m_links.setHold( bounds.quotaWindow );
}

void QuotaClient::setConfiguration( const Configuration& configuration ) {
    std::vector<decide::QuotaRate> rates;
    for( const auto& it : configuration.organisations ) {
        if( it.limit.limited() ) {
            rates.push_back( { it.name, it.limit.perS, it.limit.burst } );
        }
    }
    m_anyLimit = !rates.empty();
    m_gatewayQuotas.setRates( configuration.version, rates );
    m_updatesSentAt = MonoTime{};
}

void QuotaClient::tick( MonoTime now ) {
    if( !m_anyLimit ) {
        return;
    }
    refreshHolders( now );
    for( const auto& it : m_gatewayQuotas.takeUnused( now ) ) {
        const auto link = m_links.find( it.holder );
        if( link ) {
            link->send( Message( it.quotaReturn ) );
        }
    }
    if( now - m_updatesSentAt >= updateInterval ) {
        sendUpdates( now );
    }
}

void QuotaClient::refreshHolders( MonoTime now ) {
    m_links.refresh( now );
    if( m_gatewayQuotas.setCandidates( m_links.candidates( now ), m_links.gateways(), now ) ) {
        log::info( "quota_holders_changed",
                   { { "links", static_cast<std::int64_t>( m_links.all().size() ) },
                     { "gateways", m_links.gateways() } } );
        sendUpdates( now );
    }
}

void QuotaClient::sendUpdates( MonoTime now ) {
    m_updatesSentAt = now;
    for( const auto& [ip, link] : m_links.all() ) {
        auto update = m_gatewayQuotas.updateFor( ip );
        const bool updateNeeded = !update.rates.empty() || m_updatedHolders.contains( ip );
        if( !updateNeeded || !link->mayBeResponsive( now ) ) {
            continue;
        }
        if( update.rates.empty() ) {
            m_updatedHolders.erase( ip );
        } else {
            m_updatedHolders.insert( ip );
        }
        update.gateway = m_vm;
        link->send( Message( std::move( update ) ) );
        m_gatewayQuotas.noteUpdateSent( ip, now );
    }
}

net::Task<std::optional<QuotaDecision>> QuotaClient::queryHolder( std::string organisation,
                                                                  double units, MonoTime until ) {
    const auto askedAt = MonoClock::now();
    const auto holder = m_links.find( m_gatewayQuotas.holderOf( organisation, askedAt ) );
    if( !holder ) {
        co_return std::nullopt;
    }
    decide::QuotaRequest request;
    request.organisation = organisation;
    request.needed = units;
    request.preferred = m_gatewayQuotas.amountToRequest( organisation, units, askedAt );
    request.maxWaitMs = remaining( askedAt, until ).count();
    const auto answer = co_await holder->requestQuota( std::move( request ), queryTimeout );
    if( !answer || !answer->known ) {
        co_return std::nullopt;
    }
    if( answer->granted < units ) {
        const auto after = std::max( Millis( answer->waitMs ), minRetryAfter );
        co_return QuotaDecision{ QuotaVerdict::over, after };
    }
    m_gatewayQuotas.addGrant( organisation, answer->granted - units, askedAt );
    if( answer->waitMs > 0 ) {
        co_await net::pause( m_context, Millis( answer->waitMs ) );
    }
    co_return QuotaDecision{};
}

net::Task<QuotaDecision> QuotaClient::obtain( std::string organisation, double units,
                                              Millis timeout ) {
    auto now = MonoClock::now();
    const auto until = now + timeout;
    if( m_gatewayQuotas.spend( organisation, units, now ) ) {
        co_return QuotaDecision{};
    }
    for( ;; ) {
        std::string name = organisation;
        const auto decision = co_await queryHolder( std::move( name ), units, until );
        if( decision ) {
            co_return *decision;
        }
        now = MonoClock::now();
        if( m_gatewayQuotas.spendReserve( organisation, units, now ) ) {
            co_return QuotaDecision{};
        }
        if( now + retryInterval >= until ) {
            co_return QuotaDecision{ QuotaVerdict::unknown, decide::GatewayQuotas::reserveWait() };
        }
        co_await net::pause( m_context, retryInterval );
    }
}

void QuotaClient::refund( const std::string& organisation, double units ) {
    const auto now = MonoClock::now();
    const auto link = m_links.find( m_gatewayQuotas.holderOf( organisation, now ) );
    if( link ) {
        link->send( Message( decide::QuotaReturn{ organisation, units } ) );
    }
}

} // namespace coursehead::gateway
