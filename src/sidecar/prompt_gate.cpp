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

ReadingPlan PromptGate::planFor( const PromptRequest& request, MonoTime now ) const {
    const auto& prompt = request.prompt;
    const auto cached = cachedTokens( request );
    const auto uncached = std::max<std::int64_t>( prompt.tokens - cached, 0 );
    ReadingPlan out;
    out.readAllMs = static_cast<double>( uncached ) * prompt.msPerToken;
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
        const auto readTokens = static_cast<double>( uncached - option.tokens );
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
    decide::ReadingRequest reading{ request.key, plan.workMs, goal };
    auto verdict = m_queue.ask( reading, now );
    if( !verdict.accepted && request.prompt.mayStartLate ) {
        reading.startBy = request.since + request.limit;
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

std::vector<std::uint64_t> PromptGate::takeExpired( MonoTime now ) {
    std::vector<std::uint64_t> out;
    for( auto reading : m_queue.takeExpired( now ) ) {
        const auto it = m_waiting.find( reading.key );
        const auto& request = it->second.request;
        const auto latestStart = request.since + request.limit;
        // The goal is missed, but this prompt may start late: queue it again within its limit.
        const bool mayStartLate = request.prompt.mayStartLate && reading.startBy < latestStart;
        reading.startBy = latestStart;
        if( mayStartLate && m_queue.ask( reading, now ).accepted ) {
            continue;
        }
        m_waiting.erase( it );
        out.push_back( reading.key );
    }
    return out;
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
