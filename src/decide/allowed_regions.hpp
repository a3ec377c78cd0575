// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ALLOWED_REGIONS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ALLOWED_REGIONS_HPP_INCLUDED

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

//! Regions in which a request may be served: its bytes go to no upstream anywhere else.
namespace coursehead::decide {

//! The regions that a route and an organisation name; an empty list names all. Both bind.
struct AllowedRegions {
    std::span<const std::string> route;
    std::span<const std::string> organisation;
};

//! True when a request may be served in a region; nobody's home is a region that is not known.
inline bool mayServe( const AllowedRegions& allowedRegions, std::string_view region ) {
    const auto allows = [region]( std::span<const std::string> regions ) {
        return regions.empty() ||
               std::find( regions.begin(), regions.end(), region ) != regions.end();
    };
    return allows( allowedRegions.route ) && allows( allowedRegions.organisation );
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ALLOWED_REGIONS_HPP_INCLUDED
