// SPDX-License-Identifier: BSL-1.0
#include "decide/poison_counter.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Maximum number of contents. A power loss in a hall of 200 engines ends 12,800 requests at once.
constexpr std::size_t maxRecords = 20000;
//! Reports about an upstream within this time are about the same end: gateways notice an end within
//! this time of each other. An upstream takes longer to restart; in some deployments it then has
//! the same id.
constexpr Millis sameEndTime{ 1500 };
//! After this long without an end the count of a content starts again at zero.
constexpr std::chrono::minutes recordLifetime{ 30 };

} // namespace

PoisonCounter::Record& PoisonCounter::recordOf( Fingerprint fingerprint ) {
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

std::optional<Quarantine> PoisonCounter::note( const InterruptedRun& run,
                                               std::string_view upstreamId, MonoTime now ) {
    auto& record = recordOf( run.fingerprint );
    const auto upstream = hash64( upstreamId );
    const bool known = std::any_of( record.ends.begin(), record.ends.end(), [&]( const End& it ) {
        return it.upstream == upstream && now - it.at < sameEndTime;
    } );
    if( known ) {
        return std::nullopt;
    }
    if( !record.ends.empty() && now - record.ends.back().at > recordLifetime ) {
        record.ends.clear();
        record.weight = 0;
    }
    record.ends.push_back( { upstream, now } );
    record.weight += run.weight;
    // After a quarantine a single end shows that the content is still poison.
    if( record.weight < m_threshold && run.quarantines == 0 ) {
        return std::nullopt;
    }
    const int times = run.quarantines + 1;
    clear( run.fingerprint );
    return Quarantine{ run.fingerprint, times, quarantineDuration( times ).count() };
}

bool PoisonCounter::clear( Fingerprint fingerprint ) {
    const auto it = m_records.find( fingerprint );
    if( it == m_records.end() ) {
        return false;
    }
    m_oldestFirst.erase( it->second.orderPosition );
    m_records.erase( it );
    return true;
}

} // namespace coursehead::decide
