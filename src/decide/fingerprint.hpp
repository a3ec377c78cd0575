// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_FINGERPRINT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_FINGERPRINT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursehead::decide {

//! Hash of a request's content, the same for all attempts.
using Fingerprint = std::uint64_t;

//! The fields that make two requests equal work, whatever their ids.
struct RequestContent {
    std::string_view organisation; //!< empty if the route needs no key
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

//! Equal for requests with equal content, in every process. It is no cryptographic hash: an
//! attacker can find colliding contents, but only within the attacker's own organisation.
Fingerprint fingerprintOf( const RequestContent& content );

//! The form used in logs and in the store: 16 hexadecimal digits.
std::string fingerprintText( Fingerprint fingerprint );
//! Parses that form; nullopt when the text is no fingerprint.
std::optional<Fingerprint> parseFingerprint( std::string_view text );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_FINGERPRINT_HPP_INCLUDED
