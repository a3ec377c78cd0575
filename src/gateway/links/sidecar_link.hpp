// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LINKS_SIDECAR_LINK_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LINKS_SIDECAR_LINK_HPP_INCLUDED

#include "gateway/links/link_traffic.hpp"
#include "gateway/links/spec_text.hpp"
#include "gateway/messages.hpp"
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
    closed,     //!< not needed now; the next request opens it
    connecting, //!< first attempt since the link was opened
    up,
    failing, //!< connection lost, or the attempt failed; retried with a delay
};

//! A gateway's connection to the sidecar beside an engine. From open() until close() a lost
//! connection is established again.
class SidecarLink : public std::enable_shared_from_this<SidecarLink> {
public:
    //! Handlers for events of the connection; called until stop().
    struct Handlers {
        //! The connection is up, and the message that names the engine has been sent.
        std::function<void()> connected;
        std::function<void( const SidecarReport& report )> report;
        std::function<void( const EngineLoad& load )> load;
        std::function<void( const StoreUpdate& update )> storeUpdate;
        std::function<void( const decide::QuarantineUpdate& update )> quarantines;
        std::function<void( const decide::PoisonCleared& cleared )> cleared;
        std::function<void( const decide::LimitUpdate& update )> limits;
        std::function<void( const decide::OriginUpdate& update )> origins;
    };

    SidecarLink( net::asio::io_context& context, std::string ip, int port );

    void setHandlers( Handlers handlers ) { m_handlers = std::move( handlers ); }
    void setTraffic( LinkTraffic traffic ) { m_traffic = traffic; }
    //! Starts to connect, unless the link is open.
    void open();
    //! Closes the connection; the next request opens it again.
    void close();
    void stop();
    const std::string& ip() const noexcept { return m_ip; }
    LinkState state() const noexcept { return m_state; }
    bool up() const noexcept { return m_state == LinkState::up; }
    //! True when the sidecar has sent something recently, so that a request to it is worthwhile.
    bool isResponsive( MonoTime now ) const;
    //! True when the sidecar is responsive, or its state is unknown because the link is closed or
    //! still connecting: a request then opens the connection.
    bool mayBeResponsive( MonoTime now ) const;
    //! True when no request is pending, no relay is requested, and the link has not been used since
    //! `since`.
    bool unusedSince( MonoTime since ) const {
        return m_waiters.empty() && m_openingTimers.empty() && !m_relayWanted && m_lastUse < since;
    }
    //! True while it is not yet known whether the sidecar can be reached.
    bool reachabilityUnknown( MonoTime now ) const;
    //! Opens the connection and waits for the sidecar's first message; false after `limit`, or when
    //! the sidecar can't be reached.
    net::Task<bool> waitUntilOpen( Millis limit );

    //! Sends the message that names the engine, now and after each reconnect. The engine's
    //! description is sent only when the sidecar requests it.
    void announceEngine( EngineUpdate update, EncodedSpecPtr spec );
    void send( const DemandUpdate& demand );
    //! Asks the sidecar to start or to stop relaying the store's changes; a wanted relay is
    //! requested again after each reconnect.
    void requestRelay( bool wanted );
    //! Sends the request and waits for the answer. Returns `failed` after the request's limit, or
    //! when the sidecar falls silent. The result's `number` is that of the request, for cancel().
    net::Task<EnsureAnswer> ensure( EnsureRequest request );
    //! Requests units of an organisation's quota; nullopt when no answer came within `limit`.
    net::Task<std::optional<decide::QuotaAnswer>> requestQuota( decide::QuotaRequest request,
                                                                Millis limit );
    //! Requests an admission permit for an upstream with a rate limit; nullopt when no answer came
    //! within `limit`.
    net::Task<std::optional<decide::LimitAnswer>> requestLimitPermit( decide::LimitRequest request,
                                                                      Millis limit );
    //! Asks for the origin of a stream; nullopt when no answer came within `limit`.
    net::Task<std::optional<decide::OriginAnswer>> requestOrigin( decide::OriginRequest request,
                                                                  Millis limit );
    //! Sends a message, and opens the connection if needed. The message is dropped when the sidecar
    //! can't be reached.
    void send( const Message& message );
    //! Withdraws an ensure() request, or gives back the admission permit that its answer granted.
    void cancel( std::uint64_t number );
    //! Ends the wait of every pending request, without an answer.
    void failWaiters();

private:
    struct Waiter {
        explicit Waiter( net::asio::io_context& context ) : timer( context ) {}
        net::Timer timer;
        std::optional<Message> answer;
        bool ended = false; //!< answered or failed
    };

    //! Sends a request and waits for its answer until `until`; stops waiting when the sidecar falls
    //! silent.
    net::Task<std::optional<Message>> sendAndWait( std::uint64_t number, Message requestMessage,
                                                   MonoTime until );
    //! Opens the connection, numbers the request, sends it and waits for an answer of type Answer.
    template <typename Answer, typename Request>
    net::Task<std::optional<Answer>> requestAs( Request request, Millis limit );
    void completeWaiter( std::uint64_t number, Message answer );
    net::Task<> keepConnected();
    net::Task<> serveConnection( net::Socket socket );
    //! Sends on the connection, which has to be up.
    void transmit( const Message& message );
    void transmit( std::string_view kind, std::string_view encoded );
    void setState( LinkState state );
    void wakeOpeningWaits();
    void onFrame( std::string_view frame );

    net::asio::io_context& m_context;
    std::string m_ip;
    int m_port;
    Handlers m_handlers;
    LinkTraffic m_traffic;
    LinkState m_state = LinkState::closed;
    std::set<net::Timer*> m_openingTimers; //!< timers of pending waitUntilOpen() calls
    std::shared_ptr<net::FrameChannel> m_channel;
    bool m_messageReceived = false; //!< a message was received since the connection came up
    bool m_running = false;         //!< keepConnected() has not ended
    bool m_relayWanted = false;
    bool m_stopped = false;
    MonoTime m_lastUse; //!< last request or message sent
    MonoTime m_upAt;
    std::vector<Message> m_queuedMessages; //!< messages waiting for the connection to come up
    std::string m_engineUpdate;            //!< encoded message that names the engine
    EncodedSpecPtr m_spec;
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LINKS_SIDECAR_LINK_HPP_INCLUDED
