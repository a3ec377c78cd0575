// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_EVENT_STREAM_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_EVENT_STREAM_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coursehead::gateway {

//! Splits a text/event-stream into complete events and checks that their ids are consecutive. Each
//! byte is scanned once.
class EventStreamSplitter {
public:
    //! `last`: id of the event before the first one of the stream, if known. `maxEventBytes`: size
    //! of the largest event.
    EventStreamSplitter( std::optional<std::uint64_t> last, std::size_t maxEventBytes )
        : m_last( last ), m_maxEventBytes( maxEventBytes ) {}

    //! Adds bytes of the stream and appends the events that are complete to `out`. False if the
    //! rest of the stream can't be passed on; see failure().
    bool feed( std::string_view bytes, std::string& out );
    //! Why feed() has returned false; empty: it has not.
    std::string_view failure() const noexcept { return m_failure; }
    //! Id of the last complete event that has one.
    std::optional<std::uint64_t> last() const noexcept { return m_last; }
    //! True if no incomplete event is buffered.
    bool atBoundary() const noexcept { return m_partial.empty(); }

private:
    bool checkId( std::string_view event );

    std::string m_partial;
    std::optional<std::uint64_t> m_last;
    std::size_t m_maxEventBytes;
    std::string_view m_failure;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_EVENT_STREAM_HPP_INCLUDED
