// SPDX-License-Identifier: BSL-1.0
#include "sidecar/prompt_counts.hpp"

namespace coursehead::sidecar {

namespace {

//! A label of two words: who, and what became of the prompt.
std::string labelled( std::string_view who, std::string_view result ) {
    std::string out( who );
    out += ' ';
    out += result;
    return out;
}

} // namespace

std::string_view BoundedLabels::labelOf( std::string_view name ) {
    if( name.empty() ) {
        return "none";
    }
    if( m_names.size() < m_maxNames ) {
        return *m_names.emplace( name ).first;
    }
    const auto it = m_names.find( name );
    return it != m_names.end() ? std::string_view( *it ) : "other";
}

void PromptCounts::note( const gateway::PendingPrompt& prompt, gateway::EnsureOutcome outcome,
                         decide::PromptRefusal refusal ) {
    if( prompt.tokens == 0 ) {
        return;
    }
    const bool isRefused = refusal != decide::PromptRefusal::none;
    const auto result = isRefused ? decide::nameOf( refusal ) : gateway::nameOf( outcome );
    m_metrics.count( "prompts_by_route", labelled( m_routes.labelOf( prompt.route ), result ) );
    if( !prompt.organisation.empty() ) {
        m_metrics.count( "prompts_by_organisation",
                         labelled( m_organisations.labelOf( prompt.organisation ), result ) );
    }
}

} // namespace coursehead::sidecar
