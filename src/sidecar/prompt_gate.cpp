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

double PromptGate::uncachedWorkMs( const PromptRequest& request ) const {
    const auto cachedTokens =
        m_prefixes.cachedTokens( partKeysOf( request ), generationOf( request ) );
    const auto uncachedTokens = std::max<std::int64_t>( request.prompt.tokens - cachedTokens, 0 );
    return static_cast<double>( uncachedTokens ) * request.prompt.msPerToken;
}

decide::ReadingVerdict PromptGate::ask( const PromptRequest& request, MonoTime now ) {
    const auto goal = request.since + std::min( Millis( request.prompt.goalMs ), request.limit );
    decide::ReadingRequest reading{ request.key,
                                    uncachedWorkMs( request ),
                                    goal,
                                    request.prompt.urgency,
                                    request.prompt.organisation,
                                    now };
    auto verdict = m_queue.ask( reading, now );
    if( !verdict.accepted && request.prompt.mayStartLate ) {
        reading.startBy = request.since + request.limit;
        reading.late = true;
        verdict = m_queue.ask( reading, now );
    }
    if( verdict.accepted ) {
        m_waiting.emplace( request.key, request );
    }
    return verdict;
}

std::vector<AdmittedPrompt> PromptGate::takeAdmitted( MonoTime now ) {
    std::vector<AdmittedPrompt> out;
    while( const auto next = m_queue.takeNext( now ) ) {
        const auto it = m_waiting.find( next->key );
        m_typicalWorkMs += typicalSmoothing * ( next->workMs - m_typicalWorkMs );
        m_prefixes.insert( partKeysOf( it->second ), generationOf( it->second ) );
        m_waiting.erase( it );
        m_admissionTimes.push_back( now );
        out.push_back( { next->key, next->workMs } );
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
    const auto& request = m_waiting.at( reading.key );
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
    m_waiting.erase( key );
}

void PromptGate::noteUnread( std::size_t prompts, MonoTime now ) {
    while( !m_admissionTimes.empty() && now - m_admissionTimes.front() > maxSendTime ) {
        m_admissionTimes.pop_front();
    }
    m_queue.noteUnread( std::max( prompts, m_admissionTimes.size() ), now );
}

void PromptGate::clear() {
    m_queue.clear();
    m_waiting.clear();
    m_prefixes = gateway::PrefixCache( m_cacheTokens );
}

} // namespace coursehead::sidecar
