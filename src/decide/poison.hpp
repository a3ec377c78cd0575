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
 * Poison requests: requests that end each upstream that starts to run them, by all of their content
 * or by one part of their prompts.
 *
 * Clients send them again, as new requests, to any gateway. Upstream ends are therefore counted by
 * the requests' content, over all gateways: a gateway that sees an upstream end reports the
 * requests that were running there to a few sidecars, chosen by rendezvous hashing of the content.
 * After three ends the content is quarantined: all gateways are notified, and the store keeps the
 * quarantine for processes that start later. It is designed for up to 64 requests that run beside a
 * poison request and fail with it, a fifth of them twice, and for a power loss in a hall that ends
 * thousands of requests at once, none of which is poison.
 *
 * Prompt parts are counted likewise, each under its own fingerprint, see PartCounter: requests that
 * share a poison part may differ in everything else.
 */
namespace coursehead::decide {

//! Weight of upstream ends at which a content is quarantined. With two, requests that merely ran
//! beside a poison request twice (about one in five of those beside it) would be quarantined as
//! well; each further end costs another upstream.
inline constexpr double quarantineThreshold = 3;
//! A request that produced events for this long counts with half the weight, since it has shown
//! that it can run. The weight is not zero, because a poison request may end an upstream late; it
//! is a half, because at most six ends are allowed.
inline constexpr Millis longRunTime{ 1000 };
inline constexpr double provenWeight = 0.5;
//! Number of sidecars that count a content's ends. When an engine ends, the gateways' connections
//! to its sidecar are lost for seconds, so one sidecar is not enough.
inline constexpr std::size_t holdersPerContent = 3;

//! A request that was running at an upstream when the upstream ended.
struct InterruptedRun {
    Fingerprint fingerprint = 0;
    double weight = 1;   //!< as evidence
    int quarantines = 0; //!< earlier quarantines of its content
};

//! A prompt part of requests that were running at an upstream when the upstream ended.
struct InterruptedPart {
    Fingerprint fingerprint = 0;
    //! Time since the begin of the newest run that shows the part to be sound, as the reporting
    //! gateway knows; -1: it knows of none.
    std::int64_t soundMsAgo = -1;
};

//! Sent by a gateway to holders: an upstream has ended.
struct PoisonEvidence {
    std::string upstreamId;
    std::vector<InterruptedRun> runs;
    std::vector<InterruptedPart> parts;
    std::int64_t endedMsAgo = 0;
};

//! Sent by a gateway to holders: a request with this content has completed, so it is not poison. Of
//! a prompt part also sent by holders to all gateways, as its quarantine is lifted.
struct PoisonCleared {
    Fingerprint fingerprint = 0;
    //! Of a part: time since the begin of the run that shows it to be sound; -1: it is a content.
    std::int64_t soundMsAgo = -1;
    int times = 0; //!< of a part: number of its quarantines that the sender knows of
};

//! What a quarantine applies to.
enum class PoisonKind {
    content, //!< of a request
    part,    //!< of a prompt
};

//! "content" or "part", for logs and counters.
std::string_view poisonKindText( PoisonKind kind );

//! A content, or prompt part, whose requests are sent to no upstream.
struct Quarantine {
    Fingerprint fingerprint = 0;
    int times = 1;           //!< number of its quarantines, this one included
    std::int64_t holdMs = 0; //!< remaining duration
    PoisonKind kind = PoisonKind::content;
    //! Time since the first of the ends that led to it; -1: not known. A part is sound after all if
    //! a run with it has begun later and gone on.
    std::int64_t firstEndMsAgo = -1;
    //! Of a part: who counted the ends knew that it was sound before them. If not, a gateway that
    //! knows so can have the quarantine lifted.
    bool soundBefore = true;

    bool operator==( const Quarantine& ) const = default;
};

//! True while gateways have to know of a quarantine: after the time of a prompt part's quarantine
//! only one request is tried, so it must not be forgotten.
inline bool mustBeKnown( const Quarantine& quarantine ) {
    return quarantine.holdMs > 0 || quarantine.kind == PoisonKind::part;
}

//! The quarantines that a holder or the store knows of.
struct QuarantineUpdate {
    std::vector<Quarantine> entries;
};

//! Weight of an upstream's end as evidence against a request that had produced events for
//! `eventsMs`; negative: it had produced none.
double evidenceWeight( std::int64_t eventsMs );

//! Duration of a content's quarantine number `times`. After each of the first three the content
//! gets one more attempt, in case the fault has been mended.
Millis quarantineDuration( int times );
//! Likewise, of a prompt part. The first one is short, because many callers may share the part.
Millis partQuarantineDuration( int times );

//! Indices of the candidates that count a content's ends, chosen by rendezvous hashing.
std::vector<std::size_t> poisonHolders( Fingerprint fingerprint,
                                        std::span<const std::string_view> candidates );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_POISON_HPP_INCLUDED
