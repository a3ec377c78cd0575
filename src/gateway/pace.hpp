// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_PACE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_PACE_HPP_INCLUDED

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! How fast engines read prompts, by model: larger models run slower, and no configuration says by
//! how much. Learnt from requests that met an engine without a queue.
class ModelPace {
public:
    //! Milliseconds to read `tokens` of a prompt.
    double readingMs( std::string_view model, double tokens ) const;
    //! A prompt of which `tokens` had to be read had its first event after `measuredMs`.
    void note( std::string_view model, double tokens, double measuredMs );

private:
    std::map<std::string, double, std::less<>> m_msPerToken;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_PACE_HPP_INCLUDED
