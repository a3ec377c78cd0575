// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_SIDECAR_LINK_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_SIDECAR_LINK_HPP_INCLUDED

#include "gateway/link_traffic.hpp"
#include "gateway/messages.hpp"
#include "gateway/spec_text.hpp"
#include "net/frame_channel.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coursehead::gateway {

enum class LinkState {
    closed,     //!< not wanted: the next question opens it
    connecting, //!< for the first time since it was opened
    up,
    failing, //!< lost, or not to be had; tried again from time to time
};

//! A gateway's connection to the sidecar beside an engine; kept up from open() until close().
class SidecarLink : public std::enable_shared_from_this<SidecarLink> {
public:
    //! What comes from a sidecar; called until stop().
    struct Handlers {
        //! The connection is up, and the sidecar was told of its engine.
        std::function<void()> connected;
        std::function<void( const SidecarReport& report )> report;
        std::function<void( const EngineLoad& load )> load;
        std::function<void( const StoreUpdate& news )> news;
        std::function<void( const decide::QuarantineUpdate& news )> quarantines;
        std::function<void( const decide::LimitUpdate& news )> limits;
    };

    SidecarLink( net::asio::io_context& context, std::string ip, int port );

    void setHandlers( Handlers handlers ) { m_handlers = std::move( handlers ); }
    void setTraffic( LinkTraffic traffic ) { m_traffic = traffic; }
    //! Begins to connect, unless it is open.
    void open();
    //! Ends the connection until the next question.
    void close();
    void stop();
    const std::string& ip() const noexcept { return m_ip; }
    LinkState state() const noexcept { return m_state; }
    bool up() const noexcept { return m_state == LinkState::up; }
    //! True when the sidecar spoke lately: it can be asked.
    bool isResponsive( MonoTime now ) const;
    //! The same, or nothing is known of it: a question opens the connection.
    bool mayBeResponsive( MonoTime now ) const;
    //! True when nobody waits for an answer and none was asked for since `since`.
    bool unusedSince( MonoTime since ) const {
        return m_waiters.empty() && m_opening.empty() && !m_relayWanted && m_usedAt < since;
    }
    //! True when it is not known yet whether the sidecar can be reached.
    bool reachabilityUnknown( MonoTime now ) const;
    //! Opens the connection and waits for the sidecar's first word; false after `limit`, or when it
    //! can't be reached.
    net::Task<bool> waitUntilOpen( Millis limit );

    //! Tells the sidecar of its engine, now and after each reconnect; what that is built like only
    //! when it asks.
    void announceEngine( EngineUpdate news, EncodedSpecPtr spec );
    void send( const DemandUpdate& demand );
    //! Asks the sidecar to pass the store's changes on, or to cease to; asked again after each
    //! reconnect.
    void requestRelay( bool wanted );
    //! Asks, and waits for the answer; `failed` after the request's limit, or when the sidecar
    //! falls silent. The number of the question is kept in `number` for cancel().
    net::Task<EnsureAnswer> ensure( EnsureRequest request );
    //! Asks for units of an organisation's quota; nullopt when no answer came within `limit`.
    net::Task<std::optional<decide::QuotaAnswer>> requestQuota( decide::QuotaRequest ask,
                                                                Millis limit );
    //! Asks for leave to send to an upstream with a limit; likewise.
    net::Task<std::optional<decide::LimitAnswer>> requestLimitPermit( decide::LimitRequest ask,
                                                                      Millis limit );
    //! Opens the connection if need be; dropped when the sidecar can't be reached.
    void send( const Message& message );
    //! Tells the sidecar that a question, or the leave given in answer to it, has no use any more.
    void cancel( std::uint64_t number );
    //! Ends every wait as failed.
    void failWaiters();

private:
    struct Waiter {
        explicit Waiter( net::asio::io_context& context ) : timer( context ) {}
        net::Timer timer;
        std::optional<Message> answer;
        bool ended = false; //!< answered, or given up
    };

    //! Sends a question and waits until `until`, unless the sidecar falls silent.
    net::Task<std::optional<Message>> askFor( std::uint64_t number, Message question,
                                              MonoTime until );
    //! The same with a question that has a number and an answer of its own kind.
    template <typename Answer, typename Ask>
    net::Task<std::optional<Answer>> askAs( Ask ask, Millis limit );
    void takeAnswer( std::uint64_t number, Message answer );
    net::Task<> keepConnected();
    net::Task<> serveConnection( net::Socket socket );
    //! Sends on the connection, which is up.
    void transmit( const Message& message );
    void transmit( std::string_view kind, std::string_view encoded );
    void setState( LinkState state );
    void wakeOpening();
    void onFrame( std::string_view frame );

    net::asio::io_context& m_context;
    std::string m_ip;
    int m_port;
    Handlers m_handlers;
    LinkTraffic m_traffic;
    LinkState m_state = LinkState::closed;
    std::set<net::Timer*> m_opening; //!< of calls of waitUntilOpen() that wait
    std::shared_ptr<net::FrameChannel> m_channel;
    bool m_heard = false;   //!< since the connection came up
    bool m_running = false; //!< keepConnected() has not ended
    bool m_relayWanted = false;
    bool m_stopped = false;
    MonoTime m_usedAt; //!< last question or message
    MonoTime m_upAt;
    std::vector<Message> m_queued; //!< until the connection is up
    std::string m_news;            //!< encoded
    EncodedSpecPtr m_spec;
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_SIDECAR_LINK_HPP_INCLUDED
