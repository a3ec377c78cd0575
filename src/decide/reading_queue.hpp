// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_READING_QUEUE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_READING_QUEUE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace coursehead::decide {

//! A prompt that asks to be read by an engine.
struct ReadingRequest {
    std::uint64_t key = 0; //!< names it among all that ask
    double workMs = 0;     //!< reading it takes the engine about this long
    MonoTime startBy;      //!< later it is of no use to its request
};

//! How an ask is taken.
struct ReadingVerdict {
    bool accepted = false;
    Millis wait{ 0 }; //!< until the engine could begin with it, accepted or not
};

/**
 * The prompts that wait for one engine, and those that it was given lately. Answers the load of
 * many gateways that send to one engine at once: each alone sees a small part of it.
 *
 * An engine reads prompts in pieces between the steps of the streams that run there. Where every
 * step of an event carries a piece, the pause before that event passes the streams' gap target; one
 * step without a piece, and it does not. So within any gap target only a part is given to reading.
 * Prompts wait here, not in the engine, in the order of the time by which they have to start: what
 * can no longer be in time, or would make one that was accepted late, is told so when it asks.
 *
 * The engine's progress is estimated from the work that asks name. Nothing rests on the estimate
 * but the order and the time of sends.
 */
class ReadingQueue {
public:
    //! Streams' gap target; zero: prompts are read one after another without a pause.
    void setGapTarget( Millis gapTarget ) { m_gapTarget = gapTarget; }

    //! Queues a prompt, or says when it could begin.
    ReadingVerdict ask( const ReadingRequest& ask, MonoTime now );
    //! The next prompt when it may be sent now; it counts as given to the engine.
    std::optional<ReadingRequest> takeNext( MonoTime now );
    //! Takes out those that will not start in time any more: the engine was slower than expected.
    std::vector<ReadingRequest> takeExpired( MonoTime now );
    //! When takeNext() will give one; nullopt while none waits.
    std::optional<MonoTime> nextAt( MonoTime now ) const;
    //! Forgets a prompt that its request has no use for any more, queued or given but not yet read.
    void withdraw( std::uint64_t key, MonoTime now );
    //! The engine is seen with this many prompts that it has not read whole, those on their way to
    //! it included. It reads them in the order in which they were sent.
    void noteUnread( std::size_t prompts, MonoTime now );
    //! Forgets all: the engine has restarted.
    void clear();

    //! Until a prompt of `workMs` without haste would begin, were it to ask now.
    Millis waitFor( double workMs, MonoTime now ) const;
    std::size_t waiting() const noexcept { return m_waiting.size(); }
    //! True while prompts wait or are taken to be read.
    bool busy( MonoTime now ) const;

private:
    //! Time that the engine spends on a prompt that it was given.
    struct Span {
        std::uint64_t key = 0;
        double workMs = 0;
        MonoTime from;
        MonoTime to;
        bool read = false; //!< as the engine shows
    };
    using Given = std::deque<Span>;

    MonoTime startOf( const Given& given, double workMs, MonoTime earliest ) const;
    MonoTime place( Given& given, const ReadingRequest& ask, MonoTime now ) const;
    //! Whether all that wait start in time; with the start of the one named `key`.
    struct Outlook {
        bool allInTime = true;
        MonoTime start;
    };
    Outlook outlook( std::span<const ReadingRequest> order, std::uint64_t key, MonoTime now ) const;
    void forgetOld( MonoTime now );
    MonoTime::duration engineTime( double workMs ) const;
    void learnStretch( double readMs, MonoTime now );

    Millis m_gapTarget{ 0 };
    //! Engine time that was seen to go into prompts, and the work that asks named for these.
    double m_seenMs = 0;
    double m_namedMs = 0;
    std::optional<MonoTime> m_readingSince; //!< last report, if prompts were being read then
    Given m_given;                          //!< in order, without overlaps
    std::deque<ReadingRequest> m_waiting;   //!< the one that has to start first at the front
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_READING_QUEUE_HPP_INCLUDED
