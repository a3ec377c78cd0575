// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_SCRIPTED_UPSTREAM_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_SCRIPTED_UPSTREAM_HPP_INCLUDED

#include "net/net.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace coursehead::support {

//! What an upstream does with one request.
struct ScriptStep {
    std::string answer;  //!< bytes to write; "{id}" stands for the request's id
    bool close = false;  //!< close the connection afterwards
    bool silent = false; //!< answer nothing, and wait for the caller to close
};

//! An upstream on loopback that answers by a script, and keeps what it was sent.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream( net::asio::io_context& context );

    void then( ScriptStep step ) { m_steps.push_back( std::move( step ) ); }
    int port() const { return m_port; }
    const std::vector<std::string>& requests() const { return m_requests; }
    //! Requests that the caller gave up before an answer.
    int abandoned() const { return m_abandoned; }

private:
    net::Task<> accept();
    net::Task<> serve( net::Socket socket );

    net::asio::io_context& m_context;
    net::Acceptor m_acceptor;
    int m_port;
    std::deque<ScriptStep> m_steps;
    std::vector<std::string> m_requests;
    int m_abandoned = 0;
};

//! A whole answer with the id and signature that clients expect.
std::string wholeAnswer( int status, const std::string& extraFields, const std::string& body );
//! The head of a chunked event stream, and a chunk of it.
std::string streamHead();
std::string chunk( const std::string& bytes );

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_SCRIPTED_UPSTREAM_HPP_INCLUDED
