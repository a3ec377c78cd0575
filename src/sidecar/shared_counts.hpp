// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_SHARED_COUNTS_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_SHARED_COUNTS_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/limit_holder.hpp"
#include "decide/quota_holder.hpp"
#include "sidecar/pending_ensure.hpp"

#include <set>

namespace coursehead::sidecar {

//! The counts that this sidecar holds for all gateways: organisations' quotas and upstreams' rate
//! limits.
class SharedCounts {
public:
    SharedCounts( const std::set<PeerPtr>& peers, metrics::Metrics& metrics )
        : m_peers( peers ), m_metrics( metrics ) {}

    void setQuotaRule( const decide::QuotaRule& rule ) { m_quotas.setRule( rule ); }
    //! Handles a message about quotas or limits; returns false for any other message.
    bool handle( const Peer& peer, const gateway::Message& message );

private:
    bool handleQuota( const Peer& peer, const gateway::Message& message );
    bool handleLimit( const Peer& peer, const gateway::Message& message );
    void broadcastLimits( MonoTime now );

    const std::set<PeerPtr>& m_peers;
    metrics::Metrics& m_metrics;
    decide::QuotaHolder m_quotas;
    decide::LimitHolder m_limits;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_SHARED_COUNTS_HPP_INCLUDED
