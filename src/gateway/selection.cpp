// SPDX-License-Identifier: BSL-1.0
#include "gateway/selection.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! One recent failure counts like this much waiting: about a retry at another upstream.
constexpr double failureMs = 150;
//! What a stream that is sure to pause too long counts for: it is then worth as little as one whose
//! first event comes after its goal, about a second.
constexpr double latePauseMs = 800;

} // namespace

namespace {

//! Prompt reading that delays running streams noticeably: an event of several tokens takes as many
//! steps, each lengthened by a piece of a prompt.
constexpr double calmReadingMs = 150;
//! Waiting that a stream counts for, for each millisecond of reading beyond.
constexpr double decodingWeight = 0.25;
constexpr std::uint32_t mostDecoding = 6;

double interference( const Candidate& candidate ) {
    const double over = candidate.backlogMs + candidate.workMs - calmReadingMs;
    const auto streams = static_cast<double>( std::min( candidate.decoding, mostDecoding ) );
    return over > 0 ? over * streams * decodingWeight : 0;
}

} // namespace

void estimateUnseenLoads( std::span<Candidate> candidates ) {
    double backlogMs = 0;
    int seen = 0;
    Candidate* home = nullptr;
    for( auto& it : candidates ) {
        if( !it.holds || it.avoided ) {
            continue;
        }
        if( it.seen ) {
            backlogMs += it.backlogMs;
            ++seen;
        }
        if( home == nullptr || it.affinity > home->affinity ) {
            home = &it;
        }
    }
    if( home != nullptr && !home->seen ) {
        home->workMs = std::min( home->workMs, home->unsharedWorkMs );
        home->uncachedTokens = std::min( home->uncachedTokens, home->unsharedTokens );
    }
    const double usual = seen > 0 ? backlogMs / seen : 0;
    for( auto& it : candidates ) {
        if( !it.seen ) {
            it.backlogMs = std::max( it.backlogMs, usual );
        }
    }
}

double costOf( const Candidate& candidate ) {
    return interference( candidate ) + candidate.latePauseShare * latePauseMs +
           ( candidate.backlogMs + candidate.workMs ) * candidate.slowness + candidate.loadMs +
           candidate.sendDelayMs + candidate.evacuationPenaltyMs + candidate.failures * failureMs +
           ( candidate.otherHall ? candidate.crossHallMs : 0 ) +
           ( candidate.otherRegion ? candidate.crossRegionMs : 0 );
}

std::optional<std::size_t> choose( std::span<const Candidate> candidates ) {
    std::optional<std::size_t> best;
    double bestCost = 0;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        const auto& it = candidates[n];
        const double cost = costOf( it );
        bool better = !best;
        if( best ) {
            const auto& other = candidates[*best];
            if( it.avoided != other.avoided ) {
                better = other.avoided;
            } else if( cost < bestCost - equalMs ) {
                better = true;
            } else if( cost <= bestCost + equalMs ) {
                better = it.affinity > other.affinity;
            }
        }
        if( better ) {
            best = n;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace coursehead::gateway
