// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_HOLDER_LINKS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_HOLDER_LINKS_HPP_INCLUDED

#include "decide/gateway_count.hpp"
#include "decide/gateway_quotas.hpp"
#include "gateway/choice/fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coursehead::gateway {

//! Links to the sidecars that may hold counts shared by all gateways, one for each address, and the
//! number of gateways. All gateways are connected to these sidecars, so that a gateway that has
//! just started reaches a holder at once, and a holder can notify all gateways.
class HolderLinks {
public:
    using Map = std::map<std::string, std::shared_ptr<SidecarLink>, std::less<>>;

    //! The number of gateways is the largest one reported within `hold`.
    HolderLinks( Fleet& fleet, Millis hold ) : m_fleet( fleet ), m_gateways( 1, hold ) {}

    void setHold( Millis hold ) { m_gateways.setHold( hold ); }
    //! Updates the links and the number of gateways from the fleet.
    void refresh( MonoTime now );
    //! Link to the sidecar at an address; null if there is none.
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

#endif // COURSEHEAD_GATEWAY_LINKS_HOLDER_LINKS_HPP_INCLUDED
