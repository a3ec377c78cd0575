// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_PART_GUARD_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_PART_GUARD_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/part_counter.hpp"
#include "decide/quarantine_list.hpp"
#include "decide/shared_part.hpp"
#include "decide/sound_parts.hpp"
#include "gateway/choice/fleet.hpp"
#include "platform/store_client.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead::gateway {

//! Whether a prompt may be sent, by its shared parts.
struct PartVerdict {
    const decide::SharedPart* withheld = nullptr; //!< part because of which it may not; null: none
    Millis left{ 0 }; //!< of its quarantine; 0: it may be sent if it is granted a trial
};

/**
 * A gateway's protection against prompt parts that make upstreams crash. It tells the sidecars that
 * count the ends of upstreams which parts were running there and which ones it has seen to be
 * sound, and keeps the list of quarantined parts.
 *
 * After a quarantine one request of all gateways is sent on trial: the gateway that creates the
 * store's object of the part's next quarantine may send it, so that the part is held back again
 * whatever becomes of the trial or of the gateway. A trial that goes well clears the part.
 */
class PartGuard {
public:
    PartGuard( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics,
               const platform::Endpoint& store );

    PartVerdict judge( std::span<const decide::SharedPart> parts, MonoTime now ) const;
    //! Applies for a trial of the parts whose quarantine has ended.
    net::Task<> applyForTrials( std::vector<decide::SharedPart> parts );
    //! Records that a prompt that judge() allowed is sent: it uses up trials of its parts.
    void noteSent( std::span<const decide::SharedPart> parts );
    //! True if one of the parts is quarantined or was, so that it explains an upstream's end.
    bool suspects( std::span<const decide::SharedPart> parts ) const;
    //! Records that a run with the parts began to write its answer at `begunAt`, and that its
    //! upstream went on.
    void noteSound( std::span<const decide::SharedPart> parts, MonoTime begunAt );
    //! Tells holders that an upstream ended at `endedAt` under requests with these parts.
    void reportEnd( const std::string& upstreamId, const std::set<decide::Fingerprint>& parts,
                    MonoTime endedAt );
    //! Adds a part's quarantine; `from` names its source: a sidecar, the store or this gateway.
    void applyQuarantine( const decide::Quarantine& entry, std::string_view from );
    //! Lifts a part's quarantine, since a run at some gateway has shown it to be sound.
    void applyCleared( const decide::PoisonCleared& cleared );
    //! Lifts a part's quarantine whose object was removed from the store.
    void applyRemoval( const decide::Quarantine& removed );

private:
    void countAlone( const decide::InterruptedPart& part, const std::string& upstreamId,
                     MonoTime endedAt, MonoTime now );
    void sendCleared( decide::Fingerprint part, MonoTime begunAt, int times, MonoTime now );
    void lift( decide::Fingerprint part, std::string_view why );
    bool onTrial( decide::Fingerprint part, MonoTime now ) const;
    bool isOutdated( const decide::Quarantine& entry, MonoTime now ) const;
    bool mayApplyForTrial( decide::Fingerprint part, MonoTime now ) const;
    net::Task<> applyForTrial( const decide::SharedPart& part );

    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    platform::StoreClient m_store;
    decide::SoundParts m_soundParts;
    decide::PartCounter m_counter; //!< evidence of this gateway alone
    decide::QuarantineList m_quarantines;
    std::map<decide::Fingerprint, MonoTime> m_trials; //!< unused ones, with their end
    //! Lifted quarantines, with the time until which the store's objects of them are ignored.
    std::map<decide::Fingerprint, MonoTime> m_lifted;
    std::map<decide::Fingerprint, MonoTime> m_appliedAt; //!< last application for a trial
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_PART_GUARD_HPP_INCLUDED
