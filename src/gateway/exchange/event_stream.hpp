// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_EVENT_STREAM_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_EVENT_STREAM_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! Splits a text/event-stream into complete events and checks that their ids are consecutive.
class EventStreamSplitter {
public:
    //! `last`: id of the event before the first one of the stream, if known.
    explicit EventStreamSplitter( std::optional<std::uint64_t> last ) : m_last( last ) {}

    //! Adds bytes of the stream and appends the events that are complete to `out`. False if an
    //! event repeats or skips an id: the rest of the stream can't be trusted.
    bool feed( std::string_view bytes, std::string& out );
    //! Id of the last complete event that has one.
    std::optional<std::uint64_t> last() const noexcept { return m_last; }
    //! True if no incomplete event is buffered.
    bool atBoundary() const noexcept { return m_partial.empty(); }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_last;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_EVENT_STREAM_HPP_INCLUDED
