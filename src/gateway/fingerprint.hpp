// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_FINGERPRINT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_FINGERPRINT_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace coursehead::gateway {

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
std::uint64_t fingerprintOf( const RequestContent& content );

//! As it stands in logs and in the store: 16 hexadecimal digits.
std::string fingerprintText( std::uint64_t fingerprint );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_FINGERPRINT_HPP_INCLUDED
