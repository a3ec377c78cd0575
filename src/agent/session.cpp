// SPDX-License-Identifier: BSL-1.0
#include "agent/session.hpp"

#include <algorithm>
#include <vector>

namespace coursehead::agent {

namespace {

//! The longest a follower may keep us from writing to it.
constexpr Millis writePatience{ 15000 };
//! How often a follower that gets no text looks whether its reader is still there.
constexpr Millis lookInterval{ 500 };
constexpr std::size_t pieceBytes = 64U << 10U;

} // namespace

std::uint64_t Session::append( std::string_view text ) {
    const std::lock_guard lock( m_mutex );
    const auto offset = m_text.size();
    m_text.append( text );
    m_grown.notify_all();
    return offset;
}

void Session::finish( peer::Message end ) {
    const std::lock_guard lock( m_mutex );
    if( !m_end ) {
        m_end = std::move( end );
    }
    m_grown.notify_all();
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

MonoTime Session::changed() const {
    const std::lock_guard lock( m_mutex );
    return m_changed;
}

void Session::touch( MonoTime now ) {
    const std::lock_guard lock( m_mutex );
    m_changed = now;
}

bool Session::follow( peer::Stream& stream, std::uint64_t offset, const Clock& clock ) {
    std::unique_lock lock( m_mutex );
    ++m_readers;
    bool sent = true;
    bool whole = false;
    while( sent && !whole ) {
        m_grown.wait_for( lock, lookInterval,
                          [&] { return m_text.size() > offset || m_end.has_value(); } );
        peer::Message message;
        bool hasMessage = true;
        if( m_text.size() > offset ) {
            peer::RunChunk chunk{ m_requestId, offset, m_text.substr( offset, pieceBytes ) };
            offset += chunk.text.size();
            message = std::move( chunk );
        } else if( m_end ) {
            message = *m_end;
            whole = true;
        } else {
            hasMessage = false;
        }
        lock.unlock();
        sent = hasMessage ? stream.send( encode( message ), clock.now() + writePatience )
                          : !stream.ended();
        lock.lock();
    }
    --m_readers;
    m_changed = clock.now();
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

void SessionTable::forget( MonoTime now ) {
    const std::lock_guard lock( m_mutex );
    std::erase_if( m_sessions, [this, now]( const auto& it ) {
        return it.second->finished() && it.second->readers() == 0 &&
               now - it.second->changed() > m_keep;
    } );
    std::size_t bytes = 0;
    std::vector<std::shared_ptr<Session>> done;
    for( const auto& it : m_sessions ) {
        bytes += it.second->length();
        if( it.second->finished() && it.second->readers() == 0 ) {
            done.push_back( it.second );
        }
    }
    if( bytes <= m_maxBytes ) {
        return;
    }
    std::sort( done.begin(), done.end(),
               []( const auto& a, const auto& b ) { return a->changed() < b->changed(); } );
    for( const auto& victim : done ) {
        if( bytes <= m_maxBytes ) {
            break;
        }
        bytes -= victim->length();
        std::erase_if( m_sessions, [&victim]( const auto& it ) { return it.second == victim; } );
    }
}

std::size_t SessionTable::active() const {
    const std::lock_guard lock( m_mutex );
    return static_cast<std::size_t>(
        std::count_if( m_sessions.begin(), m_sessions.end(),
                       []( const auto& it ) { return !it.second->finished(); } ) );
}

} // namespace coursehead::agent
