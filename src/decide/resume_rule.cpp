// SPDX-License-Identifier: BSL-1.0
#include "decide/resume_rule.hpp"

namespace coursehead::decide {

void SoftwareVersions::note( const std::string& service, const std::string& version,
                             MonoTime now ) {
    auto& versions = m_seen[service];
    versions[version] = now;
    std::erase_if( versions, [now]( const auto& it ) { return now - it.second > longestStream; } );
}

void SoftwareVersions::setCurrent( bool current, MonoTime now ) {
    m_since = current && m_current ? m_since : now;
    m_current = current;
}

std::optional<std::string> SoftwareVersions::only( std::string_view service, MonoTime now ) const {
    const auto found = m_seen.find( service );
    std::optional<std::string> out;
    if( found == m_seen.end() ) {
        return out;
    }
    for( const auto& [version, seenAt] : found->second ) {
        if( now - seenAt > longestStream ) {
            continue;
        }
        if( out && !out->empty() ) {
            return std::nullopt;
        }
        out = version;
    }
    return out;
}

bool SoftwareVersions::complete( MonoTime now ) const {
    return m_current && now - m_since >= longestStream;
}

bool mustShareOrigin( int gateways, const std::optional<std::string>& only, bool versionsComplete,
                      const std::string& version ) {
    const bool knownWithout = versionsComplete && only == version;
    return gateways <= maxGatewaysAlwaysSharing || !knownWithout;
}

std::optional<StreamVersion> versionToResumeAt( const ResumeFacts& facts ) {
    if( facts.recorded ) {
        return facts.recorded;
    }
    const bool sure = !facts.namesOrigin || facts.versionsComplete;
    if( !sure || !facts.only ) {
        return std::nullopt;
    }
    return StreamVersion{ facts.service, *facts.only };
}

} // namespace coursehead::decide
