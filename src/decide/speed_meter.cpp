// SPDX-License-Identifier: BSL-1.0
#include "decide/speed_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coursehead::decide {

namespace {

//! Half-life of the time between events: callers wait about a second for a first event, and a
//! change of speed should show in that time.
constexpr double stepHalfLifeMs = 500;
//! Half-life of reading: an engine is sent a few prompts a second, and what a report says of them
//! is off by the time between reports.
constexpr double readingHalfLifeMs = 2500;
//! Half-life of the reading that shows whether an engine has changed, and the factor from which it
//! has: that of a few prompts is off by less.
constexpr double recentHalfLifeMs = 700;
constexpr double changeFactor = 1.5;
//! Stated reading from which a change is believed: that of one short prompt.
constexpr double minStatedMs = 50;
//! Reports further apart than this do not say what happened between them.
constexpr Millis maxReportDistance{ 1000 };
//! Reading that has to be measured for a certainty of one half: that of one long prompt.
constexpr double halfCertainMs = 150;
//! Time of a prompt that its request does not state: until the engine begins with it, and the step
//! that produces the first event.
constexpr double promptOverheadMs = 12;
//! Events that have to be counted before the time between events is told.
constexpr double minEvents = 4;
//! Bounds of the ratio: requests may state a wrong time, but not one wrong by more than this.
constexpr double minRatio = 0.1;
constexpr double maxRatio = 10;

//! Time to send a prompt to the engine and until a report shows it.
constexpr double minShownMs = 50;

double millisOf( MonoTime::duration span ) {
    return std::chrono::duration<double, std::milli>( span ).count();
}

bool differs( double value, double other ) {
    return value > other * changeFactor || value * changeFactor < other;
}

//! The least time after which a prompt may have been read.
double minTimeToRead( double workMs ) {
    constexpr double fastest = 0.5;
    return std::max( minShownMs, workMs * fastest );
}

//! True if the report names a run with events that `before` did not name: its prompt was read
//! between the reports.
bool hasNewStream( const gateway::EngineReport& report,
                   const std::map<std::string, std::int64_t>& before ) {
    return std::any_of( report.runs.begin(), report.runs.end(), [&]( const auto& it ) {
        const auto known = before.find( it.id );
        return it.events > 0 && ( known == before.end() || known->second == 0 );
    } );
}

//! Mean number of new events of the streams that ran at both reports; nullopt if there are none.
std::optional<double> newEvents( const gateway::EngineReport& report,
                                 const std::map<std::string, std::int64_t>& before ) {
    double events = 0;
    int streams = 0;
    for( const auto& it : report.runs ) {
        const auto known = before.find( it.id );
        const bool ranBefore =
            known != before.end() && known->second > 0 && it.events >= known->second;
        if( ranBefore ) {
            events += static_cast<double>( it.events - known->second );
            ++streams;
        }
    }
    return streams == 0 ? std::nullopt : std::optional( events / streams );
}

} // namespace

void SpeedMeter::EventTime::add( double passedMs, double newEvents ) {
    ms += passedMs;
    events += newEvents;
}

double SpeedMeter::EventTime::perEvent() const {
    return events < minEvents ? 0 : ms / events;
}

void SpeedMeter::EventTime::fade( double factor ) {
    ms *= factor;
    events *= factor;
}

void SpeedMeter::Reading::add( double passedMs, double workMs ) {
    ms += passedMs;
    statedMs += workMs;
}

void SpeedMeter::Reading::fade( double factor ) {
    ms *= factor;
    statedMs *= factor;
}

void SpeedMeter::fade( MonoTime now ) {
    const double passedMs = millisOf( now - m_fadedAt );
    m_fadedAt = now;
    const double stepFactor = std::exp2( -passedMs / stepHalfLifeMs );
    const double readingFactor = std::exp2( -passedMs / readingHalfLifeMs );
    m_plain.fade( stepFactor );
    m_reading.fade( stepFactor );
    m_longPlain.fade( readingFactor );
    m_read.fade( readingFactor );
    m_recentRead.fade( std::exp2( -passedMs / recentHalfLifeMs ) );
}

//! Ratio of the reading time to the stated one: over the whole period for which reading counts,
//! unless the engine has clearly changed since.
double SpeedMeter::readingRatio() const {
    const double whole = m_read.ms / m_read.statedMs;
    auto recent = m_recentRead;
    if( !m_sent.empty() && m_unfinishedMs > m_sent.front().workMs + promptOverheadMs ) {
        recent.add( m_unfinishedMs, m_sent.front().workMs + promptOverheadMs );
    }
    const double stepMs = m_plain.perEvent();
    const double usualStepMs = m_longPlain.perEvent();
    if( stepMs > 0 && usualStepMs > 0 && differs( stepMs, usualStepMs ) ) {
        return whole * stepMs / usualStepMs;
    }
    const bool known = recent.statedMs >= minStatedMs;
    const double lately = known ? recent.ms / recent.statedMs : whole;
    return differs( lately, whole ) ? lately : whole;
}

void SpeedMeter::notePrompt( std::uint64_t key, double workMs, MonoTime now ) {
    if( workMs > 0 ) {
        m_sent.push_back( { key, workMs, now } );
    }
}

void SpeedMeter::withdraw( std::uint64_t key ) {
    std::erase_if( m_sent, [key]( const auto& it ) { return it.key == key; } );
}

void SpeedMeter::takeReport( const gateway::EngineReport& report, MonoTime now ) {
    if( m_last && now - m_last->at > maxReportDistance ) {
        clear();
    }
    fade( now );
    const bool counts = m_last.has_value();
    if( m_last && m_last->counts ) {
        count( report, now );
    }
    countRead( report.queued + report.prefilling, now );
    LastReport next{ now, report.prefilling > 0, counts, {} };
    for( const auto& it : report.runs ) {
        next.events.emplace( it.id, it.events );
    }
    m_last = std::move( next );
}

void SpeedMeter::count( const gateway::EngineReport& report, MonoTime now ) {
    const bool reading = report.prefilling > 0;
    const double passedMs = millisOf( now - m_last->at );
    const auto events = newEvents( report, m_last->events );
    const bool plain = !reading && !m_last->reading && !hasNewStream( report, m_last->events );
    if( events && plain ) {
        m_plain.add( passedMs, *events );
        m_longPlain.add( passedMs, *events );
        m_stepMs = m_plain.events < minEvents ? m_stepMs : m_plain.perEvent();
    }
    if( events && reading && m_last->reading ) {
        m_reading.add( passedMs, *events );
    }
    const double readingPart = ( ( reading ? 1 : 0 ) + ( m_last->reading ? 1 : 0 ) ) / 2.0;
    const double stepsMs = events.value_or( 0 ) * m_stepMs;
    m_unfinishedMs += std::max( passedMs - stepsMs, 0.0 ) * readingPart;
}

//! Counts the prompts that the engine has read to their end. It reads them in the order sent, so
//! the last ones are unread. One sent just now may not have reached the report.
void SpeedMeter::countRead( std::size_t unread, MonoTime now ) {
    double statedMs = 0;
    while( m_sent.size() > unread ) {
        const auto& it = m_sent.front();
        const bool mayBeRead = millisOf( now - it.at ) >= minTimeToRead( it.workMs );
        if( !mayBeRead ) {
            break;
        }
        statedMs += it.workMs + promptOverheadMs;
        m_sent.pop_front();
    }
    const bool finished = statedMs > 0 || ( m_sent.empty() && unread == 0 );
    if( finished && statedMs + m_unfinishedMs > 0 ) {
        m_read.add( m_unfinishedMs, statedMs );
        m_recentRead.add( m_unfinishedMs, statedMs );
        m_unfinishedMs = 0;
        m_measuredAt = now;
    }
}

EngineSpeed SpeedMeter::speed( MonoTime now ) const {
    EngineSpeed out;
    out.stepMs = m_plain.perEvent();
    out.readingStepMs = m_reading.perEvent();
    const double factor = std::exp2( -millisOf( now - m_fadedAt ) / readingHalfLifeMs );
    const double measuredMs = std::min( m_read.ms, m_read.statedMs ) * factor;
    if( measuredMs <= 0 ) {
        return out;
    }
    out.timeRatio = std::clamp( readingRatio(), minRatio, maxRatio );
    out.certainty = measuredMs / ( measuredMs + halfCertainMs );
    out.ageMs = std::max( millisBetween( m_measuredAt, now ), std::int64_t{ 0 } );
    return out;
}

} // namespace coursehead::decide
