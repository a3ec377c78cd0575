// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_SIDECAR_LINK_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_SIDECAR_LINK_HPP_INCLUDED

#include "gateway/messages.hpp"
#include "net/frame_channel.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coursehead::gateway {

//! A gateway's connection to the sidecar beside an engine; kept up until stopped.
class SidecarLink : public std::enable_shared_from_this<SidecarLink> {
public:
    //! What comes from a sidecar; called until stop().
    struct Handlers {
        std::function<void( const SidecarReport& report )> report;
        std::function<void( const EngineLoad& load )> load;
        std::function<void( const StoreNews& news )> news;
        std::function<void( const decide::QuarantineNews& news )> quarantines;
        std::function<void( const decide::LimitNews& news )> limits;
    };

    SidecarLink( net::asio::io_context& context, std::string ip, int port );

    //! Begins to connect.
    void start( Handlers handlers );
    void stop();
    bool up() const { return m_channel != nullptr; }
    //! True when the sidecar spoke lately: it can be asked.
    bool answers( MonoTime now ) const;

    //! Tells the sidecar what its engine is built like, now and after each reconnect.
    void setNews( EngineNews news );
    void send( const DemandNews& demand );
    //! Asks the sidecar to pass the store's changes on, or to cease to; lost with the connection.
    void askRelay( bool wanted );
    //! Asks, and waits for the answer; `failed` after the request's limit, or when the sidecar
    //! falls silent. The number of the question is kept in `number` for cancel().
    net::Task<EnsureAnswer> ensure( EnsureRequest request );
    //! Asks for units of an organisation's quota; nullopt when no answer came within `limit`.
    net::Task<std::optional<decide::QuotaAnswer>> askQuota( decide::QuotaAsk ask, Millis limit );
    //! Asks for leave to send to an upstream with a limit; likewise.
    net::Task<std::optional<decide::LimitAnswer>> askLimit( decide::LimitAsk ask, Millis limit );
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
    net::Task<std::optional<Message>> askFor( std::uint64_t number, std::string question,
                                              MonoTime until );
    //! The same with a question that has a number and an answer of its own kind.
    template <typename Answer, typename Ask>
    net::Task<std::optional<Answer>> askAs( Ask ask, Millis limit );
    void takeAnswer( std::uint64_t number, Message answer );
    net::Task<> keepConnected();
    void onFrame( std::string_view frame );

    net::asio::io_context& m_context;
    std::string m_ip;
    int m_port;
    Handlers m_handlers;
    std::shared_ptr<net::FrameChannel> m_channel;
    std::string m_news; //!< encoded
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    bool m_stopped = false;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_SIDECAR_LINK_HPP_INCLUDED
