// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_WHOLE_RUNS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_WHOLE_RUNS_HPP_INCLUDED

#include "decide/poison.hpp"

#include <array>

namespace coursehead::decide {

/**
 * Contents that have run to their end lately. What did so once is no poison, whatever ends under it
 * later: lookups that many callers make alike would otherwise gather the ends of a whole service.
 * A later content takes the place of an earlier one now and then; 32 KB.
 */
class WholeRuns {
public:
    void note( Fingerprint fingerprint ) { m_places[fingerprint % m_places.size()] = fingerprint; }
    bool contains( Fingerprint fingerprint ) const {
        return m_places[fingerprint % m_places.size()] == fingerprint;
    }

private:
    static constexpr std::size_t places = 4096;
    std::array<Fingerprint, places> m_places{};
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_WHOLE_RUNS_HPP_INCLUDED
