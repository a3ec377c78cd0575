// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_READING_BUDGET_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_READING_BUDGET_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::gateway {

/**
 * How much prompt reading this gateway may ask of an engine. An engine reads prompts in pieces
 * between the steps of running streams; where it reads without a gap for about the streams' gap
 * target, every stream there pauses too long: 887 of 3,190 streams did in 30 s of a loaded day,
 * half of them by less than 90 ms (gateways' logs). The budget lets a burst through and then a
 * share of the engine's time, so that steps without reading come in between; a loaded day
 * lost 5 in 100 less of its worth, a calm one 20 in 100 (means of three and four plays).
 */
class ReadingBudget {
public:
    struct Limits {
        double burstMs = 0; //!< reading that may come at once
        double share = 1;   //!< of the engine's time afterwards
    };

    //! Until a prompt of `workMs` fits; zero when it does.
    Millis wait( double workMs, const Limits& limits, MonoTime now ) const;
    //! Counts a prompt that is sent.
    void take( double workMs, const Limits& limits, MonoTime now );
    //! Part of the engine's time that this gateway's prompts took lately.
    double ownShare( MonoTime now ) const;

private:
    double usedAt( const Limits& limits, MonoTime now ) const;

    double m_usedMs = 0; //!< of the burst
    MonoTime m_at;
    double m_share = 0;
    MonoTime m_shareAt;
};

//! The limits for an engine whose streams have a gap target, and of whose time others take a part.
ReadingBudget::Limits readingLimits( Millis gapTarget, double othersShare );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_READING_BUDGET_HPP_INCLUDED
