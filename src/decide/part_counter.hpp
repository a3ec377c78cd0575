// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_PART_COUNTER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_PART_COUNTER_HPP_INCLUDED

#include "decide/poison.hpp"

#include <list>
#include <optional>
#include <unordered_map>

namespace coursehead::decide {

//! When ends of upstreams suffice to quarantine a prompt part.
struct PartRule {
    //! Ends of a part that no run has shown to be sound.
    std::size_t endsOfUnknown = 3;
    //! Ends of a part that was sound before, and time between the first and the last of them:
    //! within that time another run with it would have shown that it still is.
    std::size_t endsOfSound = 4;
    Millis doubtTime{ 1500 };
    //! Ends that are this close to each other may have one cause outside of the upstreams, such as
    //! a loss of power, and count as one. With a longer time a poison part that many requests have
    //! would end more upstreams before it is known.
    Millis burstTime{ 50 };
};

/**
 * Counts the upstream ends of each prompt part, as reported to one process.
 *
 * A poison part ends every upstream that begins to write an answer on it. A part that is shared by
 * many requests is also among the interrupted runs of most ends, but other runs with it go on. So
 * ends count only from the newest run on that shows the part to be sound, wherever that run was
 * seen.
 */
class PartCounter {
public:
    explicit PartCounter( PartRule rule = {} ) : m_rule( rule ) {}

    //! Counts an upstream's end at `endedAt` as evidence against a part; returns a verdict if the
    //! ends suffice. Several reports of the same end, and ends at about the same time, count once.
    std::optional<Quarantine> note( const InterruptedPart& part, std::string_view upstreamId,
                                    MonoTime endedAt, MonoTime now );
    //! A run with the part began to write an answer at `begunAt`, and its upstream went on. Returns
    //! true if ends had sufficed for a verdict and do not any more.
    bool noteSound( Fingerprint fingerprint, MonoTime begunAt );
    std::size_t size() const noexcept { return m_records.size(); }

private:
    //! A counted end of an upstream.
    struct End {
        std::uint64_t upstream = 0; //!< hash of the upstream's id
        MonoTime at;
    };
    struct Record {
        std::vector<End> ends;
        std::optional<MonoTime> soundAt; //!< begin of the newest run that shows the part is sound
        bool sufficed = false;           //!< the ends have led to a verdict
        std::list<Fingerprint>::iterator orderPosition; //!< in m_oldestFirst
    };

    Record& recordOf( Fingerprint fingerprint );
    static void noteSound( Record& record, MonoTime begunAt );
    bool isCounted( const Record& record, const End& end ) const;
    bool suffices( const Record& record ) const;

    PartRule m_rule;
    std::unordered_map<Fingerprint, Record> m_records;
    std::list<Fingerprint> m_oldestFirst; //!< parts, by the time of their last report
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_PART_COUNTER_HPP_INCLUDED
