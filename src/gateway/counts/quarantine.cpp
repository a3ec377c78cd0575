// SPDX-License-Identifier: BSL-1.0
// Withholds poison requests, whose content makes upstreams crash, and records what their sends
// show.
#include "coursehead/kernel/log.hpp"
#include "decide/fingerprint.hpp"
#include "gateway/exchange/exchange.hpp"
#include "gateway/exchange/status.hpp"
#include "gateway/exchange/transfer.hpp"

namespace coursehead::gateway {

namespace {

constexpr unsigned firstNonSuccessStatus = 300;
constexpr std::string_view quarantineReason = "it ends what runs it";
constexpr std::string_view partReason = "a part of its prompt ends what runs it";
//! Retry-After while another gateway tries the part.
constexpr Millis trialRetryAfter{ 1000 };

} // namespace

net::Task<bool> Exchange::refuseQuarantined() {
    if( m_shared.poison == nullptr ) {
        co_return false;
    }
    const auto left = m_shared.poison->quarantineLeft( m_fingerprint, MonoClock::now() );
    if( left.count() == 0 ) {
        co_return co_await refuseQuarantinedPart();
    }
    // Retry-After tells when the quarantine ends. It does not promise an answer: the request then
    // gets one more try.
    std::string reason( quarantineReason );
    m_shared.metrics.count( "quarantined_requests" );
    co_await sendOwnAnswer( statusUnavailable, std::move( reason ), left );
    logEnd( "quarantined" );
    co_return true;
}

net::Task<bool> Exchange::refuseQuarantinedPart() {
    const auto& parts = m_request.head.sharedParts;
    auto& guard = m_shared.poison->parts();
    auto verdict = guard.judge( parts, MonoClock::now() );
    if( verdict.withheld != nullptr && verdict.left.count() == 0 ) {
        std::vector<decide::SharedPart> candidates = parts;
        co_await guard.applyForTrials( std::move( candidates ) );
        verdict = guard.judge( parts, MonoClock::now() );
    }
    if( verdict.withheld == nullptr ) {
        co_return false;
    }
    logWithheldPart( verdict );
    m_shared.metrics.count( "quarantined_requests" );
    std::string reason( partReason );
    co_await sendOwnAnswer( statusUnavailable, std::move( reason ),
                            std::max( verdict.left, trialRetryAfter ) );
    logEnd( "quarantined" );
    co_return true;
}

bool Exchange::partsMayBeSent() {
    const auto verdict =
        m_shared.poison->parts().judge( m_request.head.sharedParts, MonoClock::now() );
    if( verdict.withheld == nullptr ) {
        return true;
    }
    m_lastFailure = partReason;
    m_retryAfter = std::max( { m_retryAfter, verdict.left, trialRetryAfter } );
    logWithheldPart( verdict );
    return false;
}

void Exchange::logWithheldPart( const PartVerdict& verdict ) const {
    log::info( "part_withheld",
               { { "id", m_request.head.requestId },
                 { "part", verdict.withheld->id },
                 { "fingerprint", decide::fingerprintText( verdict.withheld->fingerprint ) },
                 { "left_ms", verdict.left.count() } } );
}

bool Exchange::contentMayBeSent() {
    if( m_shared.poison == nullptr ) {
        return true;
    }
    if( !partsMayBeSent() ) {
        return false;
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
    FinishedRun run;
    run.content = m_fingerprint;
    run.parts = m_request.head.sharedParts;
    run.begunAt = m_firstEventAt.value_or( m_sentAt );
    run.endedAt = now;
    run.eventsMs = m_firstEventAt ? millisBetween( *m_firstEventAt, now ) : -1;
    run.partsSound = m_partsSound;
    const bool answered = sent.end == SendOutcome::answered;
    run.succeeded = sent.end == SendOutcome::streamed ||
                    ( answered && m_answer->status < firstNonSuccessStatus );
    if( !answered && sent.end != SendOutcome::streamed ) {
        if( sent.connectionBroke ) {
            m_shared.poison->noteBrokenRun( node, run );
        }
    } else if( m_framing == unframed ) {
        m_shared.poison->noteUnframedEnd( node, run );
    } else {
        m_shared.poison->noteCompletedRun( run );
    }
}

void Exchange::noteProgress( MonoTime now ) {
    if( m_shared.poison == nullptr || m_partsSound ||
        now - *m_firstEventAt < decide::longRunTime ) {
        return;
    }
    m_partsSound = true;
    m_shared.poison->parts().noteSound( m_request.head.sharedParts, *m_firstEventAt );
}

} // namespace coursehead::gateway
