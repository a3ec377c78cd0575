// SPDX-License-Identifier: BSL-1.0
#include "gateway/exchange/client_writer.hpp"

#include "coursehead/kernel/log.hpp"
#include "net/send_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace coursehead::gateway {

namespace {

//! Small pieces are joined up to this size: a long answer that waits is then written with few
//! system calls.
constexpr std::size_t joinedPieceBytes = 16U << 10U;
//! A client is dropped this long after its deadline if sent bytes stay unacknowledged.
constexpr Millis ackMargin{ 10000 };
//! Longer without a check of the readers means that the process was suspended.
constexpr Millis suspendedTime{ 500 };

} // namespace

// ReaderTable

void ReaderTable::remove( std::size_t n ) {
    m_heldBytes -= n;
    if( m_heldBytes < m_limits.totalBytes ) {
        wakeWaiting();
    }
}

void ReaderTable::wakeWaiting() {
    for( auto* it : m_waitingForRoom ) {
        it->wake();
    }
}

std::vector<decide::ReaderCutCause> ReaderTable::cutReaders( MonoTime now ) {
    std::vector<decide::ReaderCutCause> out;
    const auto gap = now - m_checkedAt;
    const bool suspended = m_checkedAt != MonoTime{} && gap > suspendedTime;
    m_checkedAt = now;
    if( m_holding.empty() ) {
        return out;
    }
    for( auto* it : m_holding ) {
        if( suspended ) {
            it->m_state.tookBytesAt = std::min( it->m_state.tookBytesAt + gap, now );
        }
        it->noteTaken( now );
    }
    const std::vector<ClientWriter*> readers( m_holding.begin(), m_holding.end() );
    std::vector<decide::ReaderState> states;
    states.reserve( readers.size() );
    for( const auto* it : readers ) {
        states.push_back( it->m_state );
    }
    for( const auto& it : decide::readersToCut( states, m_heldBytes, m_limits, now ) ) {
        auto* reader = readers[it.index];
        log::info( "reader_cut",
                   { { "id", reader->m_requestId },
                     { "cause", decide::readerCutText( it.cause ) },
                     { "held_bytes", static_cast<std::int64_t>( reader->m_state.heldBytes ) },
                     { "upstream_waits", reader->m_state.upstreamWaits ? "yes" : "no" },
                     { "step_bytes", static_cast<std::int64_t>( reader->m_state.stepBytes ) },
                     { "step_ms", reader->m_state.stepTime.count() },
                     { "stood_ms", millisBetween( reader->m_state.tookBytesAt, now ) },
                     { "total_bytes", static_cast<std::int64_t>( m_heldBytes ) },
                     { "total_limit", static_cast<std::int64_t>( m_limits.totalBytes ) },
                     { "readers", static_cast<std::int64_t>( m_holding.size() ) } } );
        reader->cut();
        out.push_back( it.cause );
    }
    return out;
}

// CollectedBytes

CollectedBytes::CollectedBytes( std::shared_ptr<ReaderTable> table )
    : m_table( std::move( table ) ), m_number( ++m_table->m_lastCollected ) {
    m_table->m_collecting.insert( m_number );
}

CollectedBytes::~CollectedBytes() {
    m_table->m_collecting.erase( m_number );
    m_table->remove( m_bytes );
    // Another answer is the oldest now and may be read on in any case.
    m_table->wakeWaiting();
}

void CollectedBytes::add( std::size_t n ) {
    m_bytes += n;
    m_table->add( n );
}

bool CollectedBytes::mayReadOn() const {
    const bool oldest = *m_table->m_collecting.begin() == m_number;
    return oldest || m_table->m_heldBytes < m_table->m_limits.totalBytes;
}

// ClientWriter

ClientWriter::ClientWriter( std::shared_ptr<ClientConnection> client,
                            std::shared_ptr<ReaderTable> table, std::string requestId )
    : m_client( std::move( client ) ), m_table( std::move( table ) ),
      m_requestId( std::move( requestId ) ), m_changed( m_client->socket.get_executor() ) {}

ClientWriter::~ClientWriter() {
    end();
}

void ClientWriter::setDeadline( MonoTime deadline ) {
    m_state.deadline = deadline;
    net::setAckTimeout( m_client->socket, remaining( MonoClock::now(), deadline ) + ackMargin );
}

bool ClientWriter::open() const noexcept {
    return !m_ended && !m_client->disconnected && !m_client->broken;
}

bool ClientWriter::write( std::string bytes ) {
    if( !open() ) {
        return false;
    }
    if( m_pieces.empty() && !writeAtOnce( bytes ) ) {
        return false;
    }
    if( bytes.empty() ) {
        return true;
    }
    if( m_state.heldBytes == 0 ) {
        beginToHold();
    }
    m_state.heldBytes += bytes.size();
    m_table->add( bytes.size() );
    // The first piece is being written and must not move.
    const bool join =
        m_pieces.size() > 1 && m_pieces.back().size() + bytes.size() <= joinedPieceBytes;
    if( join ) {
        m_pieces.back() += bytes;
    } else {
        m_pieces.push_back( std::move( bytes ) );
    }
    if( !m_writing ) {
        startWrite();
    }
    return true;
}

bool ClientWriter::writeAtOnce( std::string& bytes ) {
    net::ErrorCode ec;
    const auto n = m_client->socket.write_some( net::asio::buffer( bytes ), ec );
    if( ec && ec != net::asio::error::would_block ) {
        m_client->broken = true;
        return false;
    }
    bytes.erase( 0, n );
    m_acceptedBytes += static_cast<std::int64_t>( n );
    return true;
}

void ClientWriter::beginToHold() {
    m_state.tookBytesAt = MonoClock::now();
    m_state.stepBytes = 0;
    m_state.stepTime = Millis{ 0 };
    m_takenBytes.reset();
    m_table->m_holding.insert( this );
}

std::int64_t ClientWriter::takenBytes() {
    const auto waiting = net::unacknowledgedBytes( m_client->socket ).value_or( 0 );
    return m_acceptedBytes - static_cast<std::int64_t>( waiting );
}

void ClientWriter::noteTaken( MonoTime now ) {
    const auto taken = takenBytes();
    // What fills the client's receive buffer at first does not show that it reads.
    const auto before = std::exchange( m_takenBytes, taken ).value_or( taken );
    if( taken <= before ) {
        return;
    }
    m_state.stepBytes = static_cast<std::size_t>( taken - before );
    m_state.stepTime = std::chrono::duration_cast<Millis>( now - m_state.tookBytesAt );
    m_state.tookBytesAt = now;
}

void ClientWriter::startWrite() {
    m_writing = true;
    const auto& piece = m_pieces.front();
    const auto rest = net::asio::buffer( piece.data() + m_written, piece.size() - m_written );
    m_client->socket.async_write_some(
        rest,
        [self = shared_from_this()]( net::ErrorCode ec, std::size_t n ) { self->wrote( ec, n ); } );
}

void ClientWriter::wrote( net::ErrorCode ec, std::size_t n ) {
    m_writing = false;
    if( m_ended || m_client->broken ) {
        m_pieces.clear();
        return;
    }
    if( ec ) {
        m_client->broken = true;
        discard();
        closeUpstream();
        wake();
        return;
    }
    m_acceptedBytes += static_cast<std::int64_t>( n );
    m_written += n;
    m_state.heldBytes -= n;
    if( m_written == m_pieces.front().size() ) {
        m_pieces.pop_front();
        m_written = 0;
    }
    if( m_state.heldBytes == 0 ) {
        m_table->m_holding.erase( this );
    }
    m_table->remove( n );
    if( !m_pieces.empty() ) {
        startWrite();
    }
    wake();
}

void ClientWriter::cut() {
    m_client->broken = true;
    net::resetOnClose( m_client->socket );
    net::ErrorCode ec;
    m_client->socket.close( ec );
    discard();
    closeUpstream();
    wake();
}

void ClientWriter::end() {
    if( m_ended ) {
        return;
    }
    m_ended = true;
    discard();
}

void ClientWriter::discard() {
    m_table->m_holding.erase( this );
    m_table->m_waitingForRoom.erase( this );
    const auto n = m_state.heldBytes;
    m_state.heldBytes = 0;
    m_table->remove( n );
    // A write in progress still refers to the first piece.
    if( m_pieces.size() > 1 ) {
        m_pieces.erase( std::next( m_pieces.begin() ), m_pieces.end() );
    }
}

void ClientWriter::closeUpstream() {
    if( const auto upstream = m_client->upstream.lock() ) {
        net::ErrorCode ec;
        upstream->socket.close( ec );
    }
}

net::Task<bool> ClientWriter::drained() {
    while( open() && m_state.heldBytes > 0 ) {
        co_await waitForChange( MonoTime::max() );
    }
    co_return open();
}

net::Task<bool> ClientWriter::roomForMore() {
    return waitForRoom( nullptr );
}

net::Task<bool> ClientWriter::roomForMore( const CollectedBytes& collected ) {
    return waitForRoom( &collected );
}

net::Task<bool> ClientWriter::waitForRoom( const CollectedBytes* collected ) {
    const auto hasRoom = [this, collected] {
        return collected != nullptr ? collected->mayReadOn()
                                    : decide::mayReadOn( m_state.heldBytes, m_table->m_heldBytes,
                                                         m_table->m_limits );
    };
    const auto until = m_state.deadline == MonoTime{} ? MonoTime::max() : m_state.deadline;
    while( open() && !hasRoom() && MonoClock::now() < until ) {
        m_table->m_waitingForRoom.insert( this );
        m_state.upstreamWaits = true;
        co_await waitForChange( until );
        m_state.upstreamWaits = false;
        m_table->m_waitingForRoom.erase( this );
    }
    co_return open();
}

net::Task<> ClientWriter::waitForChange( MonoTime until ) {
    m_changed.expires_at( until );
    co_await m_changed.async_wait( net::tupled );
}

void ClientWriter::wake() {
    m_changed.cancel();
}

} // namespace coursehead::gateway
