// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_CALLERS_HPP_INCLUDED
#define COURSEHEAD_SOAK_CALLERS_HPP_INCLUDED

#include "soak/deployment.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <string>

namespace coursehead::soak {

//! Numbers of requests sent and served in a period.
struct Tally {
    int sent = 0;
    int served = 0;
};

//! Simulated clients: each reuses its connection until the connection closes, and checks every
//! response.
class Callers {
public:
    explicit Callers( Deployment& deployment ) : m_deployment( deployment ) {}

    void start();
    void stop() { m_stopped = true; }
    //! Returns the numbers since the previous call and resets them.
    Tally takeTally() { return std::exchange( m_tally, {} ); }

private:
    struct Connection;
    struct SentRequest {
        std::string id;
        Kind kind = Kind::safe;
        MonoTime sentAt;
        bool disconnectsEarly = false; //!< the caller closes before the response is complete
    };

    net::Task<> call();
    net::Task<> ask( std::shared_ptr<Connection> connection );
    net::Task<> probeConfiguration();
    net::Task<> probe( Process& gateway, std::uint64_t version, bool due );
    std::string requestFor( const SentRequest& request );
    void checkResponse( const SentRequest& request, unsigned status, const std::string& seal,
                        const std::string& retryAfter, const std::string& body, bool complete );
    void checkBody( const SentRequest& request, const std::string& seal, const std::string& body );
    void checkEvents( const SentRequest& request, const std::string& body, bool complete );
    void checkCutResponse( const SentRequest& request );

    Deployment& m_deployment;
    bool m_stopped = false;
    std::uint64_t m_next = 0;
    Tally m_tally;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_CALLERS_HPP_INCLUDED
