// SPDX-License-Identifier: BSL-1.0
#include "decide/poison_counter.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace coursehead::decide {

namespace {

//! Contents remembered at the most: a hall of 200 engines that loses power breaks 12,800 requests.
constexpr std::size_t mostCases = 20000;
//! Gateways see the end of an upstream within this of each other; it is back later than that, in
//! some deployments under the same id.
constexpr Millis sameEnd{ 1500 };
//! A content that ended nothing for so long begins anew.
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
    // After a quarantine one end shows that it is poison still.
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
