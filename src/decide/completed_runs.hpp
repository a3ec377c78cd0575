// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_COMPLETED_RUNS_HPP_INCLUDED
#define COURSEHEAD_DECIDE_COMPLETED_RUNS_HPP_INCLUDED

#include "decide/poison.hpp"

#include <array>
#include <utility>

namespace coursehead::decide {

/**
 * Contents that have run to their end lately. The first end under one after that is not held
 * against it: lookups that many callers make alike would otherwise gather the ends of a whole
 * service. Only the first: what ran well before may be poison for the next version of a model. A
 * later content takes the place of an earlier one now and then; 32 KB.
 */
class CompletedRuns {
public:
    void note( Fingerprint fingerprint ) { m_places[fingerprint % m_places.size()] = fingerprint; }
    //! True once for each time that the content was noted.
    bool consume( Fingerprint fingerprint ) {
        auto& place = m_places[fingerprint % m_places.size()];
        return place == fingerprint && std::exchange( place, 0 ) != 0;
    }

private:
    static constexpr std::size_t places = 4096;
    std::array<Fingerprint, places> m_places{};
};

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_COMPLETED_RUNS_HPP_INCLUDED
