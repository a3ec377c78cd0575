// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_SPEC_TEXT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_SPEC_TEXT_HPP_INCLUDED

#include "gateway/messages.hpp"

#include <memory>
#include <string>

namespace coursehead::gateway {

//! Description of a service's engines, encoded once for all sidecars that request it.
struct EncodedSpec {
    EngineSpecKey key = 0;
    std::string message; //!< encoded SpecAnswer
};
using EncodedSpecPtr = std::shared_ptr<const EncodedSpec>;

EncodedSpecPtr encodeSpec( const EngineSpec& spec );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_SPEC_TEXT_HPP_INCLUDED
