// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LINK_CHOICE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LINK_CHOICE_HPP_INCLUDED

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

/**
 * Which sidecars a gateway stays connected to. The load that this answers: each connection carries
 * reports of load all the time, to a gateway that sends one request a second; with all connected to
 * all, memory and processor time of every process grow with the fleet, and what goes between halls
 * with its square.
 */
namespace coursehead::decide {

//! Connections that a gateway has at rest. Where there are fewer sidecars it is connected to all.
inline constexpr std::size_t targetLinks = 64;
//! Unused connections are closed above this, so that those that come and go with use close none.
inline constexpr std::size_t maxLinks = 80;
//! Sidecars that every gateway is connected to: they see how many gateways there are, can tell all
//! of them something at once, and hold what gateways count together.
inline constexpr std::size_t commonLinks = 16;

//! Where a sidecar stands, as seen from the gateway.
enum class Nearness { sameHall, sameRegion, otherRegion };

//! A sidecar that a gateway may be connected to.
struct LinkCandidate {
    std::string_view id;
    Nearness nearness = Nearness::sameHall;
    bool open = false;
    bool inUse = false;   //!< asked lately, or requests are in flight beside it
    bool failing = false; //!< it could not be reached lately
};

//! Connections to open and to close, as indices of the candidates.
struct LinkChanges {
    std::vector<std::size_t> open;
    std::vector<std::size_t> close;
};

//! Which sidecars all gateways are connected to; each gateway finds the same ones. All of them
//! where there are few.
std::vector<bool> commonSidecars( std::span<const LinkCandidate> candidates );

//! Those in use stay; the nearest are opened beside them, spread evenly over the gateways.
LinkChanges chooseLinks( std::span<const LinkCandidate> candidates, std::string_view gateway );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LINK_CHOICE_HPP_INCLUDED
