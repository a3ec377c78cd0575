// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_STORE_OBJECTS_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_STORE_OBJECTS_HPP_INCLUDED

#include "platform/store_wire.hpp"
#include "platform/wire.hpp"

#include <map>
#include <optional>
#include <string>

namespace coursehead::gateway {

//! Parses objects of the store. Other programs write there too, so an object may be unreadable: it
//! yields no value, and is logged once per revision, not at each attempt.
class ObjectReader {
public:
    std::optional<Upstream> upstream( const platform::StoreObject& object );
    //! The text of the configuration; nullopt for other objects of its kind too.
    std::optional<std::string> configuration( const platform::StoreObject& object );
    //! A quarantine, with the time that is left of it.
    std::optional<decide::Quarantine> quarantine( const platform::StoreObject& object );

private:
    void logUnreadable( const platform::StoreObject& object, std::string_view kind,
                        const std::string& problem );

    std::map<std::string, std::uint64_t> m_loggedRevisions; //!< logged revisions, by object name
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_STORE_OBJECTS_HPP_INCLUDED
