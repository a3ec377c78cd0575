// SPDX-License-Identifier: BSL-1.0
// Requests whose content ends what runs it: what sends show of it, and what follows.
#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/exchange.hpp"
#include "gateway/status.hpp"

namespace coursehead::gateway {

namespace {

constexpr std::string_view quarantined = "it ends what runs it";

} // namespace

net::Task<bool> Exchange::refuseQuarantined() {
    if( m_shared.poison == nullptr ) {
        co_return false;
    }
    const auto left = m_shared.poison->holdLeft( m_fingerprint, MonoClock::now() );
    if( left.count() == 0 ) {
        co_return false;
    }
    // True, and without a promise that it will be served then: it gets one more try.
    std::string reason( quarantined );
    m_shared.metrics.count( "quarantined_requests" );
    co_await answerOwn( statusUnavailable, std::move( reason ), left );
    logEnd( "quarantined" );
    co_return true;
}

bool Exchange::maySend() {
    if( m_shared.poison == nullptr ) {
        return true;
    }
    const auto left = m_shared.poison->holdLeft( m_fingerprint, MonoClock::now() );
    const bool tried = m_sends > 0 && m_shared.poison->onTrial( m_fingerprint );
    if( left.count() == 0 && !tried ) {
        return true;
    }
    m_lastWhy = quarantined;
    m_retryAfter = std::max( m_retryAfter, left );
    log::info( "send_withheld", { { "id", m_request.head.requestId },
                                  { "fingerprint", decide::fingerprintText( m_fingerprint ) },
                                  { "left_ms", left.count() } } );
    return false;
}

void Exchange::judgeContent( const NodePtr& node, const Sent& sent, MonoTime now ) {
    if( m_shared.poison == nullptr ) {
        return;
    }
    if( sent.end == SendEnd::answered || sent.end == SendEnd::streamed ) {
        m_shared.poison->noteWhole( m_fingerprint );
    } else if( sent.broke ) {
        const auto eventsMs = m_heardAt ? millisBetween( *m_heardAt, now ) : -1;
        m_shared.poison->noteBroken( node, m_fingerprint, decide::weightOf( eventsMs ) );
    }
}

} // namespace coursehead::gateway
