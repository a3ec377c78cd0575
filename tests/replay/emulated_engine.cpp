// SPDX-License-Identifier: BSL-1.0
#include "replay/emulated_engine.hpp"

#include <algorithm>
#include <string>

namespace coursehead::replay {

std::size_t EmulatedEngine::unreadPrompts() const {
    const auto reading = std::count_if( m_running.begin(), m_running.end(), []( const Run& it ) {
        return it.readTokens < it.request.uncachedTokens;
    } );
    return m_queue.size() + static_cast<std::size_t>( reading );
}

gateway::EngineReport EmulatedEngine::report() const {
    gateway::EngineReport out;
    out.queued = static_cast<std::uint32_t>( m_queue.size() );
    out.running = static_cast<std::uint32_t>( m_running.size() );
    for( const auto& it : m_running ) {
        const int perEvent = m_parameters.tokensPerEvent;
        const int events = ( it.tokens + perEvent - 1 ) / perEvent;
        out.prefilling += events == 0 ? 1 : 0;
        out.runs.push_back( { std::to_string( it.request.key ), events } );
    }
    return out;
}

void EmulatedEngine::runUntil( double untilMs, std::vector<StreamRecord>& records ) {
    while( m_now < untilMs ) {
        if( empty() ) {
            m_now = untilMs;
            return;
        }
        m_now += step() * m_slowdown;
        for( auto& it : m_running ) {
            if( it.readTokens >= it.request.uncachedTokens ) {
                generateToken( it );
            }
        }
        std::erase_if( m_running, [&]( const Run& it ) {
            const bool done = it.tokens > ( it.request.events - 1 ) * m_parameters.tokensPerEvent;
            if( done ) {
                records.push_back(
                    { it.request.key, it.firstEventAt - it.request.arrivedMs, it.longestPause } );
            }
            return done;
        } );
    }
}

//! Admits queued requests, reads a chunk of their prompts, and returns how long the step takes.
double EmulatedEngine::step() {
    while( !m_queue.empty() && static_cast<int>( m_running.size() ) < m_parameters.slots ) {
        m_running.push_back( m_queue.front() );
        m_queue.pop_front();
    }
    std::int64_t tokensLeft = m_parameters.chunkTokens;
    std::int64_t tokensRead = 0;
    for( auto& it : m_running ) {
        const auto chunk = std::min( it.request.uncachedTokens - it.readTokens, tokensLeft );
        it.readTokens += chunk;
        tokensLeft -= chunk;
        tokensRead += chunk;
    }
    return m_parameters.stepMs +
           m_parameters.stepMsPerStream * static_cast<double>( m_running.size() ) +
           m_parameters.readMsPerToken * static_cast<double>( tokensRead );
}

void EmulatedEngine::generateToken( Run& run ) {
    // The first token is sent as an event of its own.
    if( run.tokens++ % m_parameters.tokensPerEvent != 0 ) {
        return;
    }
    if( run.lastEventAt == 0 ) {
        run.firstEventAt = m_now;
    } else {
        run.longestPause = std::max( run.longestPause, m_now - run.lastEventAt );
    }
    run.lastEventAt = m_now;
}

} // namespace coursehead::replay
