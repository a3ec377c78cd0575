// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SIDECAR_ENGINE_VIEW_HPP_INCLUDED
#define COURSEHEAD_SIDECAR_ENGINE_VIEW_HPP_INCLUDED

#include "decide/model_restore.hpp"
#include "decide/smoothed_rate.hpp"
#include "sidecar/pending_ensure.hpp"
#include "sidecar/residency.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coursehead::sidecar {

//! What a sidecar knows of its engine: its specification, its last report, the unloads ordered
//! since, and how much gateways use its models and adapters.
class EngineView {
public:
    //! `peers` are the connected gateways; the set must outlive this object.
    explicit EngineView( const std::set<PeerPtr>& peers ) : m_peers( peers ) {}

    void setSpec( gateway::EngineSpec spec ) { m_spec = std::move( spec ); }
    const std::optional<gateway::EngineSpec>& spec() const noexcept { return m_spec; }

    //! What has changed between the last report and a new one.
    struct ReportChanges {
        std::vector<std::string> droppedModels; //!< models that are no longer resident
        bool startedEmpty = false; //!< this is the first report, and no model is resident
        bool restarted = false;    //!< the engine has restarted, under the same id or another
        //! Models that the engine held before it restarted empty.
        std::vector<decide::PreviousModel> lostModels;
    };
    ReportChanges applyReport( gateway::EngineReport report, MonoTime now );
    const gateway::EngineReport& report() const noexcept { return m_report; }

    //! Use of a model by all gateways: the sum of the fleet-wide demand that the connected gateways
    //! report. While only some gateways are connected, it is at least the rate admitted here times
    //! the number of the model's copies.
    Usage usageOf( const std::string& model, MonoTime now ) const;
    //! Prompt reading that all gateways demand of a model, in milliseconds a second.
    double workPerS( const std::string& model, MonoTime now ) const;
    //! Input for the choice of the next order. spec() must be set.
    ResidencyState residencyState( MonoTime now ) const;
    bool isResident( const RequiredModel& required, MonoTime now ) const;
    bool hasWeights( std::string_view model ) const;

    void noteUse( const RequiredModel& required, MonoTime now );
    //! Counts a request that is admitted for a model, and the reading time of its prompt.
    void noteAdmitted( const std::string& model, double workMs, MonoTime now );
    void noteDemand( const gateway::DemandUpdate& update, MonoTime now );
    //! Records an unload order that the engine may carry out.
    void noteUnload( const Step& step, MonoTime now );
    //! Sets the model that gateways are no longer offered; empty: none. True when it has changed.
    bool setRetiring( const std::string& model, MonoTime now );
    //! Models and adapters that requests may still be sent for.
    std::vector<gateway::Resident> availableResidents() const;

private:
    //! True when most of the running gateways are connected to this sidecar.
    bool mostGatewaysConnected() const;
    //! Discards the unloads and the use recorded for the engine's earlier start.
    void resetForRestart();

    const std::set<PeerPtr>& m_peers;
    std::optional<gateway::EngineSpec> m_spec;
    gateway::EngineReport m_report;
    bool m_reported = false; //!< the engine has reported once
    std::vector<decide::PreviousModel> m_lastResidentModels;
    std::map<std::string, MonoTime> m_loadedAt;
    std::map<std::string, decide::SmoothedRate> m_admittedRequests; //!< admitted requests, by model
    std::map<std::string, decide::SmoothedRate> m_admittedWork;     //!< reading in ms, by model
    std::map<std::string, Usage, std::less<>> m_adapterUsage;
    std::vector<PendingUnload> m_unloads; //!< ordered and not yet known to be complete
    std::string m_retiring; //!< model to be unloaded once its requests have ended; or empty
    MonoTime m_retiringSince;
};

} // namespace coursehead::sidecar

#endif // COURSEHEAD_SIDECAR_ENGINE_VIEW_HPP_INCLUDED
