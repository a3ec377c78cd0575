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

//! The text of answers in progress and just finished, kept so that a caller can resume them.
namespace coursehead::agent {

//! One answer. Written by the thread that runs it, read by any number of followers.
class Session {
public:
    Session( std::string requestId, std::string prefix )
        : m_requestId( std::move( requestId ) ), m_text( std::move( prefix ) ) {}

    //! Adds text; the offset at which it begins.
    std::uint64_t append( std::string_view text );
    //! Ends the answer; `end` is RunDone or RunFailed.
    void finish( peer::Message end );
    bool finished() const;
    std::string text() const;
    std::uint64_t length() const;
    //! Sends everything from an offset on and follows until the end; false when the reader left.
    bool follow( peer::Stream& stream, std::uint64_t offset, const Clock& clock );
    //! Followers right now.
    std::uint32_t readers() const;
    MonoTime changed() const;
    void touch( MonoTime now );

private:
    std::string m_requestId;
    mutable std::mutex m_mutex;
    std::condition_variable m_grown;
    std::string m_text;
    std::optional<peer::Message> m_end;
    std::uint32_t m_readers = 0;
    MonoTime m_changed;
};

//! The sessions of an agent, bounded in time and bytes.
class SessionTable {
public:
    SessionTable( Millis keep, std::size_t maxBytes ) : m_keep( keep ), m_maxBytes( maxBytes ) {}

    std::shared_ptr<Session> create( const std::string& requestId, std::string prefix );
    std::shared_ptr<Session> find( const std::string& requestId ) const;
    //! Drops finished sessions past their time, and the oldest of them past the bound on bytes.
    void forget( MonoTime now );
    //! Sessions that are not finished.
    std::size_t active() const;

private:
    Millis m_keep;
    std::size_t m_maxBytes;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Session>> m_sessions;
};

} // namespace coursehead::agent

#endif // COURSEHEAD_AGENT_SESSION_HPP_INCLUDED
