// SPDX-License-Identifier: BSL-1.0
#include "sidecar/prompt_gate.hpp"

#include <algorithm>

namespace coursehead::sidecar {

namespace {

//! A prompt admitted within this time may not have reached the engine when it reports: the answer
//! to the gateway, a new connection and the request take some milliseconds each.
constexpr Millis maxSendTime{ 30 };
//! Smooths the usual prompt size over about the last ten prompts.
constexpr double typicalSmoothing = 0.1;

gateway::Generation generationOf( const PromptRequest& request ) {
    gateway::Generation out;
    out.model = request.model;
    out.adapter = request.adapter;
    out.promptTokens = request.prompt.tokens;
    for( const auto& it : request.prompt.parts ) {
        out.parts.push_back( { it.key, it.tokens } );
    }
    return out;
}

std::vector<std::uint64_t> partKeysOf( const PromptRequest& request ) {
    std::vector<std::uint64_t> out;
    for( const auto& it : request.prompt.parts ) {
        out.push_back( it.key );
    }
    return out;
}

} // namespace

void PromptGate::setEngine( std::int64_t cacheTokens, Millis gapTarget ) {
    m_queue.setGapTarget( gapTarget );
    if( cacheTokens != m_cacheTokens ) {
        m_cacheTokens = cacheTokens;
        m_prefixes.setCapacity( cacheTokens );
    }
}

std::int64_t PromptGate::cachedTokens( const PromptRequest& request ) const {
    return m_prefixes.cachedTokens( partKeysOf( request ), generationOf( request ) );
}

std::int64_t PromptGate::uncachedTokens( const PromptRequest& request ) const {
    return std::max<std::int64_t>( request.prompt.tokens - cachedTokens( request ), 0 );
}

double PromptGate::uncachedWorkMs( const PromptRequest& request ) const {
    return static_cast<double>( uncachedTokens( request ) ) * request.prompt.msPerToken;
}

ReadingPlan PromptGate::planFor( const PromptRequest& request, MonoTime now ) const {
    const auto& prompt = request.prompt;
    const auto cached = cachedTokens( request );
    ReadingPlan out;
    out.readAllMs = uncachedWorkMs( request );
    out.workMs = out.readAllMs;
    if( prompt.cachedAt.empty() ) {
        return out;
    }
    decide::FetchOption option;
    option.tokens = std::min( prompt.cachedTokens, prompt.tokens ) - cached;
    option.msPerToken = prompt.msPerToken;
    option.queuedTransfers = m_fetches.queuedTransfers( now );
    option.otherHall = prompt.cachedOtherHall;
    option.recentFailure = m_fetches.failedLately( prompt.cachedAt, now );
    option.readyIn = Millis( prompt.cachedReadyMs );
    option.startIn = m_queue.waitFor( 0, now );
    out.decision = decide::decideFetch( m_partLink, option );
    if( out.fetches() ) {
        out.fetchTokens = option.tokens;
        out.transfer = decide::transferTime( m_partLink, option );
        const auto readTokens = static_cast<double>( uncachedTokens( request ) - option.tokens );
        const auto transferMs =
            static_cast<double>( ( option.queuedTransfers + out.transfer ).count() );
        out.workMs = readTokens * prompt.msPerToken + transferMs;
    }
    return out;
}

ReadingPlan PromptGate::planAtAdmission( const PromptRequest& request, ReadingPlan plan ) const {
    const auto there = std::min( request.prompt.cachedTokens, request.prompt.tokens );
    if( plan.fetches() && cachedTokens( request ) >= there ) {
        plan.decision = decide::FetchDecision::noTokens;
    }
    return plan;
}

decide::ReadingVerdict PromptGate::ask( const PromptRequest& request, MonoTime now ) {
    const auto goal = request.since + std::min( Millis( request.prompt.goalMs ), request.limit );
    const auto plan = planFor( request, now );
    decide::ReadingRequest reading{
        request.key, plan.workMs, goal, request.prompt.urgency, request.prompt.organisation, now };
    auto verdict = m_queue.ask( reading, now );
    if( !verdict.accepted && request.prompt.mayStartLate ) {
        reading.startBy = request.since + request.limit;
        reading.late = true;
        verdict = m_queue.ask( reading, now );
    }
    if( verdict.accepted ) {
        m_waiting.emplace( request.key, Waiting{ request, plan } );
    }
    return verdict;
}

std::vector<AdmittedPrompt> PromptGate::takeAdmitted( MonoTime now ) {
    std::vector<AdmittedPrompt> out;
    while( const auto next = m_queue.takeNext( now ) ) {
        const auto it = m_waiting.find( next->key );
        const auto& request = it->second.request;
        const auto plan = planAtAdmission( request, it->second.plan );
        m_typicalWorkMs += typicalSmoothing * ( next->workMs - m_typicalWorkMs );
        m_fetches.noteSent( next->key, now );
        if( plan.fetches() ) {
            const Millis expected( static_cast<std::int64_t>( plan.workMs ) );
            const Millis readAll( static_cast<std::int64_t>( plan.readAllMs ) );
            m_fetches.noteFetch(
                { next->key, request.prompt.cachedAt, plan.transfer, expected, readAll }, now );
        }
        m_prefixes.insert( partKeysOf( request ), generationOf( request ) );
        m_waiting.erase( it );
        m_admissionTimes.push_back( now );
        out.push_back( { next->key, next->workMs, plan } );
    }
    return out;
}

std::vector<RefusedPrompt> PromptGate::takeRefused( MonoTime now ) {
    std::vector<RefusedPrompt> out;
    for( const auto& it : m_queue.takeExpired( now ) ) {
        if( !waitsOn( it, now ) ) {
            out.push_back( refuse( it, decide::PromptRefusal::reading, now ) );
        }
    }
    for( const auto& it : m_queue.takeDisplaced() ) {
        if( !waitsOn( it, now ) ) {
            out.push_back( refuse( it, decide::PromptRefusal::displaced, now ) );
        }
    }
    return out;
}

//! Queues a prompt again, within its limit, if it may start after its goal.
bool PromptGate::waitsOn( decide::ReadingRequest reading, MonoTime now ) {
    const auto& request = m_waiting.at( reading.key ).request;
    const auto latestStart = request.since + request.limit;
    const bool mayStartLate = request.prompt.mayStartLate && reading.startBy < latestStart;
    reading.startBy = latestStart;
    reading.late = true;
    return mayStartLate && m_queue.ask( reading, now ).accepted;
}

RefusedPrompt PromptGate::refuse( const decide::ReadingRequest& reading,
                                  decide::PromptRefusal refusal, MonoTime now ) {
    m_waiting.erase( reading.key );
    return { reading.key, refusal, m_queue.waitFor( reading.workMs, now ) };
}

void PromptGate::withdraw( std::uint64_t key, MonoTime now ) {
    m_queue.withdraw( key, now );
    m_fetches.forget( key );
    m_waiting.erase( key );
}

std::vector<decide::StartedFetch> PromptGate::noteUnread( std::size_t prompts, MonoTime now ) {
    while( !m_admissionTimes.empty() && now - m_admissionTimes.front() > maxSendTime ) {
        m_admissionTimes.pop_front();
    }
    const auto unread = std::max( prompts, m_admissionTimes.size() );
    m_queue.noteUnread( unread, now );
    return m_fetches.noteUnread( unread, now );
}

void PromptGate::clear() {
    m_queue.clear();
    m_fetches.clear();
    m_waiting.clear();
    m_prefixes = gateway::PrefixCache( m_cacheTokens );
}

} // namespace coursehead::sidecar
