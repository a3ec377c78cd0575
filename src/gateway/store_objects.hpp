// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_STORE_OBJECTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_STORE_OBJECTS_HPP_INCLUDED

#include "platform/store_wire.hpp"
#include "platform/wire.hpp"

#include <map>
#include <optional>
#include <string>

namespace coursehead::gateway {

//! Reads what the store holds. Others write there too: an object that can't be read names nothing,
//! and is logged once for each of its changes, not at each look.
class ObjectReader {
public:
    std::optional<Upstream> upstream( const platform::StoreObject& object );
    //! A quarantine, less the time that has passed.
    std::optional<decide::Quarantine> quarantine( const platform::StoreObject& object );

private:
    void noteUnreadable( const platform::StoreObject& object, std::string_view what,
                         const std::string& problem );

    std::map<std::string, std::uint64_t> m_unreadable; //!< revisions by name, as logged
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_STORE_OBJECTS_HPP_INCLUDED
