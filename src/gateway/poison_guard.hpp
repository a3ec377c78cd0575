// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_POISON_GUARD_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_POISON_GUARD_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/completed_runs.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "gateway/fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace coursehead::gateway {

/**
 * A gateway's part against poison requests: finds out which upstreams ended, tells those who count
 * the ends, and knows what is quarantined. Where nobody beside an engine can be told it counts
 * alone.
 */
class PoisonGuard {
public:
    PoisonGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics );

    //! How much longer a content is not to be sent; zero when it may be.
    Millis holdLeft( decide::Fingerprint fingerprint, MonoTime now ) const {
        return m_quarantines.left( fingerprint, now );
    }
    //! True when a content was quarantined before: it gets one send a try.
    bool onTrial( decide::Fingerprint fingerprint ) const {
        return m_quarantines.times( fingerprint ) > 0;
    }

    //! A request's connection to an upstream broke; `weight` as decide::weightOf() says.
    void noteBroken( const NodePtr& node, decide::Fingerprint fingerprint, double weight );
    //! A request has run to its end.
    void noteWhole( decide::Fingerprint fingerprint );
    //! What a sidecar or the store knows to be quarantined.
    void applyUpdate( std::span<const decide::Quarantine> entries, std::string_view from );

private:
    //! Finds out whether the upstream of broken runs has ended, and tells of it.
    net::Task<> settle( NodePtr node );
    net::Task<bool> hasEnded( const Node& node );
    void tell( const std::string& upstreamId, std::span<const decide::InterruptedRun> runs );
    //! Links to the processes that count a content's ends.
    std::vector<std::shared_ptr<SidecarLink>> holders( decide::Fingerprint fingerprint,
                                                       MonoTime now ) const;

    net::asio::io_context& m_context;
    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    decide::PoisonCounter m_book; //!< what this gateway saw
    decide::QuarantineList m_quarantines;
    decide::CompletedRuns m_whole;
    std::map<std::string, std::vector<decide::InterruptedRun>> m_broken; //!< by upstream, unsettled
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_POISON_GUARD_HPP_INCLUDED
