// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_QUOTA_BUCKET_HPP_INCLUDED
#define COURSEHEAD_DECIDE_QUOTA_BUCKET_HPP_INCLUDED

#include "decide/quota.hpp"

namespace coursehead::decide {

//! What is left of an organisation's limit. Starts without a burst: whoever kept it before may have
//! spent one just now.
struct QuotaBucket {
    double level = 0;    //!< units; below zero: granted ahead of time
    double promised = 0; //!< units for which requests were told to come back
    MonoTime at;         //!< to which both are counted
    MonoTime since;      //!< it exists
};

struct QuotaGrant {
    double units = 0; //!< 0: refused
    Millis wait{ 0 }; //!< until they may be spent; if refused, until there is room for this one
    Millis room{ 0 }; //!< refused: until there is room, for whoever comes first
};

//! Counts a bucket up to `now`.
void refill( QuotaBucket& bucket, const QuotaRate& rate, MonoTime now );
/**
 * Takes `needed` units, and up to `preferred` of them while the bucket is more than half full. A
 * request larger than the burst is let in by a full bucket, and paid for afterwards. What does not
 * fit is refused, with a time at which there is room behind all that were refused before; it does
 * not wait, since units that it waits for would be missing to smaller requests that fit now (of an
 * organisation at nine times its usual, one in five of the smallest was refused for that). Only a
 * new bucket, which is empty though its organisation may have asked for nothing, grants ahead what
 * can be spent within `patience`.
 */
QuotaGrant take( QuotaBucket& bucket, const QuotaRate& rate, const QuotaRequest& ask,
                 MonoTime now );
void refund( QuotaBucket& bucket, const QuotaRate& rate, double units, MonoTime now );

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_QUOTA_BUCKET_HPP_INCLUDED
