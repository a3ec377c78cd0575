// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_LOOP_CORE_HPP_INCLUDED
#define COURSEHEAD_PEER_LOOP_CORE_HPP_INCLUDED

#include "coursehead/kernel/elastic_pool.hpp"
#include "coursehead/kernel/random.hpp"
#include "peer/connection.hpp"

#include <atomic>
#include <set>
#include <span>
#include <thread>

struct pollfd;

namespace coursehead::peer::Detail {

//! An outgoing connection that is reconnected when lost.
struct Link {
    std::string host;
    int port = 0;
    std::uint64_t connection = 0; //!< 0 while there is none
    MonoTime nextAttempt;
    Millis delay{ 0 };
};

//! Implementation of Loop: its thread, connections and links.
class LoopCore : public std::enable_shared_from_this<LoopCore> {
public:
    LoopCore( LoopSettings settings, StreamHandler handler );
    ~LoopCore();

    int bind( const std::string& host, int port );
    void start();
    void stop();
    LinkId connect( std::string host, int port );
    void disconnect( LinkId link );
    bool isUp( LinkId link ) const;
    std::shared_ptr<Stream> open( LinkId link, std::string_view path );
    //! Queues a stream on which its user has acted, for the loop to process; any thread.
    void enqueue( const StatePtr& state );
    void setLinkListener( std::function<void( LinkId, bool )> listener );
    LoopStats stats() const;

private:
    void post( std::function<void()> task );
    void wake();
    void run();
    void runPosted();
    void processPendingStreams();
    void pollOnce( Millis timeout );
    void handleEvents( const std::vector<pollfd>& fds, std::span<const std::uint64_t> ids );
    void acceptAll();
    void tick();
    void reconnect( MonoTime now );
    void dial( LinkId id, Link& link, MonoTime now );
    void removeFailedConnections();
    void setLinkUp( LinkId link, bool up );
    bool accept( const StatePtr& state );
    void drainOutput();

    LoopSettings m_settings;
    StreamHandler m_handler;
    std::function<void( LinkId, bool )> m_linkListener;
    ElasticPool m_pool;
    RandomSource m_random;
    std::thread m_thread;
    std::atomic<bool> m_stopping{ false };
    int m_wakeFd = -1;
    int m_listenFd = -1;

    mutable std::mutex m_mutex; //!< guards the four members below
    std::vector<std::function<void()>> m_postedTasks;
    std::vector<StatePtr> m_pendingStreams;
    std::set<LinkId> m_linksUp;
    LoopStats m_publishedStats;

    // Used by the loop's thread only, except m_nextLink.
    ConnectionContext m_context;
    LoopStats m_stats;
    std::uint64_t m_nextConnection = 1;
    std::atomic<LinkId> m_nextLink{ 1 };
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<LinkId, Link> m_links;
    std::set<std::uint64_t> m_acceptedIds;
    MonoTime m_lastTick;
};

} // namespace coursehead::peer::Detail

#endif // COURSEHEAD_PEER_LOOP_CORE_HPP_INCLUDED
