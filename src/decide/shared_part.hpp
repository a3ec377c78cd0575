// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_SHARED_PART_HPP_INCLUDED
#define COURSEHEAD_DECIDE_SHARED_PART_HPP_INCLUDED

#include "decide/fingerprint.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead::decide {

//! A part of a prompt that other requests may share.
struct SharedPart {
    std::string id; //!< hexadecimal digits in lower case without leading zeros, if the id is valid
    //! Hash of the id alone: equal for the part wherever it stands in a prompt, whatever model,
    //! adapter and caller the request names.
    Fingerprint fingerprint = 0;
};

//! The part with the id that a request states; ids that are spelt differently but equal as numbers
//! give the same part.
SharedPart sharedPart( std::string_view id );

//! Fingerprints for the log, separated by commas; at most the first eight.
std::string fingerprintList( std::span<const SharedPart> parts );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_SHARED_PART_HPP_INCLUDED
