// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ORIGIN_KEEPER_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ORIGIN_KEEPER_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/origin_table.hpp"
#include "sidecar/pending_ensure.hpp"

#include <set>

namespace coursehead::sidecar {

//! The origins of streams that this sidecar holds for all gateways.
class OriginKeeper {
public:
    OriginKeeper( const std::set<PeerPtr>& peers, metrics::Metrics& metrics );

    //! Handles a message about the origins of streams; returns false for any other message.
    bool handle( const Peer& peer, const gateway::Message& message );

private:
    void takeUpdate( const Peer& from, const decide::OriginUpdate& update, MonoTime now );
    //! Sends an origin to some gateways other than the one that it came from.
    void sendCopies( const Peer& from, const decide::StreamOrigin& origin, MonoTime now );
    decide::OriginAnswer answerTo( const decide::OriginRequest& request, MonoTime now );

    const std::set<PeerPtr>& m_peers;
    metrics::Metrics& m_metrics;
    MonoTime m_started = MonoClock::now();
    decide::OriginTable m_origins;
    MonoTime m_expiredAt;
    MonoTime m_copiesSince; //!< start of the second in which `m_copies` were sent
    int m_copies = 0;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ORIGIN_KEEPER_HPP_INCLUDED
