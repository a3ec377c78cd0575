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

//! Counts upstreams' ends for the contents that fall to this process, tells gateways what is
//! quarantined, and writes it to the store for those that start later.
class QuarantineKeeper {
public:
    using Tell = std::function<void( const decide::Quarantine& quarantine )>;

    QuarantineKeeper( net::asio::io_context& context, const platform::Endpoint& store,
                      metrics::Metrics& metrics, Tell tell );

    //! A gateway saw an upstream end.
    void take( const decide::PoisonEvidence& evidence, MonoTime now );
    //! The content has run to its end.
    void clear( decide::Fingerprint fingerprint );
    //! What is quarantined now, as far as this process knows.
    std::vector<decide::Quarantine> all( MonoTime now ) const { return m_quarantines.all( now ); }

private:
    void quarantine( const decide::Quarantine& entry, MonoTime now );
    //! Writes what waits, one after the other, until the store has it.
    net::Task<> write();
    net::Task<> removeOld();

    net::asio::io_context& m_context;
    platform::StoreClient m_store;
    metrics::Metrics& m_metrics;
    Tell m_tell;
    decide::PoisonCounter m_book;
    decide::QuarantineList m_quarantines;
    std::deque<decide::Quarantine> m_unwritten;
    bool m_writing = false;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_QUARANTINE_KEEPER_HPP_INCLUDED
