// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/pace.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Rate assumed before the first measurement: the users' data sheets state 38 tokens a millisecond
//! for large models.
constexpr double initialMsPerToken = 1.0 / 38.0;
//! The time of smaller prompts depends more on round trips than on reading, so they are ignored.
constexpr double minMeasuredTokens = 1000;
//! Time for the connection, the round trips and the first engine step, in addition to the reading.
constexpr double overheadMs = 12;
//! Other prompts that arrive at the same time can only lengthen a measurement, so shorter
//! measurements get more weight.
constexpr double fasterSmoothing = 0.3;
constexpr double slowerSmoothing = 0.05;
constexpr double minMsPerToken = initialMsPerToken / 10;
constexpr double maxMsPerToken = initialMsPerToken * 3;

} // namespace

double ModelPace::readingMs( std::string_view model, double tokens ) const {
    const auto it = m_msPerToken.find( model );
    return tokens * ( it == m_msPerToken.end() ? initialMsPerToken : it->second );
}

void ModelPace::note( std::string_view model, double tokens, double measuredMs,
                      double timeFactor ) {
    if( tokens < minMeasuredTokens ) {
        return;
    }
    const double measured = std::clamp( ( measuredMs - overheadMs ) / ( tokens * timeFactor ),
                                        minMsPerToken, maxMsPerToken );
    const auto it = m_msPerToken.emplace( model, initialMsPerToken ).first;
    const double weight = measured < it->second ? fasterSmoothing : slowerSmoothing;
    it->second += weight * ( measured - it->second );
}

} // namespace coursehead::gateway
