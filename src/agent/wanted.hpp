// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_WANTED_HPP_INCLUDED
#define COURSEHEAD_AGENT_WANTED_HPP_INCLUDED

#include "coursehead/config/state.hpp"
#include "coursehead/ledger/steps.hpp"
#include "coursehead/peer/messages.hpp"

#include <span>
#include <vector>

namespace coursehead::agent {

//! The model as an item at its configured version.
ledger::Item modelItem( const config::Model& model );

/**
 * What should be resident: the targets that requests wait for, the plan's models, and the new
 * version of whatever is resident in an older one. A pure function.
 */
std::vector<ledger::Wanted> wantedItems( const config::State& state,
                                         std::span<const peer::Target> waiting,
                                         const peer::PlanTargets& plan,
                                         const ledger::Ledger& ledger );

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_WANTED_HPP_INCLUDED
