// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/event_stream.hpp"

#include <charconv>

namespace coursehead::gateway {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

//! The id of an event; none if the event has no valid id line.
std::optional<std::uint64_t> idOf( std::string_view event ) {
    while( !event.empty() ) {
        const auto end = event.find( '\n' );
        auto line = event.substr( 0, end );
        event = end == std::string_view::npos ? std::string_view{} : event.substr( end + 1 );
        if( !line.starts_with( idField ) ) {
            continue;
        }
        line.remove_prefix( idField.size() );
        while( line.starts_with( ' ' ) ) {
            line.remove_prefix( 1 );
        }
        std::uint64_t out = 0;
        const auto [ptr, ec] = std::from_chars( line.data(), line.data() + line.size(), out );
        return ec == std::errc() ? std::optional( out ) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

bool EventStreamSplitter::feed( std::string_view bytes, std::string& out ) {
    m_partial.append( bytes );
    std::size_t at = 0;
    for( ;; ) {
        const auto end = m_partial.find( eventEnd, at );
        if( end == std::string::npos ) {
            break;
        }
        const auto event = std::string_view( m_partial ).substr( at, end + eventEnd.size() - at );
        const auto id = idOf( event );
        if( id && m_last && *id != *m_last + 1 ) {
            return false;
        }
        if( id ) {
            m_last = id;
        }
        out.append( event );
        at = end + eventEnd.size();
    }
    m_partial.erase( 0, at );
    return true;
}

} // namespace coursehead::gateway
