// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_COUNTS_ORIGIN_CLIENT_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_COUNTS_ORIGIN_CLIENT_HPP_INCLUDED

#include "coursehead/metrics/metrics.hpp"
#include "decide/origin_table.hpp"
#include "decide/resume_rule.hpp"
#include "gateway/links/holder_links.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coursehead::gateway {

//! Where a resumed stream may go on, and how that was found.
struct ResumeVersion {
    std::optional<decide::StreamVersion> began; //!< nullopt: not known for sure
    std::string_view source = "none";           //!< "own", "holder", "only" or "none"
    int asked = 0;                              //!< questions to holders
    bool mayBecomeKnown = false;                //!< a holder could not say yet
};

//! A gateway's part in keeping the origins of streams: it sends those of its own streams to their
//! holders, keeps copies for other gateways, and finds the version of a stream that is resumed.
class OriginClient {
public:
    OriginClient( net::asio::io_context& context, Fleet& fleet, metrics::Metrics& metrics );

    //! Periodic work. `current`: the list of upstreams is up to date.
    void tick( bool current, MonoTime now );
    //! Records that a stream began; `left` is the time until its client's deadline. Must be called
    //! before the first event is forwarded.
    void noteBegan( std::string_view attemptId, decide::StreamVersion began, Millis left );
    //! Finds where a stream may go on. `service`: the one that its client's route leads to;
    //! `beganAs`: attempt that received the first event, empty if the client does not name it.
    net::Task<ResumeVersion> find( std::string service, std::string beganAs );

private:
    using Link = std::shared_ptr<SidecarLink>;

    //! An origin that is not sent while all gateways can tell the version without it.
    struct Withheld {
        decide::StreamOrigin origin;
        MonoTime expires;
    };

    void noteVersions( MonoTime now );
    bool mustShare( const decide::StreamVersion& began, MonoTime now ) const;
    //! Sends the withheld origins of services that may have several versions by now.
    void shareWithheld( MonoTime now );
    void queueToSend( decide::StreamOrigin origin );
    void refreshHolders( MonoTime now );
    //! Links to the `count` sidecars that rank first for a stream among those that answer.
    std::vector<Link> holdersOf( decide::StreamKey key, std::size_t count ) const;
    //! Sends the origins that were noted since the last call.
    void sendNoted();
    //! Sends a sidecar that has just connected all origins of which it is a holder.
    void sendAgain( const Link& link );
    //! Asks the stream's holders, one after the other. Sets `mayBecomeKnown` in `out` if none knows
    //! the origin and one could not say for sure.
    net::Task<std::optional<decide::StreamVersion>> askHolders( decide::StreamKey key,
                                                                ResumeVersion& out );
    net::Task<std::optional<decide::StreamVersion>> findOrigin( std::string beganAs,
                                                                ResumeVersion& out );

    net::asio::io_context& m_context;
    Fleet& m_fleet;
    metrics::Metrics& m_metrics;
    HolderLinks m_links;
    std::vector<std::string> m_names; //!< addresses of the sidecars that answer
    decide::OriginTable m_origins;
    decide::SoftwareVersions m_versions;
    std::vector<decide::StreamOrigin> m_noted; //!< not sent yet
    std::vector<Withheld> m_withheld;
    MonoTime m_versionsNotedAt;
    MonoTime m_expiredAt;
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_COUNTS_ORIGIN_CLIENT_HPP_INCLUDED
