// SPDX-License-Identifier: BSL-1.0
#include "decide/engine_speed.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace coursehead::decide {

namespace {

//! Half-life of the certainty while nothing is measured. An engine found slow is sent little, so
//! that nothing may show that it no longer is; callers would miss it for as long.
constexpr double certaintyHalfLifeMs = 800;
//! Engines with less certainty do not count for what is usual.
constexpr double minCertainty = 0.4;
//! Ratios that differ by less than this factor count as equal: prompts of different sizes and
//! numbers of streams change the measured ratio of equal engines by as much.
constexpr double equalFactor = 1.3;
//! Bounds of the factor, so that a single wrong measurement neither draws all requests to an engine
//! nor excludes it.
constexpr double minFactor = 0.33;
constexpr double maxFactor = 8;
//! Part of the gap target up to which no stream is expected to be late, and the part from which all
//! are: half of them are if the pause is as long as the target.
constexpr double inTimePart = 0.85;
constexpr double latePart = 1.15;
//! Part of the gap target that prompt reading takes at most, as in ReadingQueue.
constexpr double readingPart = 0.7;
//! An engine is found slow above the first factor, and usual below the second.
constexpr double slowFactor = 1.5;
constexpr double usualFactor = 1.25;
//! Time for which that must hold.
constexpr Millis lastingTime{ 1000 };

} // namespace

double certaintyNow( const EngineSpeed& speed, Millis since ) {
    const auto age = static_cast<double>( speed.ageMs + since.count() );
    return speed.certainty * std::exp2( -std::max( age, 0.0 ) / certaintyHalfLifeMs );
}

double usualTimeRatio( std::span<const EngineSpeed> speeds ) {
    std::vector<double> ratios;
    for( const auto& it : speeds ) {
        if( it.certainty >= minCertainty ) {
            ratios.push_back( it.timeRatio );
        }
    }
    if( ratios.empty() ) {
        return 1;
    }
    std::sort( ratios.begin(), ratios.end() );
    const auto n = ratios.size();
    return ( ratios[n / 2] + ratios[( n - 1 ) / 2] ) / 2;
}

double timeFactor( const EngineSpeed& speed, double usualRatio, double certainty ) {
    if( certainty <= 0 || usualRatio <= 0 ) {
        return 1;
    }
    const double measured = std::clamp( speed.timeRatio / usualRatio, minFactor, maxFactor );
    const bool equal = measured < equalFactor && measured > 1 / equalFactor;
    return equal ? 1 : 1 + certainty * ( measured - 1 );
}

double expectedLateShare( const EngineSpeed& speed, Millis gapTarget ) {
    if( gapTarget.count() <= 0 ) {
        return 0;
    }
    const auto target = static_cast<double>( gapTarget.count() );
    const double limitedMs = speed.stepMs + readingPart * target;
    const double pauseMs = std::max( speed.stepMs, std::min( speed.readingStepMs, limitedMs ) );
    const double part = pauseMs / target;
    return std::clamp( ( part - inTimePart ) / ( latePart - inTimePart ), 0.0, 1.0 );
}

bool SlowState::note( double factor, MonoTime now ) {
    const bool differs = m_slow ? factor < usualFactor : factor > slowFactor;
    if( differs && !m_differs ) {
        m_differsSince = now;
    }
    m_differs = differs;
    if( !differs || now - m_differsSince < lastingTime ) {
        return false;
    }
    m_slow = !m_slow;
    m_differs = false;
    return true;
}

} // namespace coursehead::decide
