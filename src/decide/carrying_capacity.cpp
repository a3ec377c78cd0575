// SPDX-License-Identifier: BSL-1.0
#include "decide/carrying_capacity.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! A request passes the event loop about four times: its arrival, the answer to the ask for
//! admission, the upstream's answer, and its delivery. At this share of its goal for each, it is
//! late before an upstream has done anything.
constexpr double loopPasses = 4;
//! Beyond this share of the link's rate bytes queue, and every answer waits behind them.
constexpr double linkShare = 0.9;
//! The rest is for connections to upstreams, sidecars and relays of requests in progress.
constexpr double descriptorShare = 0.9;
//! The process is killed at its limit; the rest is for what requests in progress still take.
constexpr double memoryShare = 0.85;

constexpr double highLoad = 1.0;
constexpr double lowLoad = 0.7;
//! A shorter excess is over before a refused client is back.
constexpr Millis timeToRaise{ 300 };
constexpr Millis timeToRaiseBesideRefusals{ 2000 };
constexpr Millis timeBetweenRaises{ 500 };
constexpr Millis timeToLower{ 1000 };
//! More levels than ranks have no effect, and would delay the return to serving all.
constexpr int maxLevel = 4;

//! Weight of a measurement in the usual load: an average over about a minute.
constexpr double usualWeight = 1.0 / 600;
constexpr double worseFactor = 2;

//! With fewer gateways the others would get more than the relief is worth.
constexpr int minGateways = 8;
//! The load balancer asks every second and acts on the second miss.
constexpr Millis notReadyTime{ 4000 };
//! A gateway is not ready for a sixteenth of the time at most.
constexpr Millis notReadyInterval{ 64000 };
constexpr Millis loadedTime{ 2000 };
//! Gateways are not ready in turns of this length, a quarter of them in each.
constexpr std::int64_t turnMs = 4000;
constexpr std::int64_t turns = 4;

template <std::size_t n>
double medianOf( std::array<double, n> values ) {
    auto* const middle = values.begin() + n / 2;
    std::nth_element( values.begin(), middle, values.end() );
    return *middle;
}

} // namespace

std::string_view capacityCauseText( CapacityCause cause ) {
    switch( cause ) {
    case CapacityCause::none:
        return "none";
    case CapacityCause::loopDelay:
        return "loop_delay";
    case CapacityCause::link:
        return "link";
    case CapacityCause::descriptors:
        return "descriptors";
    case CapacityCause::memory:
        return "memory";
    }
    return "unknown";
}

double CarryingCapacity::medianDelay( double delayMs ) {
    m_delaysMs[m_nextDelay] = delayMs;
    m_nextDelay = ( m_nextDelay + 1 ) % delayCount;
    return medianOf( m_delaysMs );
}

CapacityMeasure CarryingCapacity::recentMeasure( const CapacityMeasure& measure ) {
    m_recent[m_nextRecent] = measure;
    m_nextRecent = ( m_nextRecent + 1 ) % recentCount;
    auto out = measure;
    std::array<double, recentCount> delaysMs{};
    double linkBytesPerS = 0;
    for( std::size_t n = 0; n < recentCount; ++n ) {
        delaysMs[n] = m_recent[n].loopDelayMs;
        linkBytesPerS += m_recent[n].linkBytesPerS;
    }
    out.loopDelayMs = medianOf( delaysMs );
    out.linkBytesPerS = linkBytesPerS / recentCount;
    return out;
}

CapacityLoad CarryingCapacity::loadOf( const CapacityMeasure& measure ) const {
    CapacityLoad out;
    const auto consider = [&out]( double used, double threshold, CapacityCause cause ) {
        if( threshold > 0 && used / threshold > out.load ) {
            out = { used / threshold, cause };
        }
    };
    const auto goalMs = static_cast<double>( m_limits.shortestGoal.count() );
    consider( measure.loopDelayMs, goalMs / loopPasses, CapacityCause::loopDelay );
    consider( measure.linkBytesPerS, m_limits.linkBytesPerS * linkShare, CapacityCause::link );
    consider( static_cast<double>( measure.descriptors ),
              static_cast<double>( m_limits.descriptors ) * descriptorShare,
              CapacityCause::descriptors );
    consider( static_cast<double>( measure.memoryBytes ),
              static_cast<double>( m_limits.memoryBytes ) * memoryShare, CapacityCause::memory );
    return out;
}

bool CarryingCapacity::note( const CapacityMeasure& measure, MonoTime now ) {
    const int before = m_level;
    if( !m_limits.any() ) {
        m_level = 0;
        return before != 0;
    }
    m_loopDelayMs = medianDelay( measure.loopDelayMs );
    m_recentLoad = loadOf( recentMeasure( measure ) );
    auto judged = measure;
    judged.loopDelayMs = m_loopDelayMs;
    m_load = loadOf( judged );
    m_usualLoad += ( m_load.load - m_usualLoad ) * usualWeight;
    const bool high = m_load.load >= highLoad;
    const bool low = m_load.load < lowLoad;
    m_highSince = !high ? MonoTime{} : m_highSince == MonoTime{} ? now : m_highSince;
    m_lowSince = !low ? MonoTime{} : m_lowSince == MonoTime{} ? now : m_lowSince;
    const bool mayRaise = m_level == 0 || now - m_changedAt >= timeBetweenRaises;
    const auto highTime = m_connectionsRefused ? timeToRaiseBesideRefusals : timeToRaise;
    if( high && mayRaise && m_level < maxLevel && now - m_highSince >= highTime ) {
        ++m_level;
    }
    if( low && m_level > 0 && now - m_lowSince >= timeToLower &&
        now - m_changedAt >= timeToLower ) {
        --m_level;
    }
    if( m_level != before ) {
        m_changedAt = now;
        m_raisedAt = before == 0 ? now : m_raisedAt;
    }
    return m_level != before;
}

bool CarryingCapacity::refuses( int rank, int ranks ) const noexcept {
    if( m_level == 0 ) {
        return false;
    }
    const bool runsOut = m_load.load >= highLoad && ( m_load.cause == CapacityCause::descriptors ||
                                                      m_load.cause == CapacityCause::memory );
    if( rank == 0 ) {
        return runsOut && m_level >= ranks;
    }
    return rank >= ranks - m_level;
}

bool CarryingCapacity::isWorseThanUsual() const noexcept {
    return m_load.load >= m_usualLoad * worseFactor;
}

bool ReadinessRule::showsNotReady( const CarryingCapacity& capacity, int gateways, WallMillis wall,
                                   MonoTime now ) {
    if( m_notReady ) {
        const bool over = now - m_since >= notReadyTime || capacity.level() == 0;
        m_notReady = !over;
        return m_notReady;
    }
    const bool rested = m_since == MonoTime{} || now - m_since >= notReadyInterval;
    const bool loaded = capacity.level() > 0 && now - capacity.raisedAt() >= loadedTime &&
                        capacity.load().load >= highLoad && capacity.isWorseThanUsual();
    const auto turn = static_cast<std::uint64_t>( ( wall / turnMs ) % turns );
    const bool itsTurn = turn == m_hash % turns;
    if( rested && loaded && itsTurn && gateways >= minGateways ) {
        m_notReady = true;
        m_since = now;
    }
    return m_notReady;
}

} // namespace coursehead::decide
