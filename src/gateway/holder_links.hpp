// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_HOLDER_LINKS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_HOLDER_LINKS_HPP_INCLUDED

#include "decide/gateway_count.hpp"
#include "decide/gateway_quotas.hpp"
#include "gateway/fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coursehead::gateway {

//! The sidecars that may hold what gateways keep together, one for each address, and how many
//! gateways there are. All gateways are connected to them: who has just started reaches a holder at
//! once, and a holder can tell all.
class HolderLinks {
public:
    using Map = std::map<std::string, std::shared_ptr<SidecarLink>, std::less<>>;

    //! The largest count of gateways seen within `hold` counts.
    HolderLinks( Fleet& fleet, Millis hold ) : m_fleet( fleet ), m_gateways( 1, hold ) {}

    void setHold( Millis hold ) { m_gateways.setHold( hold ); }
    //! Looks at the fleet as it is now.
    void look( MonoTime now );
    //! The sidecar at an address; null when there is none.
    std::shared_ptr<SidecarLink> find( std::string_view address ) const;
    const Map& all() const noexcept { return m_links; }
    std::vector<decide::HolderCandidate> candidates( MonoTime now ) const;
    int gateways() const noexcept { return m_gateways.count(); }

private:
    Fleet& m_fleet;
    Map m_links; //!< by address
    decide::GatewayCount m_gateways;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_HOLDER_LINKS_HPP_INCLUDED
