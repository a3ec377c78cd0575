// SPDX-License-Identifier: BSL-1.0
#include "decide/event_pace.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! A few dozen streams' events: an engine's pace follows its number of streams within a second.
constexpr double smoothing = 0.05;
//! Short prompts lengthen a step less than the pieces of long ones, which come now and then: what
//! reading adds is believed sooner when it is more.
constexpr double moreSmoothing = 0.2;
constexpr double lessSmoothing = 0.01;
//! Below this part of reports with reading the addition is mostly error of measurement.
constexpr double leastReading = 0.5;

void smooth( std::optional<double>& value, double sample, double part ) {
    value = value ? *value + part * ( sample - *value ) : sample;
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
            note( run, it.events, now );
            run = { it.events, now, 0, 0 };
        }
        next[it.id] = run;
    }
    m_runs = std::move( next );
}

void EventPace::note( const Run& run, std::int64_t events, MonoTime now ) {
    const auto passed = std::chrono::duration<double, std::milli>( now - run.since ).count();
    const auto pause = passed / static_cast<double>( events - run.events );
    if( run.reading == 0 ) {
        smooth( m_calmMs, pause, smoothing );
        return;
    }
    const auto part = static_cast<double>( run.reading ) / run.reports;
    if( m_calmMs && part >= leastReading ) {
        const auto add = std::max( pause - *m_calmMs, 0.0 ) / part;
        smooth( m_addMs, add, add > m_addMs.value_or( 0 ) ? moreSmoothing : lessSmoothing );
    }
}

std::optional<Millis> EventPace::pauseWhileReading() const {
    if( !m_calmMs || !m_addMs ) {
        return std::nullopt;
    }
    return Millis( static_cast<std::int64_t>( *m_calmMs + *m_addMs ) );
}

} // namespace coursehead::decide
