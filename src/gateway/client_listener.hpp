// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CLIENT_LISTENER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CLIENT_LISTENER_HPP_INCLUDED

#include "net/net.hpp"
#include "platform/node_settings.hpp"

#include <functional>

namespace coursehead::gateway {

/**
 * Accepts the clients' connections. While no connection may be accepted the listening socket is
 * closed: the kernel then refuses connections, also those that wait to be accepted, before a client
 * has sent its request.
 */
class ClientListener {
public:
    struct Handlers {
        std::function<bool()> mayAccept;
        std::function<void( net::Socket socket )> accepted;
    };

    //! Opens the listening socket; throws boost::system::system_error on failure.
    ClientListener( net::asio::io_context& context, const platform::Endpoint& at,
                    Handlers handlers );

    //! Starts to accept; call once.
    void start();
    //! Opens or closes the listening socket as connections may be accepted or not.
    void update();

private:
    net::Task<> accept();
    //! Accepts the connections that wait, as far as it may.
    void acceptWaiting();
    void open();

    net::asio::io_context& m_context;
    platform::Endpoint m_at;
    Handlers m_handlers;
    net::Acceptor m_acceptor;
    net::Timer m_opened; //!< cancelled when the socket is opened again
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CLIENT_LISTENER_HPP_INCLUDED
