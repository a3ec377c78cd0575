// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SUPPORT_STREAM_WATCH_HPP_INCLUDED
#define COURSEHEAD_SUPPORT_STREAM_WATCH_HPP_INCLUDED

#include <map>
#include <set>
#include <string>

namespace coursehead::support {

//! Counts the streams that hold events of upstreams with different software versions, over all
//! attempts of their clients.
class StreamWatch {
public:
    //! Number of such streams that the platform's rule allows.
    static constexpr int maxMixed = 2;

    //! A client receives an event. Returns true if the stream is one too many.
    bool countEvent( const std::string& stream, const std::string& version ) {
        auto& versions = m_versions[stream];
        const bool becomesMixed = versions.insert( version ).second && versions.size() == 2;
        m_mixed += becomesMixed ? 1 : 0;
        return becomesMixed && m_mixed > maxMixed;
    }
    int mixed() const noexcept { return m_mixed; }

private:
    std::map<std::string, std::set<std::string>> m_versions; //!< by stream
    int m_mixed = 0;
};

} // namespace coursehead::support

#endif // COURSEHEAD_SUPPORT_STREAM_WATCH_HPP_INCLUDED
