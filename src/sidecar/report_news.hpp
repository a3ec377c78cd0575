// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_REPORT_NEWS_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_REPORT_NEWS_HPP_INCLUDED

#include "gateway/model.hpp"

//! Which changes of an engine's report gateways are told of.
namespace coursehead::sidecar {

//! True when more than the load is different.
bool shapeDiffers( const gateway::EngineReport& a, const gateway::EngineReport& b );

//! True when a gateway would decide differently by one load than by the other.
bool loadDiffers( const gateway::EngineReport& a, const gateway::EngineReport& b );

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_REPORT_NEWS_HPP_INCLUDED
