// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_POISON_HPP_INCLUDED
#define COURSEHEAD_DECIDE_POISON_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/fingerprint.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/**
 * Poison requests: those that end each upstream that begins to run them.
 *
 * Their clients send them again, as new requests, to any gateway. So ends are counted by what the
 * tries have in common, over all gateways: whoever sees an upstream end tells a few processes
 * beside engines, chosen by rendezvous hashing of the content, what was running there. At three
 * ends the content is quarantined: everybody is told, and the store keeps it for those that start
 * later. The load that this answers: up to 64 requests run beside a poison one and break with it, a
 * fifth of them twice; and a hall without power ends thousands of requests at once, of which none
 * is to blame.
 */
namespace coursehead::decide {

//! Upstreams that have to end under a content until it is quarantined. Two would take those for it
//! that ran beside a poison request twice, 18 of 96 by the logs of nine seconds; each more costs an
//! upstream.
inline constexpr double quarantineThreshold = 3;
//! Who ran this long, making events, has shown that it can be run. It counts for half, not for
//! nothing: some might end an upstream late, and six ends are the most that may be.
inline constexpr Millis longRunTime{ 1000 };
inline constexpr double provenWeight = 0.5;
//! Processes that count a content's ends. An engine that ends takes the gateways' links to the
//! process beside it with it for seconds, so one is not enough.
inline constexpr std::size_t holdersPerContent = 3;

//! A request that was running at an upstream when that ended.
struct InterruptedRun {
    Fingerprint fingerprint = 0;
    double weight = 1;   //!< as evidence
    int quarantines = 0; //!< that its content has had before
};

//! A gateway tells holders of an upstream's end.
struct PoisonEvidence {
    std::string upstreamId;
    std::vector<InterruptedRun> runs;
};

//! A gateway tells holders that a content has run to its end: it is not poison.
struct PoisonCleared {
    Fingerprint fingerprint = 0;
};

//! A content that is not sent to any upstream.
struct Quarantine {
    Fingerprint fingerprint = 0;
    int times = 1;           //!< it was quarantined so often
    std::int64_t holdMs = 0; //!< for this much longer

    bool operator==( const Quarantine& ) const = default;
};

//! What a holder, or the store, knows to be quarantined.
struct QuarantineUpdate {
    std::vector<Quarantine> entries;
};

//! What a broken run counts for, by how long its upstream had made events for it; negative: none.
double evidenceWeight( std::int64_t eventsMs );

//! How long a quarantine lasts. After each of the first ones the content gets one more try, in case
//! that it is cured; there are three such tries at the most.
Millis quarantineDuration( int times );

//! The candidates that count a content's ends: the first few by rendezvous hashing.
std::vector<std::size_t> poisonHolders( Fingerprint fingerprint,
                                        std::span<const std::string_view> candidates );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_POISON_HPP_INCLUDED
