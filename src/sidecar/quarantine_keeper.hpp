// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/part_counter.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "platform/store_client.hpp"

#include <deque>
#include <functional>
#include <set>

namespace coursehead::sidecar {

//! Counts the upstreams that ended while they ran a content or a prompt part, for each that is
//! assigned to this process; sends the resulting quarantines to gateways, and writes them to the
//! store for gateways that start later.
class QuarantineKeeper {
public:
    //! Send to all gateways.
    struct Broadcast {
        std::function<void( const decide::Quarantine& quarantine )> quarantined;
        std::function<void( const decide::PoisonCleared& cleared )> cleared;
    };

    QuarantineKeeper( net::asio::io_context& context, const platform::Endpoint& store,
                      metrics::Metrics& metrics, Broadcast broadcast );

    //! Counts an end of an upstream that a gateway has reported.
    void countUpstreamEnds( const decide::PoisonEvidence& evidence, MonoTime now );
    //! Drops evidence and quarantine of a content, or of a prompt part that a run has shown to be
    //! sound.
    void clear( const decide::PoisonCleared& cleared, MonoTime now );
    //! The quarantines that gateways have to know: those in force, and of prompt parts also those
    //! that ended lately, since after that only one request is tried.
    std::vector<decide::Quarantine> all( MonoTime now ) const;

private:
    //! A call to the store.
    struct Write {
        decide::Quarantine entry;
        bool removal = false;
        int refusals = 0; //!< by the store, so far
    };

    void countParts( const decide::PoisonEvidence& evidence, MonoTime now );
    void clearPart( const decide::PoisonCleared& cleared, MonoTime now );
    void quarantine( const decide::Quarantine& entry, MonoTime now );
    decide::QuarantineList& listOf( decide::PoisonKind kind );
    void queueWrite( const Write& write );
    //! Makes the queued writes one after the other, and retries each until the store accepts it.
    net::Task<> writeQueued();
    //! True if nothing is left to do.
    net::Task<bool> makeWrite( Write& write );
    //! Removes objects of quarantines that ended long ago.
    net::Task<> removeOld();

    net::asio::io_context& m_context;
    platform::StoreClient m_store;
    metrics::Metrics& m_metrics;
    Broadcast m_broadcast;
    decide::PoisonCounter m_poisonCounter;
    decide::QuarantineList m_quarantines;
    decide::PartCounter m_partCounter;
    decide::QuarantineList m_partQuarantines;
    std::set<decide::Fingerprint> m_partsCleared; //!< and not quarantined since
    std::deque<Write> m_unwritten;
    bool m_writing = false;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED
