// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_POISON_COUNTER_HPP_INCLUDED
#define COURSEHEAD_DECIDE_POISON_COUNTER_HPP_INCLUDED

#include "decide/poison.hpp"

#include <list>
#include <optional>
#include <unordered_map>

namespace coursehead::decide {

//! The upstreams that ended under each content, as one process was told.
class PoisonCounter {
public:
    //! `enough` ends of weight 1 have a content quarantined.
    explicit PoisonCounter( double enough = quarantineThreshold ) : m_enough( enough ) {}

    //! Counts an upstream's end under a content; the quarantine that it is enough for, if so. Of
    //! one end several gateways may tell, and several requests of the same content.
    std::optional<Quarantine> note( const InterruptedRun& run, std::string_view upstreamId,
                                    MonoTime now );
    //! The content has run to its end; true when ends were counted under it.
    bool clear( Fingerprint fingerprint );
    std::size_t size() const noexcept { return m_cases.size(); }

private:
    //! An end that was counted.
    struct End {
        std::uint64_t upstream = 0; //!< hash of its id
        MonoTime at;
    };
    struct Case {
        double weight = 0;
        std::vector<End> ends;
        std::list<Fingerprint>::iterator age; //!< in m_oldestFirst
    };

    Case& caseOf( Fingerprint fingerprint );

    double m_enough;
    std::unordered_map<Fingerprint, Case> m_cases;
    std::list<Fingerprint> m_oldestFirst; //!< by their last end
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_POISON_COUNTER_HPP_INCLUDED
