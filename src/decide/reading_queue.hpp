// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_READING_QUEUE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_READING_QUEUE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/fair_share.hpp"
#include "decide/prompt_refusal.hpp"
#include "decide/reading_request.hpp"
#include "decide/yield_rule.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace coursehead::decide {

//! Answer to a request to read a prompt.
struct ReadingVerdict {
    bool accepted = false;
    Millis wait{ 0 }; //!< time until the engine could start to read it, accepted or not
    PromptRefusal refusal = PromptRefusal::none; //!< why it is not accepted
};

/**
 * The prompts that wait for one engine, and those that were sent to it recently. It is designed for
 * many gateways that send to one engine at once, each of which sees only a small part of its load.
 *
 * An engine reads prompts in pieces between the steps of the streams that run there. If every step
 * of an event also reads a piece, the pause before the event exceeds the streams' gap target; with
 * one step without a piece it does not. Within any period as long as the gap target, only a part of
 * the time is therefore given to prompt reading. Prompts wait here, not in the engine, in the order
 * of their latest start times. A prompt that can no longer start in time, or that would make an
 * accepted prompt late, is refused when it is requested.
 *
 * Where the waiting prompts differ in urgency or organisation, `yield_rule.hpp` has their order,
 * and a prompt that does not fit displaces those that give way to it.
 *
 * The engine's progress is estimated from the work that requests state. The estimate affects only
 * the order and the times of sends.
 */
class ReadingQueue {
public:
    //! Sets the streams' gap target; zero: prompts are read one after another without a pause.
    void setGapTarget( Millis gapTarget ) { m_gapTarget = gapTarget; }

    //! Queues a prompt, or refuses it and returns when its reading could start.
    ReadingVerdict ask( const ReadingRequest& request, MonoTime now );
    //! Removes and returns the next prompt if it may be sent now; it counts as sent to the engine.
    std::optional<ReadingRequest> takeNext( MonoTime now );
    //! Removes and returns prompts that can't start in time any more, as the engine was slower than
    //! expected. Less urgent ones are displaced before that.
    std::vector<ReadingRequest> takeExpired( MonoTime now );
    //! Returns the prompts that were displaced since the last call; they don't wait any more.
    std::vector<ReadingRequest> takeDisplaced();
    //! Time from which takeNext() returns a prompt; nullopt while none waits.
    std::optional<MonoTime> nextAt( MonoTime now ) const;
    //! Removes a prompt that is no longer needed, whether it is queued, or sent but not yet read.
    void withdraw( std::uint64_t key, MonoTime now );
    //! The engine has reported this number of prompts that it has not read completely, including
    //! those still on their way to it. It reads prompts in the order in which they were sent.
    void noteUnread( std::size_t prompts, MonoTime now );
    //! Removes all prompts, because the engine has restarted.
    void clear();

    //! Time until the reading of a prompt of `workMs` without a latest start time would start, if
    //! it were requested now.
    Millis waitFor( double workMs, MonoTime now ) const;
    std::size_t waiting() const noexcept { return m_waiting.size(); }
    //! True while prompts wait, or the engine is estimated to be reading.
    bool busy( MonoTime now ) const;

private:
    //! Estimated period in which the engine reads a prompt that was sent to it.
    struct ReadingPeriod {
        std::uint64_t key = 0;
        double workMs = 0;
        MonoTime from;
        MonoTime to;
        bool read = false; //!< the engine's reports show that it was read
    };
    using SentPrompts = std::deque<ReadingPeriod>;

    MonoTime earliestStart( const SentPrompts& sent, double workMs, MonoTime earliest ) const;
    MonoTime appendPeriod( SentPrompts& sent, const ReadingRequest& request, MonoTime now ) const;
    //! Whether all waiting prompts start in time, and the start of the prompt `key`.
    struct Forecast {
        bool allInTime = true;
        MonoTime start;
    };
    Forecast forecast( std::span<const ReadingRequest> order, std::uint64_t key,
                       MonoTime now ) const;
    using Prompts = std::vector<ReadingRequest>;
    using Starts = std::map<std::uint64_t, MonoTime>; //!< expected start of each prompt, by key
    Starts startsOf( std::span<const ReadingRequest> order, MonoTime now ) const;
    ReadingVerdict askOneRank( const ReadingRequest& request, MonoTime now );
    ReadingVerdict askRanked( const ReadingRequest& request, MonoTime now );
    Prompts readingOrder( MonoTime now ) const;
    ReadingAccounts accounts() const;
    bool fits( Prompts kept, const ReadingRequest& request, const Starts& startsBefore,
               MonoTime now ) const;
    Prompts displacedFor( const ReadingRequest& request, const Starts& startsBefore,
                          MonoTime now ) const;
    Prompts displacedForWaiting( const ReadingRequest& prompt, MonoTime now ) const;
    bool startsInTime( const Prompts& kept, const ReadingRequest& prompt, MonoTime now ) const;
    Prompts removeExpired( MonoTime now );
    Prompts removeExpiredRanked( MonoTime now );
    void insert( const ReadingRequest& request );
    void remove( std::uint64_t key );
    void displace( const Prompts& prompts );
    void dropOld( MonoTime now );
    MonoTime::duration engineTime( double workMs ) const;
    void updateTimeRatio( double readMs, MonoTime now );

    Millis m_gapTarget{ 0 };
    //! Measured engine time for prompts, and the work that requests stated for the same prompts.
    double m_measuredMs = 0;
    double m_statedMs = 0;
    double m_unsettledMs = 0;               //!< engine time of prompts that are not completely read
    std::optional<MonoTime> m_readingSince; //!< time of the last report, if prompts were being read
    SentPrompts m_sent; //!< prompts sent to the engine, in order, without overlaps
    std::deque<ReadingRequest> m_waiting; //!< ordered by latest start time
    bool m_ranked = false;                //!< the waiting prompts have, or had, different ranks
    Prompts m_displaced;                  //!< not returned by takeDisplaced() yet
    FairShare m_share;
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_READING_QUEUE_HPP_INCLUDED
