// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_LIMIT_CLIENT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_LIMIT_CLIENT_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/gateway_limits.hpp"
#include "gateway/links/holder_links.hpp"

#include <string>
#include <utility>

namespace coursehead::gateway {

//! Obtains permits to send to upstreams that have announced a limit: from the sidecars that hold
//! the limits or, while no holder can be asked, from this gateway's own share of the limit.
class LimitClient {
public:
    LimitClient( Fleet& fleet, metrics::Metrics& metrics, std::string vm );

    //! Periodic work: determines the holders of the limits and sends them updates.
    void tick( MonoTime now );
    //! Applies what other gateways and sidecars have learnt of limits.
    void applyUpdate( const decide::LimitUpdate& update, MonoTime now );
    //! Requests a permit for one request to an upstream with a limit. If the limit is reached, the
    //! node's state records when the upstream may take requests again.
    net::Task<decide::LimitDecision> obtain( NodePtr node );
    //! Returns the permit for a request that was not sent to its holder.
    void refund( const Node& node );

private:
    void refreshHolders( MonoTime now );
    void sendUpdates( MonoTime now );

    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    std::string m_vm;
    HolderLinks m_links;
    decide::GatewayLimits m_gatewayLimits;
    MonoTime m_updatesSentAt;
};

//! A permit for one request. If it is not used, the destructor returns it to the limit's holder.
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
    NodePtr m_node; //!< null once the permit is used
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_LIMIT_CLIENT_HPP_INCLUDED
