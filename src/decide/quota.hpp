// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUOTA_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUOTA_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Quotas of organisations, enforced by all gateways together.
 *
 * Each organisation has one holder at a time among the sidecars, chosen by rendezvous hashing. The
 * holder keeps the organisation's token bucket, and gateways request the units for their requests
 * from it. It is designed for two loads. First, a few large requests (one may take a third of a
 * second's limit) that reach many gateways in turn: a fixed share for each gateway would be too
 * small for one of them. Second, gateways that are cut off, frozen or killed: none of these may
 * cause the limit to be spent twice. A holder therefore grants only the share of the limit that
 * belongs to the gateways that have chosen it: when gateways choose different holders, the shares
 * still add up to one limit.
 */
namespace coursehead::decide {

//! Limit of one organisation, in units (requests or tokens).
struct QuotaRate {
    std::string organisation;
    double perS = 0;
    double burst = 0;

    bool operator==( const QuotaRate& ) const = default;
};

//! How far the limits of all organisations may be exceeded.
struct QuotaRule {
    Millis window{ 8000 }; //!< sliding window
    double over = 0;       //!< allowed excess as a part of the limit, over all gateways
    double slack = 0;      //!< allowed excess in units in addition, over all gateways
};

//! Units by which a limit may be exceeded within the rule's window, over all gateways.
double allowance( const QuotaRule& rule, const QuotaRate& rate );

// Parts of the allowance: for gateways that can't reach a holder (`reserveFraction`) and for the
// initial level of new buckets (`initialFraction`). The rest covers grants that are spent up to a
// lease after they were counted, which is half a second's limit.
inline constexpr double reserveFraction = 0.25;
inline constexpr double initialFraction = 0.2;

//! Sent by a gateway to a holder, regularly and on change: the organisations whose units it
//! requests from this holder.
struct QuotaUpdate {
    std::string gateway;
    std::uint64_t version = 0; //!< version of the configuration that defines the limits
    int gateways = 1;          //!< number of gateways that the sender knows of
    std::vector<QuotaRate> rates;
};

//! Requests units of an organisation's limit.
struct QuotaRequest {
    std::uint64_t number = 0; //!< identifies the request within its gateway; the answer repeats it
    std::string organisation;
    double needed = 0;          //!< minimum; a smaller grant is of no use
    double preferred = 0;       //!< including units for requests expected next; at least `needed`
    std::int64_t maxWaitMs = 0; //!< longest time that the request can wait for its units
};

struct QuotaAnswer {
    std::uint64_t number = 0;
    bool known = false; //!< true when the holder knows the organisation's limit
    double granted = 0; //!< units; 0: refused, as the limit is used up
    //! Time until the grant may be spent; if refused, time after which to retry.
    std::int64_t waitMs = 0;
    //! If refused: time until the first gateway that asks could be granted the units.
    std::int64_t earliestWaitMs = 0;
};

//! Returns units that were granted and not used.
struct QuotaReturn {
    std::string organisation;
    double units = 0;
};

//! Granted units expire after this time: otherwise many gateways could collect units and spend them
//! all at once. Units granted within one lease are half a second's limit; the rules allow an excess
//! of about nine tenths of a second's limit in the usual window of eight seconds.
inline constexpr Millis quotaLease{ 500 };
//! A holder counts a gateway for this long after the gateway's last message. A gateway that can't
//! reach its holder waits equally long before it uses another one. The time covers two missed
//! messages and some delay.
inline constexpr Millis quotaMembership{ 1000 };

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUOTA_HPP_INCLUDED
