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

//! What a wait for a frame ended with.
enum class ReceiveStatus {
    frame,    //!< a whole frame
    finished, //!< the far side ended the stream in order
    refused,  //!< the far side took nothing from this stream: its work was never started
    broken,   //!< reset, or the connection was lost; the far side may have acted
    timeout,  //!< nothing came in time; the stream is still open
};

struct Received {
    ReceiveStatus status = ReceiveStatus::timeout;
    std::string frame;
};

/**
 * One bidirectional stream of frames on a peer connection. Any thread may use it. Frames wait in
 * a bounded window: a receiver that does not read slows its own sender and no other stream.
 */
class Stream {
public:
    Stream( std::shared_ptr<Detail::StreamState> state, std::shared_ptr<Detail::LoopCore> loop );
    //! Resets the stream if either side is still open.
    ~Stream();
    Stream( const Stream& ) = delete;
    Stream& operator=( const Stream& ) = delete;

    //! Queues a frame, waiting for room until the deadline; false when ended or out of time.
    bool send( std::string_view message, MonoTime deadline );
    //! Queues a frame when there is room; never waits.
    bool trySend( std::string_view message );
    //! Waits for the next frame.
    Received receive( MonoTime deadline );
    //! Ends our side in order, after what is queued.
    void finish();
    //! Resets the stream: the far side learns that its answer is no longer wanted.
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
