// SPDX-License-Identifier: BSL-1.0
#include "decide/event_pace.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Averages over a few dozen events: the pause follows a change in the number of streams within a
//! second.
constexpr double pauseSmoothing = 0.05;
//! Weights of samples of the added pause above and below its average. Short prompts lengthen a step
//! less than the pieces of long prompts, which come only now and then, so samples above the average
//! get the larger weight.
constexpr double increaseSmoothing = 0.2;
constexpr double decreaseSmoothing = 0.01;
//! When fewer of the reports than this part show reading, the added pause is mostly measurement
//! error.
constexpr double minReadingShare = 0.5;

void smooth( std::optional<double>& value, double sample, double weight ) {
    value = value ? *value + weight * ( sample - *value ) : sample;
}

} // namespace

void EventPace::update( std::span<const gateway::EngineRun> runs, bool reading, MonoTime now ) {
    std::map<std::string, Run> next;
    for( const auto& it : runs ) {
        const auto before = m_runs.find( it.id );
        if( before == m_runs.end() || it.events < before->second.events ) {
            next[it.id] = { it.events, now, 0, 0 };
            continue;
        }
        Run run = before->second;
        ++run.reports;
        run.reading += reading ? 1 : 0;
        if( it.events > run.events ) {
            notePause( run, it.events, now );
            run = { it.events, now, 0, 0 };
        }
        next[it.id] = run;
    }
    m_runs = std::move( next );
}

void EventPace::notePause( const Run& run, std::int64_t events, MonoTime now ) {
    const auto passed = std::chrono::duration<double, std::milli>( now - run.since ).count();
    const auto pause = passed / static_cast<double>( events - run.events );
    if( run.reading == 0 ) {
        smooth( m_pauseWithoutReadingMs, pause, pauseSmoothing );
        return;
    }
    const auto readingShare = static_cast<double>( run.reading ) / run.reports;
    if( m_pauseWithoutReadingMs && readingShare >= minReadingShare ) {
        const auto addedPause = std::max( pause - *m_pauseWithoutReadingMs, 0.0 ) / readingShare;
        smooth( m_addedPauseMs, addedPause,
                addedPause > m_addedPauseMs.value_or( 0 ) ? increaseSmoothing : decreaseSmoothing );
    }
}

std::optional<Millis> EventPace::pauseWhileReading() const {
    if( !m_pauseWithoutReadingMs || !m_addedPauseMs ) {
        return std::nullopt;
    }
    return Millis( static_cast<std::int64_t>( *m_pauseWithoutReadingMs + *m_addedPauseMs ) );
}

} // namespace coursehead::decide
