// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_REPORT_CHANGES_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_REPORT_CHANGES_HPP_INCLUDED

#include "gateway/model.hpp"

//! Decides which changes of an engine's report are sent to gateways.
namespace coursehead::sidecar {

//! True when the reports differ in more than the load.
bool contentsDiffer( const gateway::EngineReport& a, const gateway::EngineReport& b );

//! True when the loads differ enough to change a gateway's decisions.
bool loadDiffers( const gateway::EngineReport& a, const gateway::EngineReport& b );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_REPORT_CHANGES_HPP_INCLUDED
