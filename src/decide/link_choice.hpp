// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_LINK_CHOICE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_LINK_CHOICE_HPP_INCLUDED

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

/**
 * Choice of the sidecars that a gateway stays connected to. Each connection carries load reports
 * continuously, even to a gateway that sends one request a second. If all gateways were connected
 * to all sidecars, memory and processor time of every process would grow with the fleet, and the
 * traffic between halls with its square.
 */
namespace coursehead::decide {

//! Connections that a gateway keeps while idle; with fewer sidecars it is connected to all.
inline constexpr std::size_t targetLinks = 64;
//! Unused connections are closed above this number. The margin keeps connections that are opened
//! and closed with use from closing others.
inline constexpr std::size_t maxLinks = 80;
//! Sidecars that every gateway is connected to: they count the gateways, can send a message to all
//! of them at once, and hold the quotas and limits that gateways share.
inline constexpr std::size_t commonLinks = 16;

//! Location of a sidecar relative to the gateway.
enum class Nearness { sameHall, sameRegion, otherRegion };

//! A sidecar that a gateway may be connected to.
struct LinkCandidate {
    std::string_view id;
    Nearness nearness = Nearness::sameHall;
    bool open = false;
    bool inUse = false;   //!< asked recently, or requests are in flight to its engine
    bool failing = false; //!< it could not be reached recently
};

//! Connections to open and to close, as indices of the candidates.
struct LinkChanges {
    std::vector<std::size_t> open;
    std::vector<std::size_t> close;
};

//! Marks the sidecars that all gateways connect to; every gateway gets the same result. With few
//! sidecars these are all of them.
std::vector<bool> commonSidecars( std::span<const LinkCandidate> candidates );

//! Keeps connections in use, and opens connections to the nearest other sidecars, spread evenly
//! over the gateways.
LinkChanges chooseLinks( std::span<const LinkCandidate> candidates, std::string_view gateway );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_LINK_CHOICE_HPP_INCLUDED
