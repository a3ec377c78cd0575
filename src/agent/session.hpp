// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_AGENT_SESSION_HPP_INCLUDED
#define COURSEHEAD_AGENT_SESSION_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "coursehead/peer/messages.hpp"
#include "coursehead/peer/stream.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

//! Keeps the text of running and recently finished answers, so that a caller can resume them.
namespace coursehead::agent {

//! One answer, written by the thread that runs the request and read by any number of followers.
class Session {
public:
    Session( std::string requestId, std::string prefix )
        : m_requestId( std::move( requestId ) ), m_text( std::move( prefix ) ) {}

    //! Appends text; returns the offset at which it starts.
    std::uint64_t append( std::string_view text );
    //! Ends the answer; `end` is RunDone or RunFailed.
    void finish( peer::Message end );
    bool finished() const;
    std::string text() const;
    std::uint64_t length() const;
    //! Sends the text from `offset` on until the answer ends; false when the reader disconnected.
    bool follow( peer::Stream& stream, std::uint64_t offset, const Clock& clock );
    //! The number of current followers.
    std::uint32_t readers() const;
    MonoTime lastChangeAt() const;
    void touch( MonoTime now );

private:
    std::string m_requestId;
    mutable std::mutex m_mutex;
    std::condition_variable m_textAdded;
    std::string m_text;
    std::optional<peer::Message> m_end;
    std::uint32_t m_readers = 0;
    MonoTime m_lastChangeAt;
};

//! The sessions of an agent. Finished sessions are limited by age and by total size.
class SessionTable {
public:
    SessionTable( Millis retention, std::size_t maxBytes )
        : m_retention( retention ), m_maxBytes( maxBytes ) {}

    std::shared_ptr<Session> create( const std::string& requestId, std::string prefix );
    std::shared_ptr<Session> find( const std::string& requestId ) const;
    //! Removes the finished sessions without readers that are older than the retention, then the
    //! oldest ones until the size limit is met.
    void removeExpired( MonoTime now );
    //! The number of unfinished sessions.
    std::size_t active() const;

private:
    Millis m_retention;
    std::size_t m_maxBytes;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Session>> m_sessions;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_SESSION_HPP_INCLUDED
