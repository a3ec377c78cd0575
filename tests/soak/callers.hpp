// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_CALLERS_HPP_INCLUDED
#define COURSEHEAD_SOAK_CALLERS_HPP_INCLUDED

#include "soak/deployment.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <string>

namespace coursehead::soak {

//! How requests ended, in a stretch of time.
struct Tally {
    int asked = 0;
    int served = 0;
};

//! Callers that use their connections until these end, and check every answer.
class Callers {
public:
    explicit Callers( Deployment& deployment ) : m_deployment( deployment ) {}

    void start();
    void stop() { m_stopped = true; }
    //! Since the last call.
    Tally takeTally() { return std::exchange( m_tally, {} ); }

private:
    struct Connection;
    //! A request as it was sent.
    struct Asked {
        std::string id;
        Kind kind = Kind::safe;
        MonoTime sentAt;
        bool leaves = false; //!< the caller closes before the answer is whole
    };

    net::Task<> call();
    net::Task<> ask( std::shared_ptr<Connection> connection );
    net::Task<> probeConfiguration();
    net::Task<> probe( Process& gateway, std::uint64_t version, bool due );
    std::string requestFor( const Asked& asked );
    void judge( const Asked& asked, unsigned status, const std::string& seal,
                const std::string& retryAfter, const std::string& body, bool whole );
    void judgeBody( const Asked& asked, const std::string& seal, const std::string& body );
    void judgeEvents( const Asked& asked, const std::string& body, bool whole );
    void judgeCut( const Asked& asked );

    Deployment& m_deployment;
    bool m_stopped = false;
    std::uint64_t m_next = 0;
    Tally m_tally;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_CALLERS_HPP_INCLUDED
