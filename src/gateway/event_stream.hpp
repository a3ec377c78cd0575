// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EVENT_STREAM_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EVENT_STREAM_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! Cuts a text/event-stream into whole events, and watches that their ids rise one by one.
class EventStreamSplitter {
public:
    //! `last`: the event behind which the stream begins.
    explicit EventStreamSplitter( std::optional<std::uint64_t> last ) : m_last( last ) {}

    //! Takes bytes; appends the whole events among them to `out`. False when an event repeats or
    //! skips an id: the stream is not to be trusted any further.
    bool feed( std::string_view bytes, std::string& out );
    //! Id of the last whole event.
    std::optional<std::uint64_t> last() const noexcept { return m_last; }
    //! True when no part of an event is left over.
    bool atBoundary() const noexcept { return m_partial.empty(); }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_last;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EVENT_STREAM_HPP_INCLUDED
