// SPDX-License-Identifier: BSL-1.0
#include "gateway/pace.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Until something was measured: the users' sheets give 38 tokens a millisecond for large models.
constexpr double startMsPerToken = 1.0 / 38.0;
//! Smaller prompts say more about round trips than about reading.
constexpr double leastTokens = 1000;
//! Connection, round trips and the first step, beside the reading.
constexpr double overheadMs = 12;
//! Other prompts that came at the same time only ever lengthen a measurement: shorter ones are
//! believed sooner.
constexpr double fasterSmoothing = 0.3;
constexpr double slowerSmoothing = 0.05;
constexpr double leastMsPerToken = startMsPerToken / 10;
constexpr double mostMsPerToken = startMsPerToken * 3;

} // namespace

double ModelPace::readingMs( std::string_view model, double tokens ) const {
    const auto it = m_msPerToken.find( model );
    return tokens * ( it == m_msPerToken.end() ? startMsPerToken : it->second );
}

void ModelPace::note( std::string_view model, double tokens, double measuredMs ) {
    if( tokens < leastTokens ) {
        return;
    }
    const double measured =
        std::clamp( ( measuredMs - overheadMs ) / tokens, leastMsPerToken, mostMsPerToken );
    const auto it = m_msPerToken.emplace( model, startMsPerToken ).first;
    const double part = measured < it->second ? fasterSmoothing : slowerSmoothing;
    it->second += part * ( measured - it->second );
}

} // namespace coursehead::gateway
