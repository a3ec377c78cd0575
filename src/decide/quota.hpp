// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUOTA_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUOTA_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Quotas of organisations, kept by all gateways together.
 *
 * Each organisation has one holder at a time among the processes beside engines: that which
 * rendezvous hashing gives. It keeps the organisation's bucket, and gateways obtain from it what
 * their requests take. The load that this answers: few large requests (one may be a third of a
 * second's limit) that come to many gateways in turn, so that no gateway's fixed share would hold
 * one; and gateways that are cut off, frozen or killed, of which none may lead to two buckets being
 * spent. A holder therefore grants only the part of the limit that belongs to the gateways that
 * hold to it: where they disagree, the parts add up to the limit once.
 */
namespace coursehead::decide {

//! The limit of one organisation, in units (requests or tokens).
struct QuotaRate {
    std::string organisation;
    double perS = 0;
    double burst = 0;

    bool operator==( const QuotaRate& ) const = default;
};

//! The rule that limits of all organisations are judged by.
struct QuotaRule {
    Millis window{ 8000 }; //!< sliding
    double over = 0;       //!< part of the limit that may be passed, over all gateways
    double slack = 0;      //!< units on top, over all gateways
};

//! Units that may be passed beyond a limit within the rule's window, over all gateways.
double allowance( const QuotaRule& rule, const QuotaRate& rate );

// How the allowance is spent: gateways that can't ask, buckets that start anew, and half a second's
// limit for grants that are spent a lease later than they were counted.
inline constexpr double reservePart = 0.25;
inline constexpr double startPart = 0.2;

//! A gateway tells a holder which organisations it obtains from there; regularly, and on change.
struct QuotaUpdate {
    std::string gateway;
    std::uint64_t version = 0; //!< of the configuration that the limits are from
    int gateways = 1;          //!< as many as it knows to be about
    std::vector<QuotaRate> rates;
};

//! Asks for units of an organisation's limit.
struct QuotaRequest {
    std::uint64_t number = 0; //!< of this gateway; the answer repeats it
    std::string organisation;
    double needed = 0;          //!< less is of no use
    double preferred = 0;       //!< with what is expected next; `needed` at least
    std::int64_t maxWaitMs = 0; //!< it may have to wait this long
};

struct QuotaAnswer {
    std::uint64_t number = 0;
    bool known = false;              //!< this holder knows the organisation's limit
    double granted = 0;              //!< 0: beyond the limit
    std::int64_t waitMs = 0;         //!< until it may be spent; if not granted, until there is room
    std::int64_t earliestWaitMs = 0; //!< not granted: until there is room, for whoever asks first
};

//! Units that were granted and not used.
struct QuotaReturn {
    std::string organisation;
    double units = 0;
};

//! What was granted must be spent within this, and is lost then: units that many gateways keep in
//! store could otherwise be spent at one moment. Half a second's limit; the rules allow about nine
//! tenths of a second's beyond the limit in the usual window of eight seconds.
inline constexpr Millis quotaLease{ 500 };
//! A gateway belongs to a holder for this long after it said so; a gateway that can't reach its
//! holder waits as long before it turns to the next. Two missed messages and some delay.
inline constexpr Millis quotaMembership{ 1000 };

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUOTA_HPP_INCLUDED
