// SPDX-License-Identifier: BSL-1.0
#include "gateway/choice/selection.hpp"

#include <algorithm>

namespace coursehead::gateway {

namespace {

//! Cost of one recent failure: about the time that a retry at another upstream takes.
constexpr double failurePenaltyMs = 150;
//! Cost of a stream that is certain to pause too long: it loses as much value as a stream whose
//! first event is late, and a goal is about a second.
constexpr double latePausePenaltyMs = 800;
//! Costs that differ by less may be drawn among: one short prompt that another gateway has sent
//! since the last report changes a cost by as much.
constexpr double nearCostMs = 40;

} // namespace

namespace {

//! Prompt reading up to this long does not delay running streams noticeably. Beyond it, each event
//! of several tokens takes as many engine steps, each lengthened by a piece of a prompt.
constexpr double unnoticedReadingMs = 150;
//! Cost in milliseconds for each running stream and each millisecond of reading beyond that.
constexpr double excessWeightPerStream = 0.25;
constexpr std::uint32_t maxCountedStreams = 6;

//! Cost of the delay that reading the prompt causes to the running streams.
double interference( const Candidate& candidate ) {
    const double excessMs = candidate.backlogMs + candidate.workMs - unnoticedReadingMs;
    const auto streams = static_cast<double>( std::min( candidate.decoding, maxCountedStreams ) );
    return excessMs > 0 ? excessMs * streams * excessWeightPerStream : 0;
}

} // namespace

void estimateUnseenLoads( std::span<Candidate> candidates ) {
    double backlogMs = 0;
    int seenCandidates = 0;
    Candidate* preferred = nullptr;
    for( auto& it : candidates ) {
        if( !it.holds || it.avoided ) {
            continue;
        }
        if( it.seen ) {
            backlogMs += it.backlogMs;
            ++seenCandidates;
        }
        if( preferred == nullptr || it.affinity > preferred->affinity ) {
            preferred = &it;
        }
    }
    if( preferred != nullptr && !preferred->seen ) {
        preferred->workMs = std::min( preferred->workMs, preferred->unsharedWorkMs );
        preferred->uncachedTokens =
            std::min( preferred->uncachedTokens, preferred->unsharedTokens );
    }
    const double meanBacklogMs = seenCandidates > 0 ? backlogMs / seenCandidates : 0;
    for( auto& it : candidates ) {
        if( !it.seen ) {
            it.backlogMs = std::max( it.backlogMs, meanBacklogMs );
        }
    }
}

double firstEventMs( const Candidate& candidate ) {
    return ( candidate.backlogMs + candidate.workMs * candidate.timeFactor ) * candidate.slowness +
           candidate.loadMs + candidate.sendDelayMs;
}

double costOf( const Candidate& candidate ) {
    return interference( candidate ) + candidate.latePauseShare * latePausePenaltyMs +
           firstEventMs( candidate ) + candidate.evacuationPenaltyMs +
           candidate.failures * failurePenaltyMs +
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
            const auto& bestSoFar = candidates[*best];
            if( it.avoided != bestSoFar.avoided ) {
                better = bestSoFar.avoided;
            } else if( cost < bestCost - equalCostMs ) {
                better = true;
            } else if( cost <= bestCost + equalCostMs ) {
                better = it.affinity > bestSoFar.affinity;
            }
        }
        if( better ) {
            best = n;
            bestCost = cost;
        }
    }
    return best;
}

std::size_t spread( std::span<const Candidate> candidates, std::size_t best, double random ) {
    const auto differs = []( const Candidate& it ) {
        return it.timeFactor != 1;
    };
    if( std::none_of( candidates.begin(), candidates.end(), differs ) ) {
        return best;
    }
    const auto& first = candidates[best];
    const double limit = costOf( first ) + nearCostMs;
    const auto isNear = [&]( const Candidate& it ) {
        return it.avoided == first.avoided && it.loadMs <= first.loadMs &&
               it.uncachedTokens <= first.uncachedTokens && costOf( it ) <= limit;
    };
    double speeds = 0;
    for( const auto& it : candidates ) {
        speeds += isNear( it ) ? 1 / it.timeFactor : 0;
    }
    double left = random * speeds;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        left -= isNear( candidates[n] ) ? 1 / candidates[n].timeFactor : 0;
        if( left < 0 ) {
            return n;
        }
    }
    return best;
}

} // namespace coursehead::gateway
