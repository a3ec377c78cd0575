// SPDX-License-Identifier: BSL-1.0
// Withholds poison requests, whose content makes upstreams crash, and records what their sends
// show.
#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/exchange.hpp"
#include "gateway/status.hpp"

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
    co_await answerOwn( statusUnavailable, std::move( reason ), left );
    logEnd( "quarantined" );
    co_return true;
}

bool Exchange::maySend() {
    if( m_shared.poison == nullptr ) {
        return true;
    }
    const auto left = m_shared.poison->quarantineLeft( m_fingerprint, MonoClock::now() );
    const bool tried = m_sends > 0 && m_shared.poison->onTrial( m_fingerprint );
    if( left.count() == 0 && !tried ) {
        return true;
    }
    m_lastWhy = quarantineReason;
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
        m_shared.poison->noteCompletedRun( m_fingerprint );
    } else if( sent.broke ) {
        const auto eventsMs = m_heardAt ? millisBetween( *m_heardAt, now ) : -1;
        m_shared.poison->noteBrokenRun( node, m_fingerprint, decide::weightOf( eventsMs ) );
    }
}

} // namespace coursehead::gateway
