// SPDX-License-Identifier: BSL-1.0
#include "coursehead/peer/stream.hpp"

#include "peer/loop_core.hpp"
#include "peer/stream_state.hpp"

namespace coursehead::peer {

using Detail::StreamEnd;

Stream::Stream( std::shared_ptr<Detail::StreamState> state, std::shared_ptr<Detail::LoopCore> loop )
    : m_state( std::move( state ) ), m_loop( std::move( loop ) ) {}

Stream::~Stream() {
    bool finishing = false;
    {
        const std::lock_guard lock( m_state->mutex );
        m_state->listener = nullptr;
        finishing = m_state->accepted && m_state->finishRequested;
    }
    if( !finishing ) {
        cancel();
    }
}

bool Stream::send( std::string_view message, MonoTime deadline ) {
    return queue( message, deadline, true );
}

bool Stream::trySend( std::string_view message ) {
    return queue( message, {}, false );
}

bool Stream::queue( std::string_view message, MonoTime deadline, bool wait ) {
    bool wake = false;
    {
        std::unique_lock lock( m_state->mutex );
        const auto ready = [this] {
            return m_state->outbox.size() < Detail::maxOutboxBytes ||
                   m_state->end != StreamEnd::open || m_state->cancelRequested;
        };
        if( !ready() && ( !wait || !m_state->changed.wait_until( lock, deadline, ready ) ) ) {
            return false;
        }
        if( m_state->end != StreamEnd::open || m_state->finishRequested ||
            m_state->cancelRequested ) {
            return false;
        }
        appendFrame( m_state->outbox, message );
        wake = !m_state->queued;
        m_state->queued = true;
    }
    if( wake ) {
        m_loop->enqueue( m_state );
    }
    return true;
}

ReceiveResult Stream::receive( MonoTime deadline ) {
    ReceiveResult out;
    bool wake = false;
    {
        std::unique_lock lock( m_state->mutex );
        m_state->changed.wait_until( lock, deadline, [this] {
            return !m_state->inbox.empty() || m_state->remoteClosed ||
                   m_state->end != StreamEnd::open;
        } );
        if( m_state->inbox.empty() ) {
            switch( m_state->end ) {
            case StreamEnd::open:
                out.status =
                    m_state->remoteClosed ? ReceiveStatus::finished : ReceiveStatus::timeout;
                break;
            case StreamEnd::finished:
                out.status = ReceiveStatus::finished;
                break;
            case StreamEnd::refused:
                out.status = ReceiveStatus::refused;
                break;
            case StreamEnd::broken:
                out.status = ReceiveStatus::broken;
                break;
            }
            return out;
        }
        out.status = ReceiveStatus::frame;
        out.frame = std::move( m_state->inbox.front() );
        m_state->inbox.pop_front();
        m_state->uncredited += out.frame.size() + frameHeaderBytes;
        wake = m_state->uncredited >= Detail::creditBatchBytes && !m_state->queued;
        m_state->queued = m_state->queued || wake;
    }
    if( wake ) {
        m_loop->enqueue( m_state );
    }
    return out;
}

void Stream::finish() {
    {
        const std::lock_guard lock( m_state->mutex );
        if( m_state->finishRequested ) {
            return;
        }
        m_state->finishRequested = true;
        m_state->queued = true;
    }
    m_loop->enqueue( m_state );
}

void Stream::cancel() {
    {
        const std::lock_guard lock( m_state->mutex );
        if( m_state->cancelRequested || m_state->end != StreamEnd::open ) {
            return;
        }
        m_state->cancelRequested = true;
        m_state->queued = true;
        m_state->changed.notify_all();
    }
    m_loop->enqueue( m_state );
}

bool Stream::ended() const {
    const std::lock_guard lock( m_state->mutex );
    return m_state->end != StreamEnd::open || m_state->cancelRequested;
}

void Stream::listen( std::function<void()> listener ) {
    const std::lock_guard lock( m_state->mutex );
    m_state->listener = std::move( listener );
}

} // namespace coursehead::peer
