// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_LIMIT_CLIENT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_LIMIT_CLIENT_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/gateway_limits.hpp"
#include "gateway/holder_links.hpp"

#include <string>
#include <utility>

namespace coursehead::gateway {

//! Obtains leave to send to upstreams that have named a limit: from those that hold the limits, or
//! by this gateway's own turns while none can be asked.
class LimitClient {
public:
    LimitClient( Fleet& fleet, metrics::Metrics& metrics, std::string vm );

    //! Regular work: who holds which limit, and what they are told.
    void tick( MonoTime now );
    //! What others have heard of limits.
    void applyUpdate( const decide::LimitUpdate& news, MonoTime now );
    //! Leave for one request to an upstream with a limit. Where there is no room its node knows
    //! from when on there may be.
    net::Task<decide::LimitDecision> obtain( NodePtr node );
    //! A request that a holder had granted was not sent.
    void refund( const Node& node );

private:
    void look( MonoTime now );
    void tell( MonoTime now );

    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    std::string m_vm;
    HolderLinks m_links;
    decide::GatewayLimits m_book;
    MonoTime m_toldAt;
};

//! Leave for one request. Unless it is used its holder hears that the request does not come.
class LimitPermit {
public:
    LimitPermit( LimitClient& client, NodePtr node )
        : m_client( client ), m_node( std::move( node ) ) {}
    ~LimitPermit() {
        if( m_node ) {
            m_client.refund( *m_node );
        }
    }
    LimitPermit( const LimitPermit& ) = delete;
    LimitPermit& operator=( const LimitPermit& ) = delete;

    void use() { m_node.reset(); }

private:
    LimitClient& m_client;
    NodePtr m_node; //!< null once the leave is used
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_LIMIT_CLIENT_HPP_INCLUDED
