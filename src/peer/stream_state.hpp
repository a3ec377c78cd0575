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

//! Bytes that may wait in a stream's outgoing queue before a sender has to wait.
inline constexpr std::size_t outboxLimit = 256U << 10U;
//! Bytes taken by the reader after which the window is given back in one update.
inline constexpr std::size_t creditStep = 16U << 10U;

enum class StreamEnd { open, finished, refused, broken };

//! State shared by the loop's thread and the stream's users; `mutex` guards all but loop-only
//! parts.
struct StreamState {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> inbox;
    std::size_t uncredited = 0; //!< bytes read by the user, not yet given back to the window
    std::string outbox;
    bool finishWanted = false;
    bool cancelWanted = false;
    bool queued = false;     //!< already on the loop's list of streams with work
    bool remoteDone = false; //!< the far side has ended its half
    StreamEnd end = StreamEnd::open;
    std::function<void()> listener;

    // Used by the loop's thread only.
    FrameReader reader;
    std::string path;
    std::string token;
    std::uint64_t connection = 0;
    std::int32_t id = 0;
    std::size_t prepaid = 0; //!< window given back before the frame was complete
    bool accepted = false;   //!< opened by the far side
};

} // namespace coursehead::peer::Detail

#endif // COURSEHEAD_PEER_STREAM_STATE_HPP_INCLUDED
