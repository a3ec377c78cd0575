// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_STREAM_STATE_HPP_INCLUDED
#define COURSEHEAD_PEER_STREAM_STATE_HPP_INCLUDED

#include "coursehead/peer/frame.hpp"
#include "coursehead/peer/stream.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>

namespace coursehead::peer::Detail {

//! A sender waits while its stream's outgoing queue holds at least this many bytes.
inline constexpr std::size_t maxOutboxBytes = 256U << 10U;
//! Bytes that the user reads before their window credit is returned in one update.
inline constexpr std::size_t creditBatchBytes = 16U << 10U;

enum class StreamEnd { open, finished, refused, broken };

//! State shared by the loop's thread and the stream's users. `mutex` guards all members except
//! those that only the loop's thread uses.
struct StreamState {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> inbox;
    std::size_t uncredited = 0; //!< bytes read by the user, window credit not returned yet
    std::string outbox;
    bool finishRequested = false;
    bool cancelRequested = false;
    bool queued = false;       //!< already on the loop's list of pending streams
    bool remoteClosed = false; //!< the peer has ended its side
    StreamEnd end = StreamEnd::open;
    std::function<void()> listener;

    // Used by the loop's thread only.
    FrameReader reader;
    std::string path;
    std::string token;
    std::uint64_t connection = 0;
    std::int32_t id = 0;
    std::size_t earlyCredit = 0; //!< window credit returned before the frame was complete
    bool accepted = false;       //!< opened by the peer
};

} // namespace coursehead::peer::Detail

#endif // COURSEHEAD_PEER_STREAM_STATE_HPP_INCLUDED
