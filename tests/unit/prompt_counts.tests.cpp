// SPDX-License-Identifier: BSL-1.0
#include "sidecar/prompt_counts.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace coursehead;
using namespace coursehead::sidecar;
using gateway::EnsureOutcome;

namespace {

gateway::PendingPrompt promptOf( std::string organisation ) {
    gateway::PendingPrompt out;
    out.tokens = 10;
    out.route = "chat";
    out.organisation = std::move( organisation );
    return out;
}

} // namespace

TEST_CASE( "Prompts are counted by route and organisation with what became of them",
           "[order][metrics]" ) {
    metrics::Metrics metrics;
    PromptCounts counts( metrics );
    counts.note( promptOf( "a" ), EnsureOutcome::tooLate, decide::PromptRefusal::displaced );
    counts.note( promptOf( "a" ), EnsureOutcome::ready, decide::PromptRefusal::none );
    const auto text = metrics.prometheus();
    CHECK( text.find( "chat displaced" ) != std::string::npos );
    CHECK( text.find( "chat ready" ) != std::string::npos );
    CHECK( text.find( "a displaced" ) != std::string::npos );
}

TEST_CASE( "However many organisations send prompts, their labels are bounded",
           "[order][metrics]" ) {
    BoundedLabels labels( 2 );
    CHECK( labels.labelOf( "" ) == "none" );
    CHECK( labels.labelOf( "a" ) == "a" );
    CHECK( labels.labelOf( "b" ) == "b" );
    CHECK( labels.labelOf( "c" ) == "other" );
    CHECK( labels.labelOf( "a" ) == "a" );
}
