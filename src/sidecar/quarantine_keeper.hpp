// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "platform/store_client.hpp"

#include <deque>
#include <functional>

namespace coursehead::sidecar {

//! Counts the upstreams that ended while they ran a content, for each content assigned to this
//! process; sends the resulting quarantines to gateways, and writes them to the store for gateways
//! that start later.
class QuarantineKeeper {
public:
    using Broadcast = std::function<void( const decide::Quarantine& quarantine )>;

    QuarantineKeeper( net::asio::io_context& context, const platform::Endpoint& store,
                      metrics::Metrics& metrics, Broadcast broadcast );

    //! Counts an end of an upstream that a gateway has reported.
    void countUpstreamEnds( const decide::PoisonEvidence& evidence, MonoTime now );
    //! Drops evidence and quarantine of a content: a request with it has run to completion.
    void clear( decide::Fingerprint fingerprint );
    //! The quarantines in force that this process knows of.
    std::vector<decide::Quarantine> all( MonoTime now ) const { return m_quarantines.all( now ); }

private:
    void quarantine( const decide::Quarantine& entry, MonoTime now );
    //! Writes the queued quarantines one after the other, and retries until the store accepts them.
    net::Task<> writeUnwritten();
    //! Removes objects of quarantines that ended long ago.
    net::Task<> removeOld();

    net::asio::io_context& m_context;
    platform::StoreClient m_store;
    metrics::Metrics& m_metrics;
    Broadcast m_broadcast;
    decide::PoisonCounter m_poisonCounter;
    decide::QuarantineList m_quarantines;
    std::deque<decide::Quarantine> m_unwritten;
    bool m_writing = false;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED
