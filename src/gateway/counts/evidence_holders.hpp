// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_EVIDENCE_HOLDERS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_EVIDENCE_HOLDERS_HPP_INCLUDED

#include "gateway/choice/fleet.hpp"

#include <memory>
#include <vector>

namespace coursehead::gateway {

//! Links to the sidecars that count the ends of upstreams for a content or a prompt part.
std::vector<std::shared_ptr<SidecarLink>>
evidenceHolders( const Fleet& fleet, decide::Fingerprint fingerprint, MonoTime now );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_EVIDENCE_HOLDERS_HPP_INCLUDED
