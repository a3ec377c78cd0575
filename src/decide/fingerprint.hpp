// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_FINGERPRINT_HPP_INCLUDED
#define COURSEHEAD_DECIDE_FINGERPRINT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursehead::decide {

//! Stands for a request's content, the same in all its tries.
using Fingerprint = std::uint64_t;

//! What makes two requests the same work, whatever their ids: who asks for what.
struct RequestContent {
    std::string_view organisation; //!< empty where no key is needed
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

//! Equal for requests of equal content, in every process. Not proof against somebody who looks for
//! another content with the same value; that harms his own organisation only.
Fingerprint fingerprintOf( const RequestContent& content );

//! As it stands in logs and in the store: 16 hexadecimal digits.
std::string fingerprintText( Fingerprint fingerprint );
//! Reads it back; nullopt when it is none.
std::optional<Fingerprint> parseFingerprint( std::string_view text );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_FINGERPRINT_HPP_INCLUDED
