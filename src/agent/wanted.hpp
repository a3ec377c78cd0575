// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_WANTED_HPP_INCLUDED
#define COURSEHEAD_AGENT_WANTED_HPP_INCLUDED

#include "coursehead/config/state.hpp"
#include "coursehead/ledger/steps.hpp"
#include "coursehead/peer/messages.hpp"

#include <span>
#include <vector>

namespace coursehead::agent {

//! Returns the ledger item for the model at its configured version.
ledger::Item modelItem( const config::Model& model );

/**
 * Returns the items that should be resident: the targets that requests wait for, the plan's items,
 * and the configured version of each item that the ledger holds in another version. A pure
 * function.
 */
std::vector<ledger::Wanted> wantedItems( const config::State& state,
                                         std::span<const peer::Target> waiting,
                                         const peer::PlanTargets& plan,
                                         const ledger::Ledger& ledger );

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_WANTED_HPP_INCLUDED
