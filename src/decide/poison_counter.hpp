// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_POISON_COUNTER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_POISON_COUNTER_HPP_INCLUDED

#include "decide/poison.hpp"

#include <list>
#include <optional>
#include <unordered_map>

namespace coursehead::decide {

//! Counts the upstream ends of each content, as reported to one process.
class PoisonCounter {
public:
    //! `threshold`: weight of ends at which a content is quarantined; an end weighs 1 at most.
    explicit PoisonCounter( double threshold = quarantineThreshold ) : m_threshold( threshold ) {}

    //! Counts an upstream's end as evidence against a content, and returns the quarantine if the
    //! weight suffices.
    //! The same end may be reported by several gateways, and for several requests with the same
    //! content; it counts once.
    std::optional<Quarantine> note( const InterruptedRun& run, std::string_view upstreamId,
                                    MonoTime now );
    //! Forgets a content, since a request with it has completed; true when ends were counted for
    //! it.
    bool clear( Fingerprint fingerprint );
    std::size_t size() const noexcept { return m_records.size(); }

private:
    //! A counted end of an upstream.
    struct End {
        std::uint64_t upstream = 0; //!< hash of the upstream's id
        MonoTime at;
    };
    struct Record {
        double weight = 0;
        std::vector<End> ends;
        std::list<Fingerprint>::iterator orderPosition; //!< in m_oldestFirst
    };

    Record& recordOf( Fingerprint fingerprint );

    double m_threshold;
    std::unordered_map<Fingerprint, Record> m_records;
    std::list<Fingerprint> m_oldestFirst; //!< contents, by the time of their last end
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_POISON_COUNTER_HPP_INCLUDED
