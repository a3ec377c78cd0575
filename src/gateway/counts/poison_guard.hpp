// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_POISON_GUARD_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_POISON_GUARD_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/completed_runs.hpp"
#include "decide/poison_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "gateway/choice/fleet.hpp"
#include "gateway/counts/part_guard.hpp"

#include <map>
#include <string>
#include <vector>

namespace coursehead::gateway {

//! A run of a request that has ended, as its gateway saw it.
struct FinishedRun {
    decide::Fingerprint content = 0;
    std::span<const decide::SharedPart> parts;
    MonoTime begunAt; //!< first event; of an answer that is no stream, when it was sent
    MonoTime endedAt;
    std::int64_t eventsMs = -1; //!< for which it had produced events; -1: it had produced none
    bool succeeded = false;     //!< its answer was complete and no failure
    bool partsSound = false;    //!< it went on for long enough to show that its parts are sound
};

/**
 * A gateway's protection against poison requests, whose content makes upstreams crash. After broken
 * runs it checks whether the upstream has ended, sends the evidence to the sidecars that count the
 * ends for each fingerprint, and keeps the list of quarantines. It also counts by itself, for the
 * case that no sidecar can be reached.
 */
class PoisonGuard {
public:
    PoisonGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics,
                 const platform::Endpoint& store );

    PartGuard& parts() { return m_parts; }

    //! Time for which a content stays quarantined; zero if it may be sent.
    Millis quarantineLeft( decide::Fingerprint fingerprint, MonoTime now ) const {
        return m_quarantines.left( fingerprint, now );
    }
    //! True if a content was quarantined before: each request with it gets only one send.
    bool onTrial( decide::Fingerprint fingerprint ) const {
        return m_quarantines.times( fingerprint ) > 0;
    }

    //! Records that a request's connection to an upstream broke.
    void noteBrokenRun( const NodePtr& node, const FinishedRun& run );
    //! Records that a request has run to completion.
    void noteCompletedRun( const FinishedRun& run );
    //! Records that an answer without a length ended with its connection, as if it were complete.
    //! Whether it was depends on what becomes of the upstream.
    void noteUnframedEnd( const NodePtr& node, const FinishedRun& run );
    //! Adds quarantines; `from` names their source: a sidecar, the store or this gateway.
    void applyUpdate( std::span<const decide::Quarantine> entries, std::string_view from );

private:
    //! Runs whose connection to an upstream broke.
    struct BrokenRuns {
        std::vector<decide::InterruptedRun> runs;
        //! Prompt parts that their runs have not shown to be sound, with the runs' contents.
        std::map<decide::Fingerprint, std::set<decide::Fingerprint>> parts;
        bool explained = false; //!< one of the runs had a quarantined prompt part
        MonoTime since;
        StartTime born = 0; //!< start of the upstream
    };

    //! Parts of which some run's content is not quarantined: a quarantined content explains the end
    //! by itself.
    std::set<decide::Fingerprint> unexplainedParts( const BrokenRuns& broken ) const;
    void clearContent( decide::Fingerprint fingerprint );
    void addEvidence( BrokenRuns& broken, const FinishedRun& run );
    net::Task<> watchUnframedEnd( NodePtr node, FinishedRun run,
                                  std::vector<decide::SharedPart> parts );
    //! Waits until a sidecar or the store shows that the upstream has ended; false if neither does.
    //! Other than a broken connection, a broken link does not look like it.
    net::Task<bool> endShown( const Node& node, StartTime born, MonoTime until );
    //! Checks whether the upstream of broken runs has ended, and sends the evidence if so.
    net::Task<> investigateBrokenRuns( NodePtr node );
    net::Task<bool> hasEnded( const Node& node );
    void sendEvidence( const std::string& upstreamId,
                       std::span<const decide::InterruptedRun> runs );

    net::asio::io_context& m_context;
    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    decide::PoisonCounter m_poisonCounter; //!< evidence of this gateway alone
    decide::QuarantineList m_quarantines;
    decide::CompletedRuns m_completedRuns;
    PartGuard m_parts;
    std::map<std::string, BrokenRuns> m_brokenRuns; //!< while their upstream is checked; by its id
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_POISON_GUARD_HPP_INCLUDED
