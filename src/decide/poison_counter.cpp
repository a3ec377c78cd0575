// SPDX-License-Identifier: BSL-1.0
#include "decide/poison_counter.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Maximum number of contents. A power loss in a hall of 200 engines ends 12,800 requests at once.
constexpr std::size_t mostCases = 20000;
//! Reports about an upstream within this time are about the same end: gateways notice an end within
//! this time of each other. An upstream takes longer to restart; in some deployments it then has
//! the same id.
constexpr Millis sameEnd{ 1500 };
//! After this long without an end the count of a content starts again at zero.
constexpr std::chrono::minutes caseLife{ 30 };

} // namespace

PoisonCounter::Case& PoisonCounter::caseOf( Fingerprint fingerprint ) {
    const auto it = m_cases.find( fingerprint );
    if( it != m_cases.end() ) {
        m_oldestFirst.splice( m_oldestFirst.end(), m_oldestFirst, it->second.age );
        return it->second;
    }
    if( m_cases.size() >= mostCases ) {
        m_cases.erase( m_oldestFirst.front() );
        m_oldestFirst.pop_front();
    }
    auto& out = m_cases[fingerprint];
    out.age = m_oldestFirst.insert( m_oldestFirst.end(), fingerprint );
    return out;
}

std::optional<Quarantine> PoisonCounter::note( const InterruptedRun& run,
                                               std::string_view upstreamId, MonoTime now ) {
    auto& found = caseOf( run.fingerprint );
    const auto upstream = hash64( upstreamId );
    const bool known = std::any_of( found.ends.begin(), found.ends.end(), [&]( const End& it ) {
        return it.upstream == upstream && now - it.at < sameEnd;
    } );
    if( known ) {
        return std::nullopt;
    }
    if( !found.ends.empty() && now - found.ends.back().at > caseLife ) {
        found.ends.clear();
        found.weight = 0;
    }
    found.ends.push_back( { upstream, now } );
    found.weight += run.weight;
    // After a quarantine a single end shows that the content is still poison.
    if( found.weight < m_enough && run.quarantines == 0 ) {
        return std::nullopt;
    }
    const int times = run.quarantines + 1;
    clear( run.fingerprint );
    return Quarantine{ run.fingerprint, times, quarantineDuration( times ).count() };
}

bool PoisonCounter::clear( Fingerprint fingerprint ) {
    const auto it = m_cases.find( fingerprint );
    if( it == m_cases.end() ) {
        return false;
    }
    m_oldestFirst.erase( it->second.age );
    m_cases.erase( it );
    return true;
}

} // namespace coursehead::decide
