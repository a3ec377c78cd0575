// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_LINK_HPP_INCLUDED
#define COURSEHEAD_SOAK_LINK_HPP_INCLUDED

#include "net/net.hpp"

#include <memory>
#include <set>
#include <string>

namespace coursehead::soak {

enum class LinkMode {
    pass,
    delayed,          //!< every read is forwarded after a delay
    reset,            //!< open and new connections are reset
    responsesBlocked, //!< requests are forwarded, responses are held back
    silent,           //!< nothing is forwarded in either direction; connections stay open
};

//! A TCP proxy between two loopback addresses that injects network faults at run time.
class Link {
public:
    Link( net::asio::io_context& context, const std::string& ip, int port, std::string toIp,
          int toPort );

    void setMode( LinkMode mode );
    void setDelay( Millis delay ) { m_delay = delay; }
    //! Number of open connections.
    std::size_t connections() const { return m_pairs.size(); }

private:
    struct Pair {
        explicit Pair( net::asio::io_context& context ) : near( context ), far( context ) {}
        net::Socket near;
        net::Socket far;
    };
    using PairPtr = std::shared_ptr<Pair>;

    net::Task<> accept();
    net::Task<> open( PairPtr pair );
    net::Task<> pump( PairPtr pair, bool forward );
    //! Waits while the mode blocks this direction, then for the delay if the mode has one.
    net::Task<> waitToPass( bool forward );
    static void reset( net::Socket& socket );
    void end( const PairPtr& pair );

    net::asio::io_context& m_context;
    net::Acceptor m_acceptor;
    std::string m_toIp;
    int m_toPort;
    LinkMode m_mode = LinkMode::pass;
    Millis m_delay{ 40 };
    std::set<PairPtr> m_pairs;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_LINK_HPP_INCLUDED
