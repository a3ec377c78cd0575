// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_STREAM_EVENTS_HPP_INCLUDED
#define COURSEHEAD_SOAK_STREAM_EVENTS_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace coursehead::soak {

//! An event of a simulated upstream's stream.
struct StreamEvent {
    std::string stream;  //!< id of the attempt that began the stream
    std::string number;  //!< NUMBER/ALL, from 1 on
    std::string run;     //!< differs between runs of the stream
    std::string version; //!< software version of the upstream
};

//! The event as text/event-stream.
std::string textOf( const StreamEvent& event, int number );
//! The complete events in the body of a stream.
std::vector<StreamEvent> eventsIn( std::string_view body );

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_STREAM_EVENTS_HPP_INCLUDED
