// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PUBLISHER_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PUBLISHER_HPP_INCLUDED

#include "decide/engine_room.hpp"
#include "sidecar/admission.hpp"
#include "sidecar/engine_view.hpp"
#include "sidecar/orders.hpp"
#include "sidecar/pause_meter.hpp"
#include "sidecar/pending_ensure.hpp"
#include "sidecar/sent_parts.hpp"

#include <set>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! The objects that a publisher reports on; all must outlive it.
struct PublisherSources {
    const std::set<PeerPtr>& peers; //!< the connected gateways
    const EngineView& view;
    const Orders& orders;
    const Admission& admission;
    SentParts& sentParts;
    const PauseMeter& pauses;
};

//! Sends gateways the engine's state: a full report when more than the load has changed, otherwise
//! only the load.
class Publisher {
public:
    explicit Publisher( PublisherSources sources ) : m_sources( sources ) {}

    //! Requests a full report: more than the load has changed.
    void requestFullReport() { m_fullReportNeeded = true; }
    //! Sets whether the engine is reachable.
    void setReachable( bool reachable );
    //! Sends a report to all gateways if there are changes to report or the last one is old.
    void publish( MonoTime now );
    //! Sends a full report to one gateway, with the given shared prompt parts.
    void sendReport( Peer& peer, std::vector<gateway::SentPart> sentParts ) const;

private:
    Millis reportInterval() const;
    gateway::EngineLoad load() const;
    decide::FreeRoom freeRoom() const;
    gateway::SidecarReport report() const;
    std::vector<gateway::HallGateways> gatewayHalls() const;
    //! The same if it differs from what was last sent to all gateways, else nothing.
    std::vector<gateway::HallGateways> takeChangedHalls();
    std::string encodedReport();
    std::string encodedLoad();

    PublisherSources m_sources;
    bool m_reachable = false;
    bool m_fullReportNeeded = false;
    MonoTime m_publishedAt;
    gateway::EngineReport m_lastPublished;
    std::vector<gateway::HallGateways> m_publishedHalls;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PUBLISHER_HPP_INCLUDED
