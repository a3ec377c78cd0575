// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_TRANSFER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_TRANSFER_HPP_INCLUDED

#include "gateway/exchange.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coursehead::gateway {

//! Undoes the counting of a request at a node, on every way out.
class InFlight {
public:
    //! `generation` is null for plain services.
    InFlight( Node& node, double prefillMs, const Generation* generation )
        : m_node( node ), m_prefillMs( prefillMs ) {
        ++m_node.inFlight;
        if( generation != nullptr ) {
            count( generation->model );
            if( !generation->adapter.empty() ) {
                count( generation->model + "/" + generation->adapter );
            }
        }
        if( m_prefillMs > 0 ) {
            ++m_node.prefilling;
            m_node.prefillMs += m_prefillMs;
        }
    }
    ~InFlight() {
        --m_node.inFlight;
        prefillDone();
        for( const auto& it : m_keys ) {
            const auto found = m_node.running.find( it );
            if( --found->second == 0 ) {
                m_node.running.erase( found );
            }
        }
    }
    InFlight( const InFlight& ) = delete;
    InFlight& operator=( const InFlight& ) = delete;

    void prefillDone() {
        if( m_prefillMs > 0 ) {
            --m_node.prefilling;
            m_node.prefillMs = std::max( m_node.prefillMs - m_prefillMs, 0.0 );
            m_prefillMs = 0;
        }
    }

private:
    void count( std::string key ) {
        ++m_node.running[key];
        m_keys.push_back( std::move( key ) );
    }

    Node& m_node;
    double m_prefillMs;
    std::vector<std::string> m_keys; //!< under which it is counted in Node::running
};

//! The request's bytes while they are written; shared with the write's handler.
struct WriteState {
    std::string bytes;
    bool done = false;
};

//! A request on its way to one upstream, with the answer as far as it has come.
struct Transfer {
    //! `generation` is null for plain services.
    Transfer( Node& to, ConnectionPtr over, const Choice& by, const Generation* generation,
              MonoTime until );

    Node& node;
    ConnectionPtr connection;
    const Choice& choice;
    MonoTime sentAt;
    InFlight inFlight;
    net::SocketDeadline deadline;
    std::shared_ptr<WriteState> write = std::make_shared<WriteState>();
    http::response_parser<http::buffer_body> parser;
    platform::AnswerHead head;
    bool heardEvents = false;
    std::string buf; //!< the part of the body that was read last

    void close();
    //! Writes the request while its answer is read: an upstream may answer before it has read all.
    void startWrite( std::string bytes );
    //! Reads some of the body into `buf`; the bytes, and the error that ended the reading.
    net::Task<std::pair<std::string_view, net::ErrorCode>> readBody();
    //! Keeps the connection for the next request, if nothing speaks against it.
    void release( bool complete );
    //! The answer's head, without a body.
    WholeAnswer answerHead() const;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_TRANSFER_HPP_INCLUDED
