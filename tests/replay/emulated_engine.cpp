// SPDX-License-Identifier: BSL-1.0
#include "replay/emulated_engine.hpp"

#include <algorithm>

namespace coursehead::replay {

std::size_t EmulatedEngine::unread() const {
    const auto reading = std::count_if( m_running.begin(), m_running.end(), []( const Run& it ) {
        return it.readTokens < it.request.uncachedTokens;
    } );
    return m_queue.size() + static_cast<std::size_t>( reading );
}

void EmulatedEngine::runUntil( double untilMs, std::vector<StreamRecord>& records ) {
    while( m_now < untilMs ) {
        if( empty() ) {
            m_now = untilMs;
            return;
        }
        m_now += step();
        for( auto& it : m_running ) {
            if( it.readTokens >= it.request.uncachedTokens ) {
                makeToken( it );
            }
        }
        std::erase_if( m_running, [&]( const Run& it ) {
            const bool done = it.tokens > ( it.request.events - 1 ) * m_shape.tokensPerEvent;
            if( done ) {
                records.push_back(
                    { it.request.key, it.firstEventAt - it.request.arrivedMs, it.longestPause } );
            }
            return done;
        } );
    }
}

//! Lets requests in, reads a piece, and gives the time that the step takes.
double EmulatedEngine::step() {
    while( !m_queue.empty() && static_cast<int>( m_running.size() ) < m_shape.slots ) {
        m_running.push_back( m_queue.front() );
        m_queue.pop_front();
    }
    std::int64_t left = m_shape.pieceTokens;
    std::int64_t read = 0;
    for( auto& it : m_running ) {
        const auto part = std::min( it.request.uncachedTokens - it.readTokens, left );
        it.readTokens += part;
        left -= part;
        read += part;
    }
    return m_shape.stepMs + m_shape.stepMsPerStream * static_cast<double>( m_running.size() ) +
           m_shape.readMsPerToken * static_cast<double>( read );
}

void EmulatedEngine::makeToken( Run& run ) {
    // The first token is an event by itself.
    if( run.tokens++ % m_shape.tokensPerEvent != 0 ) {
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
