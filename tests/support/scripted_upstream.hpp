// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_SCRIPTED_UPSTREAM_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_SCRIPTED_UPSTREAM_HPP_INCLUDED

#include "net/net.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace coursehead::support {

//! How a scripted upstream handles one request.
struct ScriptStep {
    std::string answer;       //!< bytes to write; "{id}" is replaced by the request's id
    bool close = false;       //!< close the connection after the answer
    bool silent = false;      //!< send no answer, and wait until the caller closes the connection
    Millis delay{ 0 };        //!< before the answer
    std::string surplus = {}; //!< bytes behind the answer that no request asked for
    Millis surplusDelay{ 0 }; //!< between the answer and those
    std::string endless = {}; //!< repeated behind the answer until the caller closes
};

//! An upstream on loopback that answers requests by a script, and records the requests.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream( net::asio::io_context& context );

    void addStep( ScriptStep step ) { m_steps.push_back( std::move( step ) ); }
    int port() const { return m_port; }
    const std::vector<std::string>& requests() const { return m_requests; }
    //! Bytes that were written behind an answer without an end.
    std::size_t endlessBytes() const { return m_endlessBytes; }
    //! Number of connections accepted so far.
    int connections() const { return m_connections; }
    //! Number of requests whose caller closed the connection before an answer.
    int abandoned() const { return m_abandoned; }

private:
    net::Task<> accept();
    net::Task<> serve( net::Socket socket );
    net::Task<> writeWithoutEnd( net::Socket& socket, const std::string& bytes );

    net::asio::io_context& m_context;
    net::Acceptor m_acceptor;
    int m_port;
    std::deque<ScriptStep> m_steps;
    std::vector<std::string> m_requests;
    int m_connections = 0;
    std::size_t m_endlessBytes = 0;
    int m_abandoned = 0;
};

//! A complete answer with a Content-Length and the request's id.
//! `extraFields` holds further header lines, such as the seal.
std::string completeAnswer( int status, const std::string& extraFields, const std::string& body );
//! The head of a chunked event stream, with the request's id and a seal.
std::string streamHead();
//! `bytes` as one chunk in chunked transfer encoding.
std::string chunk( const std::string& bytes );

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_SCRIPTED_UPSTREAM_HPP_INCLUDED
