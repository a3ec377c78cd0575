// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUOTA_BUCKET_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUOTA_BUCKET_HPP_INCLUDED

#include "decide/quota.hpp"

namespace coursehead::decide {

//! Token bucket of an organisation's limit. It starts without a burst, since a previous holder may
//! just have granted one.
struct QuotaBucket {
    double level = 0;         //!< units; negative: units were granted in advance
    double promisedUnits = 0; //!< units of refused requests that were told when to retry
    MonoTime at;              //!< time up to which both are counted
    MonoTime since;           //!< when the bucket was created
};

struct QuotaGrant {
    double units = 0; //!< granted units; 0: refused
    Millis wait{ 0 }; //!< time until the units may be spent; if refused, time after which to retry
    //! If refused: time until the first request to arrive could be granted the units.
    Millis earliestWait{ 0 };
};

//! Adds the units earned until `now`.
void refill( QuotaBucket& bucket, const QuotaRate& rate, MonoTime now );
/**
 * Takes `needed` units, and up to `preferred` units while the bucket is more than half full. A
 * request larger than the burst is granted by a full bucket, which goes below zero for it. A
 * request that does not fit is refused, with a retry time that allows for all requests refused
 * before it. It does not wait in the bucket, because smaller requests that fit now would lack the
 * units reserved for it (at nine times an organisation's usual load, one in five of the smallest
 * requests was refused for this reason). Only a new bucket, which is empty although its
 * organisation may have requested nothing, grants units in advance, if they can be spent within
 * `maxWaitMs`.
 */
QuotaGrant take( QuotaBucket& bucket, const QuotaRate& rate, const QuotaRequest& request,
                 MonoTime now );
void refund( QuotaBucket& bucket, const QuotaRate& rate, double units, MonoTime now );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUOTA_BUCKET_HPP_INCLUDED
