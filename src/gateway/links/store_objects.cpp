// SPDX-License-Identifier: BSL-1.0
#include "gateway/links/store_objects.hpp"

#include "coursehead/kernel/log.hpp"

namespace coursehead::gateway {

namespace {

//! Largest number of unreadable objects remembered. Beyond it all are forgotten, so some are logged
//! again.
constexpr std::size_t maxUnreadable = 8192;
//! Largest length of a problem in the log, because it quotes the invalid value, which may be a
//! megabyte long.
constexpr std::size_t maxDetailLength = 200;

} // namespace

void ObjectReader::logUnreadable( const platform::StoreObject& object, std::string_view kind,
                                  const std::string& problem ) {
    const auto it = m_loggedRevisions.find( object.name );
    if( it != m_loggedRevisions.end() && it->second == object.revision ) {
        return;
    }
    if( m_loggedRevisions.size() >= maxUnreadable ) {
        m_loggedRevisions.clear();
    }
    m_loggedRevisions[object.name] = object.revision;
    log::error( "object_unreadable", { { "kind", kind },
                                       { "name", object.name },
                                       { "revision", static_cast<std::int64_t>( object.revision ) },
                                       { "detail", problem.substr( 0, maxDetailLength ) } } );
}

std::optional<Upstream> ObjectReader::upstream( const platform::StoreObject& object ) {
    std::string problem = object.problem;
    auto out = problem.empty() ? platform::readUpstream( object.name, object.spec, problem )
                               : std::nullopt;
    if( !out ) {
        logUnreadable( object, "upstream", problem );
        return std::nullopt;
    }
    out->created = { object.era, object.created };
    return out;
}

std::optional<std::string> ObjectReader::configuration( const platform::StoreObject& object ) {
    if( object.name != platform::configurationName ) {
        return std::nullopt;
    }
    if( !object.problem.empty() ) {
        logUnreadable( object, "configuration", object.problem );
        return std::nullopt;
    }
    return object.spec;
}

std::optional<decide::Quarantine> ObjectReader::quarantine( const platform::StoreObject& object ) {
    std::string problem;
    const auto out = platform::readQuarantine( object, systemClock().wall(), problem );
    if( !out ) {
        logUnreadable( object, "quarantine", problem );
    }
    return out;
}

} // namespace coursehead::gateway
