// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_ALLOWED_REGIONS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_ALLOWED_REGIONS_HPP_INCLUDED

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

//! Regions in which a request may be served: it is sent to no upstream in any other region.
namespace coursehead::decide {

//! Allowed regions of a request's route and organisation; both lists apply, and an empty list
//! allows all regions.
struct AllowedRegions {
    std::span<const std::string> route;
    std::span<const std::string> organisation;
};

//! True when a request may be served in `region`. An unknown region is in no list, so it is allowed
//! only where both lists are empty.
inline bool mayServe( const AllowedRegions& allowedRegions, std::string_view region ) {
    const auto allows = [region]( std::span<const std::string> regions ) {
        return regions.empty() ||
               std::find( regions.begin(), regions.end(), region ) != regions.end();
    };
    return allows( allowedRegions.route ) && allows( allowedRegions.organisation );
}

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_ALLOWED_REGIONS_HPP_INCLUDED
