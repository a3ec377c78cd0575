// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_WRITER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_WRITER_HPP_INCLUDED

#include "decide/reader_rule.hpp"
#include "gateway/exchange/client_end.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! The bytes of answers that a gateway holds until their clients take them.
namespace coursehead::gateway {

class ClientWriter;

//! All client writers of a gateway, and the sum of the bytes held for clients.
class ReaderTable {
public:
    ReaderTable() = default;
    ReaderTable( const ReaderTable& ) = delete;
    ReaderTable& operator=( const ReaderTable& ) = delete;

    void setLimits( const decide::ReaderLimits& limits ) { m_limits = limits; }
    const decide::ReaderLimits& limits() const noexcept { return m_limits; }
    std::size_t heldBytes() const noexcept { return m_heldBytes; }
    //! Cuts the readers that must be cut by now, with a log line for each; returns their causes.
    //! Call it every tenth of a second: time in which it was not called, because the process was
    //! suspended, is not held against the readers.
    std::vector<decide::ReaderCutCause> cutReaders( MonoTime now );

private:
    friend class ClientWriter;
    friend class CollectedBytes;

    void add( std::size_t n ) { m_heldBytes += n; }
    //! Removes `n` bytes from the sum, and wakes the answers that wait for room.
    void remove( std::size_t n );
    void wakeWaiting();

    decide::ReaderLimits m_limits = decide::readerLimits( 0, Millis( 15000 ) );
    std::size_t m_heldBytes = 0;
    std::set<ClientWriter*> m_holding;        //!< writers that hold bytes
    std::set<ClientWriter*> m_waitingForRoom; //!< writers whose answer waits for the sum to fall
    std::set<std::uint64_t> m_collecting;     //!< numbers of the whole answers being collected
    std::uint64_t m_lastCollected = 0;
    MonoTime m_checkedAt{}; //!< last call of cutReaders()
};

//! Counts the bytes of a whole answer that is collected before its client gets any of it.
class CollectedBytes {
public:
    explicit CollectedBytes( std::shared_ptr<ReaderTable> table );
    ~CollectedBytes();
    CollectedBytes( const CollectedBytes& ) = delete;
    CollectedBytes& operator=( const CollectedBytes& ) = delete;

    void add( std::size_t n );
    //! True if more may be read. Always true for the oldest of the answers being collected:
    //! otherwise several could wait for each other.
    bool mayReadOn() const;

private:
    std::shared_ptr<ReaderTable> m_table;
    std::uint64_t m_number;
    std::size_t m_bytes = 0;
};

/**
 * Writes the answers of one request to its client. Bytes that the client's connection does not
 * accept at once are held and written when it does, so that the upstream is read on meanwhile. A
 * client takes bytes when its side acknowledges them, not when the connection accepts more. Must
 * be owned by a shared_ptr, and the client's socket be non-blocking; end() must be called before
 * the client's socket is destroyed.
 */
class ClientWriter : public std::enable_shared_from_this<ClientWriter> {
public:
    ClientWriter( std::shared_ptr<ClientConnection> client, std::shared_ptr<ReaderTable> table,
                  std::string requestId );
    ~ClientWriter();
    ClientWriter( const ClientWriter& ) = delete;
    ClientWriter& operator=( const ClientWriter& ) = delete;

    //! When the client stops waiting. Until then the system does not drop it for reading slowly.
    void setDeadline( MonoTime deadline );
    //! Adds bytes. False if the client gets no more: it has left, a write failed, or it was cut.
    bool write( std::string bytes );
    //! Waits until the connection has accepted all bytes; false as for write().
    net::Task<bool> drained();
    //! Waits until more of the answer may be read from its upstream, at most until the deadline;
    //! false as for write().
    net::Task<bool> roomForMore();
    //! The same for a whole answer, of which the client gets nothing yet.
    net::Task<bool> roomForMore( const CollectedBytes& collected );
    //! Ends a request: discards what is held, and touches the socket no more.
    void end();
    //! The client has left: drained() and roomForMore() return false.
    void notifyDisconnected() { wake(); }

    std::size_t heldBytes() const noexcept { return m_state.heldBytes; }

private:
    friend class ReaderTable;

    bool open() const noexcept;
    //! Removes from `bytes` what the connection accepts at once: no event of the loop is needed for
    //! a client that reads. False if the connection is broken.
    bool writeAtOnce( std::string& bytes );
    void startWrite();
    void wrote( net::ErrorCode ec, std::size_t n );
    //! Resets the client's connection and cancels the run at the upstream.
    void cut();
    void discard();
    //! Closes the upstream connection of the send in progress.
    void closeUpstream();
    net::Task<> waitForChange( MonoTime until );
    net::Task<bool> waitForRoom( const CollectedBytes* collected );
    void wake();
    //! Notes what the client has acknowledged by now.
    void noteTaken( MonoTime now );
    //! Bytes that the client has acknowledged; only differences between two calls mean something.
    std::int64_t takenBytes();
    //! Begins to hold bytes for the client.
    void beginToHold();

    std::shared_ptr<ClientConnection> m_client;
    std::shared_ptr<ReaderTable> m_table;
    std::string m_requestId;
    net::Timer m_changed; //!< cancelled at each change, which wakes the waiting request
    std::deque<std::string> m_pieces;
    std::size_t m_written = 0; //!< bytes of the first piece that were written
    decide::ReaderState m_state;
    std::int64_t m_acceptedBytes = 0; //!< by the connection
    std::optional<std::int64_t>
        m_takenBytes{}; //!< at the last check; empty: none since bytes are held
    bool m_writing = false;
    bool m_ended = false;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_CLIENT_WRITER_HPP_INCLUDED
