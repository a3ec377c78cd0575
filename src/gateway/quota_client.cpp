// SPDX-License-Identifier: BSL-1.0
#include "gateway/quota_client.hpp"

#include "coursehead/kernel/log.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Holders are told this often what is obtained there: twice within a membership, and some delay.
constexpr Millis tellEvery{ 400 };
//! A holder answers within some milliseconds; one that does not is busy or gone.
constexpr Millis askLimit{ 150 };
//! Pause until it is looked again whether somebody can be asked.
constexpr Millis lookAgain{ 25 };
//! Refused clients come back no sooner: a connection and a request take some milliseconds.
constexpr Millis leastRetryAfter{ 50 };

} // namespace

QuotaClient::QuotaClient( net::asio::io_context& context, Fleet& fleet, std::string vm,
                          const platform::Bounds& bounds )
    : m_context( context ), m_vm( std::move( vm ) ), m_book( platform::quotaRule( bounds ) ),
      m_links( fleet, bounds.quotaWindow ) {}

void QuotaClient::setBounds( const platform::Bounds& bounds ) {
    m_book.setRule( platform::quotaRule( bounds ) );
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
    m_book.setRates( configuration.version, rates );
    m_toldAt = MonoTime{};
}

void QuotaClient::tick( MonoTime now ) {
    if( !m_anyLimit ) {
        return;
    }
    lookAtLinks( now );
    for( const auto& it : m_book.takeUnused( now ) ) {
        const auto link = m_links.find( it.holder );
        if( link ) {
            link->send( Message( it.back ) );
        }
    }
    if( now - m_toldAt >= tellEvery ) {
        tellHolders( now );
    }
}

void QuotaClient::lookAtLinks( MonoTime now ) {
    m_links.look( now );
    if( m_book.setCandidates( m_links.candidates( now ), m_links.gateways(), now ) ) {
        log::info( "quota_holders_changed",
                   { { "links", static_cast<std::int64_t>( m_links.all().size() ) },
                     { "gateways", m_links.gateways() } } );
        tellHolders( now );
    }
}

void QuotaClient::tellHolders( MonoTime now ) {
    m_toldAt = now;
    for( const auto& [ip, link] : m_links.all() ) {
        auto news = m_book.updateFor( ip );
        const bool concerns = !news.rates.empty() || m_told.contains( ip );
        if( !concerns || !link->mayBeResponsive( now ) ) {
            continue;
        }
        if( news.rates.empty() ) {
            m_told.erase( ip );
        } else {
            m_told.insert( ip );
        }
        news.gateway = m_vm;
        link->send( Message( std::move( news ) ) );
        m_book.noteUpdateSent( ip, now );
    }
}

net::Task<std::optional<QuotaDecision>> QuotaClient::ask( std::string organisation, double units,
                                                          MonoTime until ) {
    const auto asked = MonoClock::now();
    const auto holder = m_links.find( m_book.holderOf( organisation, asked ) );
    if( !holder ) {
        co_return std::nullopt;
    }
    decide::QuotaRequest question;
    question.organisation = organisation;
    question.needed = units;
    question.preferred = m_book.amountToRequest( organisation, units, asked );
    question.maxWaitMs = remaining( asked, until ).count();
    const auto answer = co_await holder->requestQuota( std::move( question ), askLimit );
    if( !answer || !answer->known ) {
        co_return std::nullopt;
    }
    if( answer->granted < units ) {
        const auto after = std::max( Millis( answer->waitMs ), leastRetryAfter );
        co_return QuotaDecision{ QuotaVerdict::over, after };
    }
    m_book.addGrant( organisation, answer->granted - units, asked );
    if( answer->waitMs > 0 ) {
        co_await net::pause( m_context, Millis( answer->waitMs ) );
    }
    co_return QuotaDecision{};
}

net::Task<QuotaDecision> QuotaClient::obtain( std::string organisation, double units,
                                              Millis patience ) {
    auto now = MonoClock::now();
    const auto until = now + patience;
    if( m_book.spend( organisation, units, now ) ) {
        co_return QuotaDecision{};
    }
    for( ;; ) {
        std::string name = organisation;
        const auto decision = co_await ask( std::move( name ), units, until );
        if( decision ) {
            co_return *decision;
        }
        now = MonoClock::now();
        if( m_book.spendReserve( organisation, units, now ) ) {
            co_return QuotaDecision{};
        }
        if( now + lookAgain >= until ) {
            co_return QuotaDecision{ QuotaVerdict::unknown, decide::GatewayQuotas::reserveWait() };
        }
        co_await net::pause( m_context, lookAgain );
    }
}

void QuotaClient::refund( const std::string& organisation, double units ) {
    const auto now = MonoClock::now();
    const auto link = m_links.find( m_book.holderOf( organisation, now ) );
    if( link ) {
        link->send( Message( decide::QuotaReturn{ organisation, units } ) );
    }
}

} // namespace coursehead::gateway
