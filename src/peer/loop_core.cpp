// SPDX-License-Identifier: BSL-1.0
#include "peer/loop_core.hpp"

#include "coursehead/kernel/log.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace coursehead::peer::Detail {

namespace {

constexpr Millis tickInterval{ 250 };
constexpr Millis drainTimeout{ 500 };
constexpr int listenBacklog = 256;
constexpr int maxBackoffFactor = 16;

MonoTime now() {
    return MonoClock::now();
}

bool makeAddress( const std::string& host, int port, sockaddr_in& out ) {
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons( static_cast<std::uint16_t>( port ) );
    return ::inet_pton( AF_INET, host.c_str(), &out.sin_addr ) == 1;
}

void setNoDelay( int fd ) {
    const int on = 1;
    ::setsockopt( fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof( on ) );
}

} // namespace

LoopCore::LoopCore( LoopSettings settings, StreamHandler handler )
    : m_settings( std::move( settings ) ), m_handler( std::move( handler ) ),
      m_pool( m_settings.maxHandlers ), m_random( m_settings.seed ),
      m_wakeFd( ::eventfd( 0, EFD_NONBLOCK | EFD_CLOEXEC ) ) {
    m_context.settings = &m_settings;
    m_context.stats = &m_stats;
    m_context.accept = [this]( const StatePtr& state ) {
        return accept( state );
    };
}

LoopCore::~LoopCore() {
    stop();
    if( m_listenFd >= 0 ) {
        ::close( m_listenFd );
    }
    ::close( m_wakeFd );
}

int LoopCore::bind( const std::string& host, int port ) {
    sockaddr_in address{};
    if( !makeAddress( host, port, address ) ) {
        return -1;
    }
    m_listenFd = ::socket( AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0 );
    const int on = 1;
    ::setsockopt( m_listenFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof( on ) );
    auto* generic = reinterpret_cast<sockaddr*>( &address );
    if( ::bind( m_listenFd, generic, sizeof( address ) ) != 0 ||
        ::listen( m_listenFd, listenBacklog ) != 0 ) {
        return -1;
    }
    socklen_t n = sizeof( address );
    ::getsockname( m_listenFd, generic, &n );
    return ntohs( address.sin_port );
}

void LoopCore::start() {
    m_lastTick = now();
    m_thread = std::thread( [this] { run(); } );
}

void LoopCore::stop() {
    if( m_stopping.exchange( true ) ) {
        return;
    }
    wake();
    if( m_thread.joinable() ) {
        m_thread.join();
    }
    m_pool.shutdown();
}

LinkId LoopCore::connect( std::string host, int port ) {
    const LinkId id = m_nextLink++;
    post( [this, id, host = std::move( host ), port] {
        m_links[id] = Link{ host, port, 0, now(), m_settings.reconnectDelay };
    } );
    return id;
}

void LoopCore::disconnect( LinkId link ) {
    post( [this, link] {
        const auto it = m_links.find( link );
        if( it == m_links.end() ) {
            return;
        }
        m_connections.erase( it->second.connection );
        m_links.erase( it );
        setLinkUp( link, false );
    } );
}

bool LoopCore::isUp( LinkId link ) const {
    const std::lock_guard lock( m_mutex );
    return m_linksUp.contains( link );
}

std::shared_ptr<Stream> LoopCore::open( LinkId link, std::string_view path ) {
    if( !isUp( link ) ) {
        return nullptr;
    }
    auto state = std::make_shared<StreamState>();
    state->path = path;
    post( [this, link, state] {
        const auto it = m_links.find( link );
        const auto found =
            it == m_links.end() ? m_connections.end() : m_connections.find( it->second.connection );
        if( found == m_connections.end() || found->second->connecting() ) {
            endStream( *state, StreamEnd::refused );
            return;
        }
        found->second->submitRequest( state );
        found->second->applyStreamChanges( state );
        found->second->flush();
    } );
    return std::make_shared<Stream>( std::move( state ), shared_from_this() );
}

void LoopCore::enqueue( const StatePtr& state ) {
    const std::lock_guard lock( m_mutex );
    m_pendingStreams.push_back( state );
    wake();
}

void LoopCore::post( std::function<void()> task ) {
    const std::lock_guard lock( m_mutex );
    m_postedTasks.push_back( std::move( task ) );
    wake();
}

void LoopCore::setLinkListener( std::function<void( LinkId, bool )> listener ) {
    m_linkListener = std::move( listener );
}

LoopStats LoopCore::stats() const {
    const std::lock_guard lock( m_mutex );
    return m_publishedStats;
}

void LoopCore::wake() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write( m_wakeFd, &one, sizeof( one ) );
}

void LoopCore::run() {
    while( !m_stopping ) {
        runPosted();
        processPendingStreams();
        removeFailedConnections();
        pollOnce( tickInterval );
        tick();
    }
    drainOutput();
    m_connections.clear();
    runPosted();
}

void LoopCore::drainOutput() {
    const auto deadline = now() + drainTimeout;
    const auto hasOutput = [this] {
        return std::any_of( m_connections.begin(), m_connections.end(),
                            []( const auto& it ) { return it.second->wantsWrite(); } );
    };
    do {
        runPosted();
        processPendingStreams();
        pollOnce( Millis{ 1 } );
        removeFailedConnections();
    } while( hasOutput() && now() < deadline );
}

void LoopCore::runPosted() {
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock( m_mutex );
        tasks.swap( m_postedTasks );
    }
    for( auto& it : tasks ) {
        it();
    }
}

void LoopCore::processPendingStreams() {
    std::vector<StatePtr> pending;
    {
        const std::lock_guard lock( m_mutex );
        pending.swap( m_pendingStreams );
    }
    std::set<Connection*> connectionsToFlush;
    for( const auto& it : pending ) {
        {
            const std::lock_guard lock( it->mutex );
            it->queued = false;
        }
        const auto found = m_connections.find( it->connection );
        if( found != m_connections.end() ) {
            found->second->applyStreamChanges( it );
            connectionsToFlush.insert( found->second.get() );
        }
    }
    for( auto* it : connectionsToFlush ) {
        it->flush();
    }
}

void LoopCore::pollOnce( Millis timeout ) {
    std::vector<pollfd> fds{ { m_wakeFd, POLLIN, 0 }, { m_listenFd, POLLIN, 0 } };
    std::vector<std::uint64_t> ids;
    for( const auto& [id, connection] : m_connections ) {
        const short pollEvents = connection->wantsWrite() ? POLLIN | POLLOUT : POLLIN;
        fds.push_back( { connection->fd(), pollEvents, 0 } );
        ids.push_back( id );
    }
    if( ::poll( fds.data(), fds.size(), static_cast<int>( timeout.count() ) ) <= 0 ) {
        return;
    }
    handleEvents( fds, ids );
}

void LoopCore::handleEvents( const std::vector<pollfd>& fds, std::span<const std::uint64_t> ids ) {
    if( fds[0].revents != 0 ) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto n = ::read( m_wakeFd, &count, sizeof( count ) );
    }
    if( ( fds[1].revents & POLLIN ) != 0 ) {
        acceptAll();
    }
    constexpr std::size_t fixedFds = 2;
    for( std::size_t n = 0; n < ids.size(); ++n ) {
        const auto events = fds[n + fixedFds].revents;
        const auto found = m_connections.find( ids[n] );
        if( events == 0 || found == m_connections.end() ) {
            continue;
        }
        auto& connection = *found->second;
        if( ( events & POLLOUT ) != 0 || ( connection.connecting() && events != 0 ) ) {
            connection.onWritable( now() );
        }
        if( ( events & ( POLLIN | POLLHUP | POLLERR ) ) != 0 && !connection.failed() ) {
            connection.onReadable( now() );
        }
    }
}

void LoopCore::acceptAll() {
    for( ;; ) {
        const int fd = ::accept4( m_listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC );
        if( fd < 0 ) {
            return;
        }
        if( m_acceptedIds.size() >= m_settings.maxConnections ) {
            ::close( fd );
            continue;
        }
        setNoDelay( fd );
        const auto id = m_nextConnection++;
        m_acceptedIds.insert( id );
        m_connections.emplace(
            id, std::make_unique<Connection>( id, fd, Side::server, m_context, now() ) );
    }
}

void LoopCore::tick() {
    const auto at = now();
    reconnect( at );
    if( at - m_lastTick < tickInterval ) {
        return;
    }
    m_lastTick = at;
    for( auto& it : m_connections ) {
        it.second->tick( at );
    }
    const std::lock_guard lock( m_mutex );
    m_publishedStats = m_stats;
    m_publishedStats.connections = m_connections.size();
}

void LoopCore::reconnect( MonoTime at ) {
    for( auto& [id, link] : m_links ) {
        if( link.connection == 0 && at >= link.nextAttempt ) {
            dial( id, link, at );
        } else if( link.connection != 0 && !isUp( id ) ) {
            const auto found = m_connections.find( link.connection );
            if( found != m_connections.end() && !found->second->connecting() &&
                !found->second->failed() ) {
                link.delay = m_settings.reconnectDelay;
                setLinkUp( id, true );
            }
        }
    }
}

void LoopCore::dial( LinkId, Link& link, MonoTime at ) {
    const auto jitter = m_random.below( static_cast<std::uint64_t>( link.delay.count() ) + 1 );
    link.nextAttempt = at + link.delay / 2 + Millis( jitter );
    link.delay = std::min( link.delay * 2, m_settings.reconnectDelay * maxBackoffFactor );
    sockaddr_in address{};
    if( !makeAddress( link.host, link.port, address ) ) {
        return;
    }
    const int fd = ::socket( AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0 );
    setNoDelay( fd );
    const auto rc = ::connect( fd, reinterpret_cast<sockaddr*>( &address ), sizeof( address ) );
    if( rc != 0 && errno != EINPROGRESS ) {
        ::close( fd );
        return;
    }
    const auto id = m_nextConnection++;
    link.connection = id;
    m_connections.emplace( id,
                           std::make_unique<Connection>( id, fd, Side::client, m_context, at ) );
}

void LoopCore::removeFailedConnections() {
    for( auto it = m_connections.begin(); it != m_connections.end(); ) {
        if( !it->second->failed() ) {
            ++it;
            continue;
        }
        const auto id = it->first;
        it = m_connections.erase( it );
        m_acceptedIds.erase( id );
        for( auto& [linkId, link] : m_links ) {
            if( link.connection == id ) {
                link.connection = 0;
                setLinkUp( linkId, false );
            }
        }
    }
}

void LoopCore::setLinkUp( LinkId link, bool up ) {
    bool changed = false;
    {
        const std::lock_guard lock( m_mutex );
        changed = up ? m_linksUp.insert( link ).second : m_linksUp.erase( link ) > 0;
    }
    if( changed && m_linkListener ) {
        m_linkListener( link, up );
    }
}

bool LoopCore::accept( const StatePtr& state ) {
    auto stream = std::make_shared<Stream>( state, shared_from_this() );
    return m_pool.tryRun(
        [this, path = state->path, stream]() mutable { m_handler( path, std::move( stream ) ); } );
}

} // namespace coursehead::peer::Detail
