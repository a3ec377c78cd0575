// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PROMPT_COUNTS_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PROMPT_COUNTS_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "gateway/messages.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace coursehead::sidecar {

//! Names that may be labels of a counter: as many as the bound, in the order in which they come.
class BoundedLabels {
public:
    explicit BoundedLabels( std::size_t maxNames ) : m_maxNames( maxNames ) {}

    //! The name, or "other" once as many others are known; "none" for an empty one.
    std::string_view labelOf( std::string_view name );

private:
    std::size_t m_maxNames;
    std::set<std::string, std::less<>> m_names;
};

//! Counts what becomes of the prompts that ask to be admitted, by route and by organisation.
class PromptCounts {
public:
    explicit PromptCounts( metrics::Metrics& metrics ) : m_metrics( metrics ) {}

    //! The prompt's request is answered.
    void note( const gateway::PendingPrompt& prompt, gateway::EnsureOutcome outcome,
               decide::PromptRefusal refusal );

private:
    static constexpr std::size_t maxLabels = 32;

    metrics::Metrics& m_metrics;
    BoundedLabels m_routes{ maxLabels };
    BoundedLabels m_organisations{ maxLabels };
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PROMPT_COUNTS_HPP_INCLUDED
