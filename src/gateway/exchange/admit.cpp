// SPDX-License-Identifier: BSL-1.0
// Admission of a request: checks configuration, route, key and quota.
#include "gateway/exchange/access.hpp"
#include "gateway/exchange/exchange.hpp"
#include "gateway/exchange/status.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Maximum number of requests that wait for the configuration and the upstreams: each holds its
//! body in memory.
constexpr int maxWaitingForStart = 200;
//! A request waits for its organisation's quota for at most its route's goal divided by this. The
//! rest of the goal remains for serving the request, and an early refusal leaves the client time to
//! retry.
constexpr int quotaWaitDivisor = 5;

std::string_view view( boost::beast::string_view text ) {
    return { text.data(), text.size() };
}

} // namespace

net::Task<> Exchange::waitForStart() {
    if( m_shared.waitingForStart >= maxWaitingForStart ) {
        co_return;
    }
    ++m_shared.waitingForStart;
    const auto until = startupWaitEnd( m_request.arrived, m_shared.started );
    while( ( !m_shared.table || !m_shared.listed ) && !m_client->disconnected &&
           MonoClock::now() < until ) {
        co_await net::pause( m_shared.context, startPollInterval );
    }
    --m_shared.waitingForStart;
    m_table = m_shared.table;
}

net::Task<bool> Exchange::admit() {
    if( !m_table || !m_shared.listed ) {
        co_await waitForStart();
    }
    if( !m_table ) {
        std::string reason = "no configuration yet";
        co_await sendOwnAnswer( statusUnavailable, std::move( reason ), modelRetryAfter );
        co_return false;
    }
    const auto host = m_request.fields.find( http::field::host );
    const auto hostText =
        host == m_request.fields.end() ? std::string_view{} : view( host->value() );
    m_route = m_table->find( hostText, m_request.target );
    const auto* chosenSplit =
        m_route == nullptr ? nullptr : pickSplit( *m_route, m_shared.random.unit() );
    if( chosenSplit == nullptr ) {
        std::string reason = "no route";
        co_await sendOwnAnswer( statusNotFound, std::move( reason ), Millis{ 0 } );
        logEnd( "no_route" );
        co_return false;
    }
    m_service = chosenSplit->service;
    const auto access =
        checkAccess( *m_table, *m_route, m_request.head.key, m_shared.configurationUpToDate );
    m_organisation = access.organisation;
    if( access.verdict != AccessVerdict::allowed ) {
        const bool denied = access.verdict == AccessVerdict::denied;
        std::string reason = denied ? "key not known" : "key not known here yet";
        co_await sendOwnAnswer( denied ? statusUnauthorized : statusUnavailable,
                                std::move( reason ), denied ? Millis{ 0 } : modelRetryAfter );
        logEnd( denied ? "denied" : "refused" );
        co_return false;
    }
    m_deadline = m_request.arrived + m_route->timeout;
    if( m_request.head.deadline ) {
        m_deadline = std::min( m_deadline, m_request.arrived + *m_request.head.deadline );
    }
    if( m_shared.pastHandover && m_deadline > m_shared.stopAt ) {
        std::string reason = "leaving";
        co_await sendOwnAnswer( statusUnavailable, std::move( reason ), modelRetryAfter );
        logEnd( "refused" );
        co_return false;
    }
    const bool overloaded = co_await refuseOverload();
    co_return !overloaded;
}

net::Task<bool> Exchange::refuseOverload() {
    const auto& capacity = m_shared.capacity;
    if( capacity.level() == 0 ) {
        co_return false;
    }
    const bool hasOwnPriority = m_organisation != nullptr && m_organisation->priority;
    const int priority = hasOwnPriority ? *m_organisation->priority : m_route->priority;
    const auto& known = m_shared.priorities;
    const auto rank = std::lower_bound( known.begin(), known.end(), priority ) - known.begin();
    if( !capacity.refuses( static_cast<int>( rank ), static_cast<int>( known.size() ) ) ) {
        co_return false;
    }
    const auto cause = decide::capacityCauseText( capacity.load().cause );
    m_shared.metrics.count( "capacity_refusals", cause );
    // The client's next connection goes through the load balancer, to another gateway by chance.
    m_keepAlive = false;
    std::string reason = "gateway at capacity";
    co_await sendOwnAnswer( statusUnavailable, std::move( reason ), defaultRetryAfter );
    logEnd( "refused" );
    co_return true;
}

net::Task<bool> Exchange::charge() {
    if( m_organisation == nullptr || m_shared.quota == nullptr ) {
        co_return true;
    }
    const auto& limit = m_organisation->limit;
    const double units = chargeOf( limit, m_request.head.tokens );
    if( !limit.limited() || units <= 0 ) {
        co_return true;
    }
    const auto maxWait = m_route->goal / quotaWaitDivisor;
    std::string name = m_organisation->name;
    const auto decision = co_await m_shared.quota->obtain( std::move( name ), units, maxWait );
    if( decision.verdict == QuotaVerdict::granted ) {
        m_charged = units;
        co_return true;
    }
    const bool over = decision.verdict == QuotaVerdict::over;
    std::string reason = over ? "beyond the organisation's limit" : "limit not known now";
    m_shared.metrics.count( "quota_refusals", over ? "over" : "unknown" );
    co_await sendOwnAnswer( over ? statusTooManyRequests : statusUnavailable, std::move( reason ),
                            decision.retryAfter );
    logEnd( over ? "over_quota" : "refused" );
    co_return false;
}

} // namespace coursehead::gateway
