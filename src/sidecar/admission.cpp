// SPDX-License-Identifier: BSL-1.0
#include "sidecar/admission.hpp"

#include "coursehead/kernel/log.hpp"

#include <utility>

namespace coursehead::sidecar {

namespace {

using gateway::EnsureOutcome;

// Parts of the gap target, for the pauses between events while prompts are read: up to the first,
// prompt reading is not limited; above the second it is limited again. The first part leaves a
// margin, because the pauses are measured mostly with short prompts and long prompts lengthen them
// further: a first part of 0.75 cost a loaded day 4% of its worth.
constexpr double liftLimitPart = 0.5;
constexpr double restoreLimitPart = 0.65;

PromptRequest promptRequestOf( const PendingEnsure& ensure ) {
    return { ensure.key,
             ensure.required.model,
             ensure.required.adapter,
             ensure.prompt,
             ensure.since,
             ensure.limit,
             ensure.returned == decide::ReturnVerdict::inTime };
}

} // namespace

Admission::Admission( net::asio::io_context& context, Callbacks callbacks )
    : m_callbacks( std::move( callbacks ) ), m_timer( context ) {}

void Admission::setEngine( std::int64_t cacheTokens, Millis gapTarget ) {
    m_cacheTokens = cacheTokens;
    m_gapTarget = gapTarget;
    updateReadingLimit();
}

//! Limits prompt reading to a part of the engine's time, so that streams meet their gap target.
//! Lifts the limit while streams meet it without.
void Admission::updateReadingLimit() {
    const auto pause = m_eventPace.pauseWhileReading();
    const auto longest = m_gapTarget * ( m_readingUnlimited ? restoreLimitPart : liftLimitPart );
    const bool inTime = pause && *pause <= longest;
    if( inTime != m_readingUnlimited ) {
        log::info( inTime ? "reading_free" : "reading_limited",
                   { { "pause_ms", pause ? pause->count() : -1 },
                     { "gap_target_ms", m_gapTarget.count() } } );
        m_readingUnlimited = inTime;
    }
    m_gate.setEngine( m_cacheTokens, inTime ? Millis{ 0 } : m_gapTarget );
}

void Admission::admit( PendingEnsure ensure ) {
    if( ensure.prompt.tokens == 0 ) {
        m_callbacks.answer( ensure, EnsureOutcome::ready, Millis{ 0 }, 0 );
        return;
    }
    const auto now = MonoClock::now();
    const auto coldWait = m_coldGate.wait( m_coldPerS, now );
    if( coldWait.count() > 0 ) {
        refuse( std::move( ensure ), decide::PromptRefusal::cold, coldWait, {} );
        return;
    }
    if( ensure.returned == decide::ReturnVerdict::unknown ) {
        ensure.returned = m_returns.arrive( ensure.prompt.content, now );
    }
    const auto verdict = m_returns.ask( promptRequestOf( ensure ), now );
    if( !verdict.accepted ) {
        refuse( std::move( ensure ), verdict.refusal, verdict.wait, verdict.place );
        return;
    }
    m_waiting.emplace( ensure.key, std::move( ensure ) );
    admitDue();
}

//! Answers that the prompt is not admitted now, why, when the engine could start on it, and which
//! place is held for its return.
void Admission::refuse( PendingEnsure ensure, decide::PromptRefusal refusal, Millis wait,
                        const decide::HeldPlace& place ) {
    const auto& prompt = ensure.prompt;
    log::info( "prompt_refused",
               { { "cause", decide::nameOf( refusal ) },
                 { "route", prompt.route },
                 { "organisation", prompt.organisation },
                 { "urgency", prompt.urgency },
                 { "tokens", prompt.tokens },
                 { "goal_ms", prompt.goalMs },
                 { "may_start_late", prompt.mayStartLate ? "yes" : "no" },
                 { "waited_ms", millisBetween( ensure.since, MonoClock::now() ) },
                 { "prompts_waiting", static_cast<std::int64_t>( m_gate.waiting() ) },
                 { "wait_ms", wait.count() },
                 { "place_ms", place.held.count() } } );
    ensure.refusal = refusal;
    ensure.returnIn = place.wait;
    ensure.placeHeld = place.held;
    m_callbacks.answer( ensure, EnsureOutcome::tooLate, wait, 0 );
}

//! Admits the prompts that are due, and sets the timer for the next one.
void Admission::admitDue() {
    const auto now = MonoClock::now();
    for( const auto& due : m_gate.takeAdmitted( now ) ) {
        auto entry = m_waiting.extract( due.key );
        if( entry.empty() ) {
            continue;
        }
        auto& ensure = entry.mapped();
        if( !m_callbacks.isResident( ensure.required ) ) {
            m_gate.withdraw( due.key, now );
            m_callbacks.notResident( std::move( ensure ) );
            continue;
        }
        const auto coldWait = m_coldGate.wait( m_coldPerS, now );
        if( coldWait.count() > 0 ) {
            m_gate.withdraw( due.key, now );
            refuse( std::move( ensure ), decide::PromptRefusal::cold, coldWait, {} );
            continue;
        }
        if( m_coldGate.isCold( now ) ) {
            m_coldGate.take( now );
        }
        m_returns.noteAdmitted( ensure.prompt.content );
        ensure.fetchParts = due.plan.fetches();
        if( !ensure.prompt.cachedAt.empty() && m_callbacks.partsPlanned ) {
            m_callbacks.partsPlanned( ensure, due.plan );
        }
        m_speed.notePrompt( due.key, due.workMs, now );
        m_callbacks.admitted( ensure );
        m_callbacks.answer( ensure, EnsureOutcome::ready, m_gate.typicalWait( now ), due.workMs );
    }
    for( const auto& it : m_gate.takeRefused( now ) ) {
        auto entry = m_waiting.extract( it.key );
        if( !entry.empty() ) {
            const auto place = m_returns.refuse( promptRequestOf( entry.mapped() ), it.wait, now );
            refuse( std::move( entry.mapped() ), it.refusal, it.wait, place );
        }
    }
    const auto next = m_gate.nextAt( now );
    if( !next ) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at( *next );
    m_timer.async_wait( [this]( net::ErrorCode ec ) {
        if( !ec ) {
            admitDue();
        }
    } );
}

void Admission::takeReport( const gateway::EngineReport& report, MonoTime now ) {
    const auto unread = report.queued + report.prefilling;
    m_speed.takeReport( report, now );
    if( m_gapTarget.count() > 0 ) {
        m_eventPace.update( report.runs, unread > 0, now );
        updateReadingLimit();
    }
    for( const auto& it : m_gate.noteUnread( unread, now ) ) {
        if( m_callbacks.fetchFailed ) {
            m_callbacks.fetchFailed( it );
        }
    }
    admitDue();
}

void Admission::forget( std::uint64_t key ) {
    m_waiting.erase( key );
    m_returns.release( key );
    m_speed.withdraw( key );
    m_gate.withdraw( key, MonoClock::now() );
    admitDue();
}

void Admission::forgetPeer( const Peer& peer ) {
    const auto now = MonoClock::now();
    std::erase_if( m_waiting, [&]( const auto& it ) {
        const bool gone = it.first == ensureKey( peer, it.second.number );
        if( gone ) {
            m_gate.withdraw( it.first, now );
        }
        return gone;
    } );
    admitDue();
}

void Admission::failAll() {
    m_gate.clear();
    m_returns.clear();
    m_speed.clear();
    for( const auto& it : std::exchange( m_waiting, {} ) ) {
        m_callbacks.answer( it.second, EnsureOutcome::failed, Millis{ 0 }, 0 );
    }
}

} // namespace coursehead::sidecar
