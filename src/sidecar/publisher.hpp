// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_PUBLISHER_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_PUBLISHER_HPP_INCLUDED

#include "sidecar/admission.hpp"
#include "sidecar/engine_view.hpp"
#include "sidecar/orders.hpp"
#include "sidecar/pause_meter.hpp"
#include "sidecar/question.hpp"
#include "sidecar/sent_parts.hpp"

#include <set>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! What a publisher tells of; all outlive it.
struct PublishedParts {
    const std::set<PeerPtr>& peers; //!< the connected gateways
    const EngineView& view;
    const Orders& orders;
    const Admission& admission;
    SentParts& sentParts;
    const PauseMeter& pauses;
};

//! Tells gateways of the engine: all of it when more than the load has changed, else the load.
class Publisher {
public:
    explicit Publisher( PublishedParts parts ) : m_parts( parts ) {}

    //! More than the load has changed.
    void noteChange() { m_changed = true; }
    //! The engine answers, or ceased to.
    void setReachable( bool reachable );
    //! Tells all gateways, if there is something to tell or it is time to.
    void publish( MonoTime now );
    //! Tells one gateway all, with these shared parts of prompts.
    void sendReport( Peer& peer, std::vector<gateway::SentPart> sentParts ) const;

private:
    Millis pause() const;
    gateway::EngineLoad load() const;
    gateway::SidecarReport report() const;
    std::string encodedReport();
    std::string encodedLoad();

    PublishedParts m_parts;
    bool m_reachable = false;
    bool m_changed = false;
    MonoTime m_published;
    gateway::EngineReport m_lastPublished;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_PUBLISHER_HPP_INCLUDED
