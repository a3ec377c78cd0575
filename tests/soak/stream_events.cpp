// SPDX-License-Identifier: BSL-1.0
#include "soak/stream_events.hpp"

#include <sstream>

namespace coursehead::soak {

std::string textOf( const StreamEvent& event, int number ) {
    return "id: " + std::to_string( number ) + "\ndata: " + event.stream + " " + event.number +
           " " + event.run + " " + event.version + "\n\n";
}

std::vector<StreamEvent> eventsIn( std::string_view body ) {
    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view dataField = "data: ";
    std::vector<StreamEvent> out;
    for( auto end = body.find( eventEnd ); end != std::string_view::npos;
         end = body.find( eventEnd ) ) {
        const auto event = body.substr( 0, end );
        body.remove_prefix( end + eventEnd.size() );
        const auto data = event.find( dataField );
        if( data == std::string_view::npos ) {
            continue;
        }
        std::istringstream in( std::string( event.substr( data + dataField.size() ) ) );
        StreamEvent it;
        in >> it.stream >> it.number >> it.run >> it.version;
        out.push_back( it );
    }
    return out;
}

} // namespace coursehead::soak
