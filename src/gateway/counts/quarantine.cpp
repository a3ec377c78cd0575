// SPDX-License-Identifier: BSL-1.0
// Withholds poison requests, whose content makes upstreams crash, and records what their sends
// show.
#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/exchange/exchange.hpp"
#include "gateway/exchange/status.hpp"

namespace coursehead::gateway {

namespace {

constexpr std::string_view quarantineReason = "it ends what runs it";

} // namespace

net::Task<bool> Exchange::refuseQuarantined() {
    if( m_shared.poison == nullptr ) {
        co_return false;
    }
    const auto left = m_shared.poison->quarantineLeft( m_fingerprint, MonoClock::now() );
    if( left.count() == 0 ) {
        co_return false;
    }
    // Retry-After tells when the quarantine ends. It does not promise an answer: the request then
    // gets one more try.
    std::string reason( quarantineReason );
    m_shared.metrics.count( "quarantined_requests" );
    co_await sendOwnAnswer( statusUnavailable, std::move( reason ), left );
    logEnd( "quarantined" );
    co_return true;
}

bool Exchange::contentMayBeSent() {
    if( m_shared.poison == nullptr ) {
        return true;
    }
    const auto left = m_shared.poison->quarantineLeft( m_fingerprint, MonoClock::now() );
    const bool tried = m_sends > 0 && m_shared.poison->onTrial( m_fingerprint );
    if( left.count() == 0 && !tried ) {
        return true;
    }
    m_lastFailure = quarantineReason;
    m_retryAfter = std::max( m_retryAfter, left );
    log::info( "send_withheld", { { "id", m_request.head.requestId },
                                  { "fingerprint", decide::fingerprintText( m_fingerprint ) },
                                  { "left_ms", left.count() } } );
    return false;
}

void Exchange::recordPoisonEvidence( const NodePtr& node, const SendResult& sent, MonoTime now ) {
    if( m_shared.poison == nullptr ) {
        return;
    }
    if( sent.end == SendOutcome::answered || sent.end == SendOutcome::streamed ) {
        m_shared.poison->noteCompletedRun( m_fingerprint );
    } else if( sent.connectionBroke ) {
        const auto eventsMs = m_firstEventAt ? millisBetween( *m_firstEventAt, now ) : -1;
        m_shared.poison->noteBrokenRun( node, m_fingerprint, decide::evidenceWeight( eventsMs ) );
    }
}

} // namespace coursehead::gateway
