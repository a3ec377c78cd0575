// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_CHOICE_READING_BUDGET_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_CHOICE_READING_BUDGET_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

namespace coursehead::gateway {

/**
 * Limits the prompt reading that this gateway requests from an engine. An engine reads prompts in
 * pieces between the steps of running streams. If it reads without interruption for about the
 * streams' gap target, every stream there pauses too long: under load this affects more than a
 * quarter of all streams, half of them by less than 90 ms. The budget admits a burst and after that
 * a share of the engine's time, so that steps without reading come in between. It reduces
 * the value lost to late events under light load too.
 */
class ReadingBudget {
public:
    struct Limits {
        double burstMs = 0; //!< reading that may be requested at once
        double share = 1;   //!< share of the engine's time after the burst
    };

    //! Time until a prompt that takes `workMs` to read fits the budget; zero if it fits now.
    Millis wait( double workMs, const Limits& limits, MonoTime now ) const;
    //! Charges a prompt that is sent to the budget.
    void take( double workMs, const Limits& limits, MonoTime now );
    //! Recent share of the engine's time that was spent on this gateway's prompts.
    double ownShare( MonoTime now ) const;

private:
    double usedAt( const Limits& limits, MonoTime now ) const;

    double m_usedMs = 0; //!< used part of the burst, at m_at
    MonoTime m_at;
    double m_share = 0;
    MonoTime m_shareAt;
};

//! The limits for an engine whose streams have this gap target, if other gateways use `othersShare`
//! of its time.
ReadingBudget::Limits readingLimits( Millis gapTarget, double othersShare );

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_CHOICE_READING_BUDGET_HPP_INCLUDED
