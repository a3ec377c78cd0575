// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_DECIDE_RESUME_RULE_HPP_INCLUDED
#define COURSEHEAD_DECIDE_RESUME_RULE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"
#include "decide/stream_origin.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coursehead::decide {

//! No stream lasts longer, with all attempts of its client.
inline constexpr Millis longestStream{ 60000 };

//! The software versions of each service's upstreams, as one gateway has seen them.
class SoftwareVersions {
public:
    explicit SoftwareVersions( MonoTime since ) : m_since( since ) {}

    //! An upstream of the service is listed with this version; empty: its entry names none.
    void note( const std::string& service, const std::string& version, MonoTime now );
    //! The list of upstreams is up to date, or not.
    void setCurrent( bool current, MonoTime now );
    //! The service's version, if it had only one within `longestStream`; entries without a version
    //! count only when there are no others.
    std::optional<std::string> only( std::string_view service, MonoTime now ) const;
    //! True if no version can have been missed within `longestStream`.
    bool complete( MonoTime now ) const;

private:
    MonoTime m_since; //!< since when the list was up to date all the time
    bool m_current = false;
    //! When each version was last listed, by service.
    std::map<std::string, std::map<std::string, MonoTime>, std::less<>> m_seen;
};

//! What a gateway knows of a stream that a client resumes.
struct ResumeFacts {
    bool namesOrigin = false; //!< the client names the attempt that received the first event
    std::optional<StreamVersion> recorded; //!< origin of the stream
    std::string service;                   //!< service that the client's route leads to
    std::optional<std::string> only;       //!< the service's, see SoftwareVersions::only()
    bool versionsComplete = false;         //!< see SoftwareVersions::complete()
};

//! Where the stream may go on; nullopt: not known for sure.
std::optional<StreamVersion> versionToResumeAt( const ResumeFacts& facts );

//! Up to this number of gateways each origin is sent to its holders. In larger fleets it is not
//! while every gateway can tell the version without it: the few common holders would receive more
//! than control traffic may take.
inline constexpr int maxGatewaysAlwaysSharing = 32;

//! True if the origin of a stream that began at `version` is sent to its holders now. `only` and
//! `versionsComplete` are those of its service, as in ResumeFacts.
bool mustShareOrigin( int gateways, const std::optional<std::string>& only, bool versionsComplete,
                      const std::string& version );

//! A holder that started less than this ago may not have been told again what gateways know.
inline constexpr Millis holderSettling{ 1500 };

} // namespace coursehead::decide

#endif // COURSEHEAD_DECIDE_RESUME_RULE_HPP_INCLUDED
