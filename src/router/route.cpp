// SPDX-License-Identifier: BSL-1.0
#include "coursehead/router/route.hpp"

#include "kernel/hash.hpp"

#include <vector>

namespace coursehead::router {

namespace {

double distanceCost( Distance distance, const RoutingRules& rules ) {
    switch( distance ) {
    case Distance::sameHall:
        return 0.0;
    case Distance::sameRegion:
        return rules.hallCost;
    case Distance::otherRegion:
        return rules.regionCost;
    }
    return 0.0;
}

bool usable( const Candidate& candidate ) {
    return candidate.reachable && !candidate.leaving && !candidate.excluded;
}

//! The warm candidate that most likely has the prompt's prefix cached, by rendezvous hashing, so
//! that every entry picks the same one.
std::size_t likelyPrefixHolder( std::span<const Candidate> candidates,
                                std::span<const std::size_t> warm, std::uint64_t prefixHash ) {
    const auto text = std::to_string( prefixHash );
    std::size_t best = warm.front();
    std::uint64_t bestHash = 0;
    for( const auto it : warm ) {
        const auto hash = hash64( candidates[it].vm, text );
        if( hash >= bestHash ) {
            bestHash = hash;
            best = it;
        }
    }
    return best;
}

struct Scorer {
    std::span<const Candidate> candidates;
    const RoutingRules& rules;
    std::optional<std::size_t> prefixHolder;

    double operator()( std::size_t index ) const {
        const auto& it = candidates[index];
        const double gain = prefixHolder && *prefixHolder == index ? rules.affinityGain : 0.0;
        return loadShare( it ) + distanceCost( it.distance, rules ) - gain;
    }
};

std::size_t cheaper( const Scorer& score, std::size_t a, std::size_t b ) {
    return score( b ) < score( a ) ? b : a;
}

std::size_t pickWarm( std::span<const std::size_t> warm, const Scorer& score,
                      const RoutingRules& rules, const BoundedRandom& randomBelow ) {
    std::size_t best = warm.front();
    if( rules.twoChoices ) {
        const auto first = randomBelow( warm.size() );
        const auto second =
            warm.size() > 1 ? ( first + 1 + randomBelow( warm.size() - 1 ) ) % warm.size() : first;
        best = cheaper( score, warm[first], warm[second] );
    }
    if( score.prefixHolder &&
        loadShare( score.candidates[*score.prefixHolder] ) < rules.affinityMaxLoad ) {
        best = cheaper( score, best, *score.prefixHolder );
    }
    // Two random choices spread load well while agents have free capacity. When the better of the
    // two is busy, another agent may still have some, so all are compared.
    if( !rules.twoChoices || loadShare( score.candidates[best] ) >= rules.busyLoad ) {
        for( const auto it : warm ) {
            best = cheaper( score, best, it );
        }
    }
    return best;
}

std::optional<std::size_t> pickCold( std::span<const Candidate> candidates,
                                     const RoutingRules& rules ) {
    std::optional<std::size_t> best;
    const auto rank = [&]( const Candidate& it ) {
        constexpr double loadingRank = 1e18;
        const double free = static_cast<double>( it.freeBytes );
        const double discount = 1.0 + loadShare( it ) + distanceCost( it.distance, rules );
        return it.loading ? loadingRank - discount : free / discount - discount;
    };
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        const auto& it = candidates[n];
        if( !usable( it ) || !( it.loading || it.canLoad ) || loadShare( it ) >= rules.fullLoad ) {
            continue;
        }
        if( !best || rank( it ) > rank( candidates[*best] ) ) {
            best = n;
        }
    }
    return best;
}

} // namespace

double loadShare( const Candidate& candidate ) {
    const double load = candidate.reportedLoad + candidate.ownSinceReport;
    return load / ( candidate.capacity == 0 ? 1.0 : candidate.capacity );
}

Route route( std::span<const Candidate> candidates, std::uint64_t prefixHash,
             const RoutingRules& rules, const BoundedRandom& randomBelow ) {
    std::vector<std::size_t> warm;
    bool anyFull = false;
    for( std::size_t n = 0; n < candidates.size(); ++n ) {
        const auto& it = candidates[n];
        if( !usable( it ) || !it.resident ) {
            continue;
        }
        if( loadShare( it ) >= rules.fullLoad ) {
            anyFull = true;
            continue;
        }
        warm.push_back( n );
    }
    if( !warm.empty() ) {
        Scorer score{ candidates, rules, std::nullopt };
        if( rules.affinity && prefixHash != 0 ) {
            score.prefixHolder = likelyPrefixHolder( candidates, warm, prefixHash );
        }
        return { RouteKind::warm, pickWarm( warm, score, rules, randomBelow ) };
    }
    if( anyFull ) {
        return { RouteKind::full, 0 };
    }
    const auto cold = pickCold( candidates, rules );
    return cold ? Route{ RouteKind::cold, *cold } : Route{ RouteKind::unavailable, 0 };
}

std::uint64_t rendezvous( std::string_view entry, std::string_view agent ) {
    return hash64( entry, agent );
}

} // namespace coursehead::router
