// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_POISON_GUARD_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_POISON_GUARD_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/completed_runs.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "gateway/choice/fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace coursehead::gateway {

/**
 * A gateway's protection against poison requests, whose content makes upstreams crash. After broken
 * runs it checks whether the upstream has ended, sends the evidence to the sidecars that count the
 * ends for each fingerprint, and keeps the list of quarantines. It also counts by itself, for the
 * case that no sidecar can be reached.
 */
class PoisonGuard {
public:
    PoisonGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics );

    //! Time for which a content stays quarantined; zero if it may be sent.
    Millis quarantineLeft( decide::Fingerprint fingerprint, MonoTime now ) const {
        return m_quarantines.left( fingerprint, now );
    }
    //! True if a content was quarantined before: each request with it gets only one send.
    bool onTrial( decide::Fingerprint fingerprint ) const {
        return m_quarantines.times( fingerprint ) > 0;
    }

    //! Records that a request's connection to an upstream broke; `weight` is from
    //! decide::evidenceWeight().
    void noteBrokenRun( const NodePtr& node, decide::Fingerprint fingerprint, double weight );
    //! Records that a request has run to completion.
    void noteCompletedRun( decide::Fingerprint fingerprint );
    //! Adds quarantines; `from` names their source: a sidecar, the store or this gateway.
    void applyUpdate( std::span<const decide::Quarantine> entries, std::string_view from );

private:
    //! Checks whether the upstream of broken runs has ended, and sends the evidence if so.
    net::Task<> investigateBrokenRuns( NodePtr node );
    net::Task<bool> hasEnded( const Node& node );
    void sendEvidence( const std::string& upstreamId,
                       std::span<const decide::InterruptedRun> runs );
    //! Links to the sidecars that count the ends of upstreams for a content.
    std::vector<std::shared_ptr<SidecarLink>> evidenceHolders( decide::Fingerprint fingerprint,
                                                               MonoTime now ) const;

    net::asio::io_context& m_context;
    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    decide::PoisonCounter m_poisonCounter; //!< evidence of this gateway alone
    decide::QuarantineList m_quarantines;
    decide::CompletedRuns m_completedRuns;
    //! Runs whose upstream is still being checked, by upstream.
    std::map<std::string, std::vector<decide::InterruptedRun>> m_brokenRuns;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_POISON_GUARD_HPP_INCLUDED
