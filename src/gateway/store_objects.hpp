// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_STORE_OBJECTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_STORE_OBJECTS_HPP_INCLUDED

#include "platform/wire.hpp"

#include <optional>

namespace coursehead::gateway {

//! Reads an upstream's entry; one that cannot be read is logged and left out.
std::optional<Upstream> upstreamOf( const platform::StoreObject& object );
//! Reads a quarantine, less the time that has passed; logs why it can't be read.
std::optional<decide::Quarantine> quarantineOf( const platform::StoreObject& object );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_STORE_OBJECTS_HPP_INCLUDED
