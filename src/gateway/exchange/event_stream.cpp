// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/event_stream.hpp"

#include <algorithm>
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

bool EventStreamSplitter::checkId( std::string_view event ) {
    const auto id = idOf( event );
    if( id && m_last && *id != *m_last + 1 ) {
        m_failure = "events out of order";
        return false;
    }
    m_last = id ? id : m_last;
    return true;
}

bool EventStreamSplitter::feed( std::string_view bytes, std::string& out ) {
    // The end of an event may begin in the bytes before.
    std::size_t from = m_partial.size() - std::min( m_partial.size(), eventEnd.size() - 1 );
    m_partial.append( bytes );
    std::size_t at = 0;
    for( ;; ) {
        const auto end = m_partial.find( eventEnd, from );
        const auto next = end == std::string::npos ? m_partial.size() : end + eventEnd.size();
        if( next - at > m_maxEventBytes ) {
            m_failure = "event too long";
            return false;
        }
        if( end == std::string::npos ) {
            break;
        }
        const auto event = std::string_view( m_partial ).substr( at, next - at );
        if( !checkId( event ) ) {
            return false;
        }
        out.append( event );
        at = next;
        from = next;
    }
    m_partial.erase( 0, at );
    return true;
}

} // namespace coursehead::gateway
