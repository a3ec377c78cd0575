// SPDX-License-Identifier: BSL-1.0
#include "sidecar/pause_meter.hpp"

#include <cmath>

namespace coursehead::sidecar {

namespace {

//! Long enough to judge an engine by several streams, and short enough to try it again within
//! seconds after a disturbance.
constexpr double halfLifeS = 2.0;
//! Streams in time that are added to every engine's count, so that a single late stream is not a
//! large share.
constexpr double creditedStreams = 2.0;

double decayFactor( MonoTime from, MonoTime to ) {
    return std::exp2( -std::chrono::duration<double>( to - from ).count() / halfLifeS );
}

} // namespace

void PauseMeter::decay( MonoTime now ) {
    const double factor = decayFactor( m_counts.at, now );
    m_counts.all *= factor;
    m_counts.late *= factor;
    m_counts.at = now;
}

void PauseMeter::count( bool late ) {
    m_counts.all += 1;
    m_counts.late += late ? 1 : 0;
}

void PauseMeter::update( std::span<const gateway::EngineRun> runs, Millis longestPause,
                         MonoTime now ) {
    decay( now );
    std::map<std::string, Run> next;
    for( const auto& it : runs ) {
        auto& run = next[it.id];
        const auto before = m_runs.find( it.id );
        if( before != m_runs.end() ) {
            run = before->second;
        }
        const bool hadEvents = before != m_runs.end() && run.events > 0;
        if( hadEvents && !run.late && now - run.since > longestPause ) {
            run.late = true;
            count( true );
        }
        if( before == m_runs.end() || run.events != it.events ) {
            run.events = it.events;
            run.since = now;
        }
    }
    for( const auto& [id, run] : m_runs ) {
        if( !next.contains( id ) && !run.late && run.events > 0 ) {
            count( false );
        }
    }
    m_runs = std::move( next );
}

double PauseMeter::lateShare( MonoTime now ) const {
    const double factor = decayFactor( m_counts.at, now );
    return m_counts.late * factor / ( m_counts.all * factor + creditedStreams );
}

} // namespace coursehead::sidecar
