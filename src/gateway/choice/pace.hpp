// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_PACE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_PACE_HPP_INCLUDED

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! How fast engines read prompts, by model. Larger models read more slowly, and the configuration
//! does not say by how much, so the rate is learnt from requests that found no queue at their
//! engine.
class ModelPace {
public:
    //! Estimated milliseconds to read `tokens` tokens of a prompt.
    double readingMs( std::string_view model, double tokens ) const;
    //! Records that the first event came after `measuredMs` for a prompt with `tokens` uncached
    //! tokens, at an engine that takes `timeFactor` times as long as usual.
    void note( std::string_view model, double tokens, double measuredMs, double timeFactor = 1 );

private:
    std::map<std::string, double, std::less<>> m_msPerToken;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_PACE_HPP_INCLUDED
