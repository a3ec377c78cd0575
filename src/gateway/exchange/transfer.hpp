// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_TRANSFER_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_TRANSFER_HPP_INCLUDED

#include "gateway/exchange/exchange.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coursehead::gateway {

//! Counts a request as in flight at a node; the destructor removes it from the counts.
class InFlightCount {
public:
    //! `generation` is null for plain services.
    InFlightCount( Node& node, double prefillMs, const Generation* generation )
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
    ~InFlightCount() {
        --m_node.inFlight;
        prefillDone();
        for( const auto& it : m_keys ) {
            const auto found = m_node.running.find( it );
            if( --found->second == 0 ) {
                m_node.running.erase( found );
            }
        }
    }
    InFlightCount( const InFlightCount& ) = delete;
    InFlightCount& operator=( const InFlightCount& ) = delete;

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
    std::vector<std::string> m_keys; //!< its keys in Node::running
};

//! The request's bytes during the write; shared with the write's handler.
struct WriteState {
    std::string head;
    std::shared_ptr<const std::string> body; //!< shared with the request
    bool done = false;
    net::ErrorCode failure; //!< what ended the write
};

//! Framing of an answer that ends with its connection.
inline constexpr std::string_view unframed = "close";

//! One send of a request to an upstream, with the part of the answer that was read so far.
struct Transfer {
    //! `generation` is null for plain services.
    Transfer( Node& targetNode, ConnectionPtr upstreamConnection, const Choice& upstreamChoice,
              const Generation* generation, MonoTime sendDeadline, LinkUse& use );

    Node& node;
    ConnectionPtr connection;
    const Choice& choice;
    MonoTime sentAt;
    InFlightCount inFlight;
    net::SocketDeadline deadline;
    LinkUse& linkUse; //!< counts the answer's bytes
    std::shared_ptr<WriteState> write = std::make_shared<WriteState>();
    std::optional<http::response_parser<http::buffer_body>> parser; //!< see startAnswer()
    platform::ResponseHead head;
    int surplusAnswers = 0;         //!< answers to other requests that were read and dropped
    std::uint64_t surplusBytes = 0; //!< of their bodies
    bool receivedEvents = false;
    std::optional<std::string> softwareVersion; //!< of the upstream; nullopt: not known
    std::string buf;                            //!< the part of the body that was last read

    void close();
    //! Starts an asynchronous write of the request, so that the answer is read at the same time: an
    //! upstream may answer before it has read the complete request.
    void startWrite( std::string requestHead, std::shared_ptr<const std::string> body );
    //! Begins to read an answer. `bodiless`: it has no body, whatever its head says.
    void startAnswer( bool bodiless );
    //! Reads the rest of an answer whose head belongs to another request, and drops it. Returns
    //! false if no further answer can follow, or the bounds on surplus answers are exceeded.
    net::Task<bool> dropAnswer();
    //! Reads a part of the body into `buf`. Returns the bytes and the error that ended the reading,
    //! which for a body that ends with its connection includes a reset that the write received.
    net::Task<std::pair<std::string_view, net::ErrorCode>> readBody();
    //! Returns the connection to the pool if it can serve another request; closes it otherwise.
    void release( bool complete );
    //! What marks the end of the answer's body: "length", "chunks", or `unframed` if only the end
    //! of the connection does. Valid once the head is read.
    std::string_view framing() const;
    //! The answer's status and fields, without a body.
    BufferedAnswer answerHead() const;

private:
    //! What broke the connection, if that is not its peer's orderly end. Valid once a read has
    //! found the connection's end.
    net::Task<net::ErrorCode> connectionFailure();
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_TRANSFER_HPP_INCLUDED
