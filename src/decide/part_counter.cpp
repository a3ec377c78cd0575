// SPDX-License-Identifier: BSL-1.0
#include "decide/part_counter.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Maximum number of parts; the one reported longest ago is forgotten for a new one.
constexpr std::size_t maxRecords = 20000;
//! Reports about an upstream within this time are about the same end: gateways notice an end within
//! this time of each other, and an upstream takes longer to start again.
constexpr Millis sameEndTime{ 1500 };
//! After this long without an end the count of a part starts again at zero.
constexpr std::chrono::minutes recordLifetime{ 30 };

} // namespace

PartCounter::Record& PartCounter::recordOf( Fingerprint fingerprint ) {
    const auto it = m_records.find( fingerprint );
    if( it != m_records.end() ) {
        m_oldestFirst.splice( m_oldestFirst.end(), m_oldestFirst, it->second.orderPosition );
        return it->second;
    }
    if( m_records.size() >= maxRecords ) {
        m_records.erase( m_oldestFirst.front() );
        m_oldestFirst.pop_front();
    }
    auto& out = m_records[fingerprint];
    out.orderPosition = m_oldestFirst.insert( m_oldestFirst.end(), fingerprint );
    return out;
}

void PartCounter::noteSound( Record& record, MonoTime begunAt ) {
    if( record.soundAt && *record.soundAt >= begunAt ) {
        return;
    }
    record.soundAt = begunAt;
    std::erase_if( record.ends, [begunAt]( const End& it ) { return it.at < begunAt; } );
}

bool PartCounter::isCounted( const Record& record, const End& end ) const {
    return std::any_of( record.ends.begin(), record.ends.end(), [&]( const End& it ) {
        const auto apart = std::chrono::abs( it.at - end.at );
        return apart < m_rule.burstTime || ( it.upstream == end.upstream && apart < sameEndTime );
    } );
}

bool PartCounter::suffices( const Record& record ) const {
    if( !record.soundAt ) {
        return record.ends.size() >= m_rule.endsOfUnknown;
    }
    const auto earlier = []( const End& a, const End& b ) {
        return a.at < b.at;
    };
    if( record.ends.size() < m_rule.endsOfSound ) {
        return false;
    }
    const auto [first, last] =
        std::minmax_element( record.ends.begin(), record.ends.end(), earlier );
    return last->at - first->at >= m_rule.doubtTime;
}

std::optional<Quarantine> PartCounter::note( const InterruptedPart& part,
                                             std::string_view upstreamId, MonoTime endedAt,
                                             MonoTime now ) {
    auto& record = recordOf( part.fingerprint );
    if( part.soundMsAgo >= 0 ) {
        noteSound( record, now - Millis( part.soundMsAgo ) );
    }
    if( record.soundAt && *record.soundAt >= endedAt ) {
        return std::nullopt;
    }
    const End end{ hash64( upstreamId ), endedAt };
    if( isCounted( record, end ) ) {
        return std::nullopt;
    }
    if( record.sufficed ) {
        // The part was withheld until now, and is on trial.
        record.ends.clear();
        record.sufficed = false;
    }
    std::erase_if( record.ends,
                   [&end]( const End& it ) { return end.at - it.at > recordLifetime; } );
    record.ends.push_back( end );
    if( !suffices( record ) ) {
        return std::nullopt;
    }
    record.sufficed = true;
    auto firstEnd = endedAt;
    for( const auto& it : record.ends ) {
        firstEnd = std::min( firstEnd, it.at );
    }
    Quarantine out;
    out.fingerprint = part.fingerprint;
    out.holdMs = partQuarantineDuration( 1 ).count();
    out.kind = PoisonKind::part;
    out.firstEndMsAgo = millisBetween( firstEnd, now );
    out.soundBefore = record.soundAt.has_value();
    return out;
}

bool PartCounter::noteSound( Fingerprint fingerprint, MonoTime begunAt ) {
    auto& record = recordOf( fingerprint );
    noteSound( record, begunAt );
    const bool lifted = record.sufficed && !suffices( record );
    record.sufficed = record.sufficed && !lifted;
    return lifted;
}

} // namespace coursehead::decide
