// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_COMPLETED_RUNS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_COMPLETED_RUNS_HPP_INCLUDED

#include "decide/poison.hpp"

#include <array>
#include <utility>

namespace coursehead::decide {

/**
 * Contents of requests that completed recently. When an upstream ends while it runs such a content,
 * the first end is not counted as poison evidence: a lookup that many callers make runs on all
 * upstreams of a service, and would otherwise be charged with the ends of all of them. Only the
 * first end is excused, because a content that completed before may be poison for the next version
 * of a model. The table is a direct-mapped cache of 32 KB, so that a content may overwrite an
 * earlier one.
 */
class CompletedRuns {
public:
    void note( Fingerprint fingerprint ) {
        m_entries[fingerprint % m_entries.size()] = fingerprint;
    }
    //! True if the content was noted since the last call for it; removes it.
    bool consume( Fingerprint fingerprint ) {
        auto& entry = m_entries[fingerprint % m_entries.size()];
        return entry == fingerprint && std::exchange( entry, 0 ) != 0;
    }

private:
    static constexpr std::size_t entryCount = 4096;
    std::array<Fingerprint, entryCount> m_entries{};
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_COMPLETED_RUNS_HPP_INCLUDED
