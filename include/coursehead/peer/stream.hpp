// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_STREAM_HPP_INCLUDED
#define COURSEHEAD_PEER_STREAM_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coursehead::peer {

namespace Detail {
struct StreamState;
class LoopCore;
} // namespace Detail

//! Result of waiting for a frame.
enum class ReceiveStatus {
    frame,    //!< a complete frame
    finished, //!< the peer ended the stream normally
    refused,  //!< the peer did not accept the stream: its work was never started
    broken,   //!< reset, or the connection was lost; the peer may have acted
    timeout,  //!< no frame arrived in time; the stream is still open
};

struct ReceiveResult {
    ReceiveStatus status = ReceiveStatus::timeout;
    std::string frame;
};

/**
 * One bidirectional stream of frames on a peer connection. Any thread may use it. Flow control
 * bounds the frames in transit: a receiver that does not read slows its own sender, but no other
 * stream.
 */
class Stream {
public:
    Stream( std::shared_ptr<Detail::StreamState> state, std::shared_ptr<Detail::LoopCore> loop );
    //! Resets the stream if either side is still open.
    ~Stream();
    Stream( const Stream& ) = delete;
    Stream& operator=( const Stream& ) = delete;

    //! Queues a frame, and waits until the deadline for space in the queue. False when the stream
    //! has ended or the deadline has passed.
    bool send( std::string_view message, MonoTime deadline );
    //! Queues a frame if the queue has space; never waits.
    bool trySend( std::string_view message );
    //! Waits for the next frame until the deadline.
    ReceiveResult receive( MonoTime deadline );
    //! Ends our side normally, after the queued frames.
    void finish();
    //! Resets the stream: the peer learns that its answer is no longer wanted.
    void cancel();
    //! True once the stream is closed by either side.
    bool ended() const;
    //! Calls `listener` on the connection's thread whenever a frame or the end arrives.
    void listen( std::function<void()> listener );

private:
    bool queue( std::string_view message, MonoTime deadline, bool wait );

    std::shared_ptr<Detail::StreamState> m_state;
    std::shared_ptr<Detail::LoopCore> m_loop;
};

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_STREAM_HPP_INCLUDED
