// SPDX-License-Identifier: BSL-1.0
#include "agent/session.hpp"

#include <algorithm>
#include <vector>

namespace coursehead::agent {

namespace {

//! Longest time that a write to a follower may block.
constexpr Millis writeTimeout{ 15000 };
//! How often follow() checks that its reader is still connected while no text arrives.
constexpr Millis abandonCheckInterval{ 500 };
constexpr std::size_t maxChunkBytes = 64U << 10U;

} // namespace

std::uint64_t Session::append( std::string_view text ) {
    const std::lock_guard lock( m_mutex );
    const auto offset = m_text.size();
    m_text.append( text );
    m_textAdded.notify_all();
    return offset;
}

void Session::finish( peer::Message end ) {
    const std::lock_guard lock( m_mutex );
    if( !m_end ) {
        m_end = std::move( end );
    }
    m_textAdded.notify_all();
}

bool Session::finished() const {
    const std::lock_guard lock( m_mutex );
    return m_end.has_value();
}

std::string Session::text() const {
    const std::lock_guard lock( m_mutex );
    return m_text;
}

std::uint64_t Session::length() const {
    const std::lock_guard lock( m_mutex );
    return m_text.size();
}

std::uint32_t Session::readers() const {
    const std::lock_guard lock( m_mutex );
    return m_readers;
}

MonoTime Session::lastChangeAt() const {
    const std::lock_guard lock( m_mutex );
    return m_lastChangeAt;
}

void Session::touch( MonoTime now ) {
    const std::lock_guard lock( m_mutex );
    m_lastChangeAt = now;
}

bool Session::follow( peer::Stream& stream, std::uint64_t offset, const Clock& clock ) {
    std::unique_lock lock( m_mutex );
    ++m_readers;
    bool sent = true;
    bool complete = false;
    while( sent && !complete ) {
        m_textAdded.wait_for( lock, abandonCheckInterval,
                              [&] { return m_text.size() > offset || m_end.has_value(); } );
        peer::Message message;
        bool hasMessage = true;
        if( m_text.size() > offset ) {
            peer::RunChunk chunk{ m_requestId, offset, m_text.substr( offset, maxChunkBytes ) };
            offset += chunk.text.size();
            message = std::move( chunk );
        } else if( m_end ) {
            message = *m_end;
            complete = true;
        } else {
            hasMessage = false;
        }
        lock.unlock();
        sent = hasMessage ? stream.send( encode( message ), clock.now() + writeTimeout )
                          : !stream.ended();
        lock.lock();
    }
    --m_readers;
    m_lastChangeAt = clock.now();
    lock.unlock();
    stream.finish();
    return sent;
}

std::shared_ptr<Session> SessionTable::create( const std::string& requestId, std::string prefix ) {
    auto session = std::make_shared<Session>( requestId, std::move( prefix ) );
    const std::lock_guard lock( m_mutex );
    m_sessions[requestId] = session;
    return session;
}

std::shared_ptr<Session> SessionTable::find( const std::string& requestId ) const {
    const std::lock_guard lock( m_mutex );
    const auto it = m_sessions.find( requestId );
    return it == m_sessions.end() ? nullptr : it->second;
}

void SessionTable::removeExpired( MonoTime now ) {
    const std::lock_guard lock( m_mutex );
    std::erase_if( m_sessions, [this, now]( const auto& it ) {
        return it.second->finished() && it.second->readers() == 0 &&
               now - it.second->lastChangeAt() > m_retention;
    } );
    std::size_t bytes = 0;
    std::vector<std::shared_ptr<Session>> finishedSessions;
    for( const auto& it : m_sessions ) {
        bytes += it.second->length();
        if( it.second->finished() && it.second->readers() == 0 ) {
            finishedSessions.push_back( it.second );
        }
    }
    if( bytes <= m_maxBytes ) {
        return;
    }
    std::sort(
        finishedSessions.begin(), finishedSessions.end(),
        []( const auto& a, const auto& b ) { return a->lastChangeAt() < b->lastChangeAt(); } );
    for( const auto& oldest : finishedSessions ) {
        if( bytes <= m_maxBytes ) {
            break;
        }
        bytes -= oldest->length();
        std::erase_if( m_sessions, [&oldest]( const auto& it ) { return it.second == oldest; } );
    }
}

std::size_t SessionTable::active() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::size_t>(
        std::count_if( m_sessions.begin(), m_sessions.end(),
                       []( const auto& it ) { return !it.second->finished(); } ) );
}

} // namespace coursehead::agent
